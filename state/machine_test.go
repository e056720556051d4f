package state

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func highest(version uint64, digest string) *Command {
	return &Command{Change: &Command_Document{Document: &DocumentChange{Version: version, Digest: digest, Highest: true}}}
}

func TestApplyHighest(t *testing.T) {
	is := is.New(t)
	m := &Machine{}
	for _, c := range []struct {
		version  uint64
		digest   string
		accepted bool
		current  uint64
	}{
		{5, "a", true, 5},
		{5, "a", true, 5},  // a resend
		{5, "b", false, 5}, // other content under the version held
		{3, "c", true, 5},  // overtaken
		{9, "d", true, 9},
		{5, "b", true, 9},
	} {
		r := m.Apply(highest(c.version, c.digest)).Document
		is.Equal(r.Accepted, c.accepted)
		is.Equal(r.Version, c.current)
		read := m.Apply(&Command{Change: &Command_Read{Read: &DocumentRead{}}})
		is.Equal(read.Current.Version, c.current)
	}
}

// Whatever comes in whatever order, the version never falls, and the content of a version never changes.
func TestHighestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Machine{}
		contents := make(map[uint64]string)
		last := uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			version, digest := rapid.Uint64Range(1, 6).Draw(t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest")
			m.Apply(highest(version, digest))
			d := m.Document()
			if d.Version < last {
				t.Fatalf("version falls from %d to %d", last, d.Version)
			}
			last = d.Version
			if seen, ok := contents[d.Version]; ok && seen != d.Digest {
				t.Fatalf("version %d changes from %s to %s", d.Version, seen, d.Digest)
			}
			contents[d.Version] = d.Digest
			image := m.Image()
			m = &Machine{}
			if err := m.Restore(image); err != nil {
				t.Fatal(err)
			}
		}
	})
}
