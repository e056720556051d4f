package state

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func highestCommand(version uint64, digest string) *Command {
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
		{5, "a", true, 5},  // resent
		{5, "b", false, 5}, // another digest for the current version
		{3, "c", true, 5},  // lower than the current version
		{9, "d", true, 9},
		{5, "b", true, 9},
	} {
		r := m.Apply(highestCommand(c.version, c.digest)).Document
		is.Equal(r.Accepted, c.accepted)
		is.Equal(r.Version, c.current)
		read := m.Apply(&Command{Change: &Command_Read{Read: &DocumentRead{}}})
		is.Equal(read.Current.Version, c.current)
	}
}

// In any order of changes, the version never decreases and the digest of a version never changes.
func TestHighestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Machine{}
		contents := make(map[uint64]string)
		last := uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			version, digest := rapid.Uint64Range(1, 6).Draw(t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest")
			m.Apply(highestCommand(version, digest))
			d := m.Document()
			if d.Version < last {
				t.Fatalf("version decreases from %d to %d", last, d.Version)
			}
			last = d.Version
			if previous, ok := contents[d.Version]; ok && previous != d.Digest {
				t.Fatalf("version %d changes from %s to %s", d.Version, previous, d.Digest)
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
