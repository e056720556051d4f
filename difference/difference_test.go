package difference

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// largeText returns a text like that of a document with n workspaces.
func largeText(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		fmt.Fprintf(&b, `{"name":"workspace-%d","keys_sha256":["%s"],"priority":1},`, i, hex.EncodeToString(sum[:]))
	}
	return b.Bytes()
}

// A change of one place in a large document makes a small difference.
func TestDifferenceIsSmall(t *testing.T) {
	is := is.New(t)
	earlier := largeText(15_000)
	for _, place := range []int{0, len(earlier) / 2, len(earlier) - 40} {
		changed := append(append(bytes.Clone(earlier[:place]), "changed"...), earlier[place+3:]...)
		data, err := Encode(changed, earlier)
		is.NoErr(err)
		t.Logf("change at %d of %d bytes: %d bytes", place, len(earlier), len(data))
		is.True(len(data) < 8<<10)
		got, err := Decode(data, earlier, uint64(2*len(changed)))
		is.NoErr(err)
		is.True(bytes.Equal(got, changed))
	}
}

// A payload above the limit is refused, whatever its frame says.
func TestDecodeLimit(t *testing.T) {
	is := is.New(t)
	data, err := Encode(make([]byte, 1<<20), nil)
	is.NoErr(err)
	is.True(len(data) < 1<<10)
	_, err = Decode(data, nil, 1<<19)
	is.True(err != nil)
}

// Whatever versions were added and whichever one a receiver has, it decodes the newest one, and a receiver without a known
// version gets the whole document.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		texts := make(map[string][]byte)
		newest := ""
		for i := range rapid.IntRange(1, 20).Draw(t, "versions") {
			text := fmt.Appendf(nil, "version %d %s", i, rapid.String().Draw(t, "text"))
			newest = fmt.Sprint("digest-", i)
			texts[newest] = text
			h.Add(newest, text)
			for range rapid.IntRange(0, 3).Draw(t, "receivers") {
				held := fmt.Sprint("digest-", rapid.IntRange(0, 20).Draw(t, "held"))
				data, base, err := h.Encode(newest, "plain", held, func() ([]byte, error) { return text, nil })
				if err != nil {
					t.Fatal(err)
				}
				if base != "" && base != held {
					t.Fatalf("refers to %q, the receiver has %q", base, held)
				}
				got, err := Decode(data, texts[base], 1<<20)
				if err != nil || !bytes.Equal(got, text) {
					t.Fatalf("got %q, %v; want %q", got, err, text)
				}
			}
		}
		if len(h.bases) > maxBases {
			t.Fatalf("keeps %d versions", len(h.bases))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	earlier := largeText(15_000)
	changed := append([]byte("changed"), earlier...)
	for name, base := range map[string][]byte{"difference": earlier, "whole": nil} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(changed, base); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
