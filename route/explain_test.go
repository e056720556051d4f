package route

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The chances are those with which each policy chooses, and asking for them does not move the counter of round_robin.
func TestExplainedChances(t *testing.T) {
	const draws = 40000
	now := time.Now()
	for name, newPolicy := range Policies {
		for _, n := range []int{1, 2, 3, 7} {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				is := is.New(t)
				candidates := make([]Candidate, n+1)
				for i := range candidates {
					candidates[i] = Candidate{ID: fmt.Sprint("e", i), Addr: netip.MustParseAddrPort("10.0.0.1:1"), ExpiresAt: now.Add(time.Minute), Confirmed: true, Stats: &Stats{}}
					candidates[i].Stats.observeLatency(time.Duration(20-i) * time.Millisecond)
					candidates[i].Stats.inFlight.Store(int64(i % 2))
				}
				candidates[n].Stats.Leave()
				q := Query{Now: now}
				policy := newPolicy()
				terms := ExplainPolicy(name, q, candidates)
				is.Equal(terms[n].Excluded, "it says that it leaves")
				counts := make([]int, n+1)
				for range draws {
					counts[policy.Choose(q, candidates)]++
				}
				for i := range candidates {
					if name != "round_robin" { // an unusable endpoint's turn goes to the next one
						is.True(math.Abs(float64(counts[i])/draws-terms[i].Chance) < 0.02)
					}
				}
			})
		}
	}
}
