package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// choose returns the member with the highest weight for a key.
func choose(key uint64, members []string) string {
	best, weight := "", uint64(0)
	for _, m := range members {
		if w := Weight(key, m); w > weight {
			best, weight = m, w
		}
	}
	return best
}

func members(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.1.0.%d", i))
	}
	return out
}

func TestKeyDistribution(t *testing.T) {
	keys := make(map[string]int)
	for i := range 10_000 {
		keys[choose(Key(fmt.Sprintf("service-%d", i)), members(10))]++
	}
	for name, n := range keys {
		if n < 800 || n > 1200 {
			t.Errorf("%s has %d of 10000 keys", name, n)
		}
	}
	is.New(t).Equal(len(keys), 10)
}

func TestRemovalMovesOnlyOwnKeys(t *testing.T) {
	is := is.New(t)
	for i := range 1000 {
		key := Key(fmt.Sprint(i))
		before, after := choose(key, members(10)), choose(key, members(9))
		if before != "10.1.0.9" {
			is.Equal(before, after)
		}
	}
}
