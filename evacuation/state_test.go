package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The version increases only with an effective change, so that a retried command is not distributed again.
func TestVersion(t *testing.T) {
	is := is.New(t)
	s, _ := State{}.Apply(Change{"dc-a", true, 1000})
	is.Equal(s.DataCentres(), []string{"dc-a"})
	again, accepted := s.Apply(Change{"dc-a", true, 2000})
	is.True(accepted)
	is.Equal(again, s)
	same, _ := s.Apply(Change{"dc-b", false, 2000}) // was never evacuated
	is.Equal(same, s)
	ended, _ := s.Apply(Change{"dc-a", false, 500}) // the clock of a new leader is behind
	is.True(ended.Version > s.Version)
	is.True(!ended.Active("dc-a"))
	is.True(s.Active("dc-a")) // the earlier set is unchanged
	other, _ := ended.Apply(Change{"dc-b", true, 1000 + 2*EndRetention.Milliseconds()})
	_, found := other.Find("dc-a")
	is.True(!found)
}

// The names come from callers of the control address; their number must not grow without limit.
func TestMaxActive(t *testing.T) {
	is := is.New(t)
	s, accepted := State{}, true
	for i := range MaxActive {
		s, accepted = s.Apply(Change{fmt.Sprint("dc-", i), true, 1})
		is.True(accepted)
	}
	full, accepted := s.Apply(Change{"dc-x", true, 1})
	is.True(!accepted)
	is.Equal(full, s)
	for _, name := range []string{"", "a b", "a,b", "a/b", "a\nb", string(make([]byte, 200)), "a\xff"} {
		is.True(!ValidName(name))
	}
	is.True(ValidName("zürich-1"))
}

// VMs that get the sets of one log in any order and any number of times end with its last set: an old set that arrives
// late must not withdraw or restart an evacuation.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := []State{{}}
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			last := sets[len(sets)-1]
			c := Change{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "active"), rapid.Int64Range(0, 2*time.Hour.Milliseconds()).Draw(t, "time")}
			next, _ := last.Apply(c)
			if next.Active(c.DataCentre) != c.Active {
				t.Fatalf("change %v has no effect", c)
			}
			sets = append(sets, next)
		}
		received := State{}
		for _, s := range append(rapid.Permutation(sets).Draw(t, "order"), rapid.SampledFrom(sets).Draw(t, "repeated")) {
			received = received.Merge(s)
		}
		if last := sets[len(sets)-1]; fmt.Sprint(received) != fmt.Sprint(last) {
			t.Fatalf("received %v, the log ends with %v", received, last)
		}
	})
}
