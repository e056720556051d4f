package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/cold"
)

func coldTerms(now time.Time, left time.Duration, share int) cold.Terms {
	return cold.Terms{Until: now.Add(left), Share: share, MembersSince: now.Add(-time.Hour)}
}

// No policy chooses a cold endpoint without a permit, and the time of the next one is known.
func TestPoliciesObeyPermits(t *testing.T) {
	policies := map[string]func(q Query, candidates []Candidate) int{
		"prefix": func(q Query, candidates []Candidate) int {
			chosen, _ := (&PrefixIndex{}).Choose(q, candidates, []PromptPart{{"p", 10}, {"own", 10}})
			return chosen
		},
	}
	for name, policy := range Policies {
		policies[name] = policy().Choose
	}
	for name, choose := range policies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			candidates := []Candidate{noticeCandidate(0, now), noticeCandidate(1, now)}
			candidates[0].Stats.UpdateCold(now, coldTerms(now, 3*time.Second, 2))
			candidates[1].Stats.UpdateCold(now, coldTerms(now, 2*time.Second, 0)) // not a sender
			q := Query{Now: now}
			is.Equal(choose(q, candidates), 0)
			is.True(candidates[0].TakePermit(now))
			is.Equal(choose(q, candidates), -1)
			is.Equal(FirstReturn(q, candidates), now.Add(510*time.Millisecond))
			is.Equal(FirstReturn(q, candidates[1:]), now.Add(2*time.Second))
			q.Now = now.Add(510 * time.Millisecond)
			is.Equal(choose(q, candidates), 0)
			q.Now = now.Add(2 * time.Second)
			is.True(candidates[0].TakePermit(q.Now))
			is.Equal(choose(q, candidates), 1)
		})
	}
}

// After its cold time an endpoint gets one call more than it has completed, unless no other is left.
func TestLoadIncreasesWithCompletedCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	started, busy := noticeCandidate(0, now), noticeCandidate(1, now)
	started.Stats.UpdateCold(now, coldTerms(now, time.Second, 2))
	now = now.Add(2 * time.Second)
	candidates := []Candidate{started, busy}
	busy.Stats.observeLatency(time.Second) // the policies prefer the other one
	q := Query{Now: now}
	for completed := range 5 {
		for range completed + 1 {
			is.Equal(predicted(q, candidates), 0)
			started.Begin()
		}
		for range 20 {
			is.Equal(predicted(q, candidates), 1)
			chosen, _ := (&PrefixIndex{}).Choose(q, candidates, []PromptPart{{"p", 10}, {"own", 10}})
			is.Equal(chosen, 1)
		}
		is.Equal(predicted(q, candidates[:1]), 0)
		for range completed {
			started.Stats.Cancel(0)
		}
		started.Stats.Succeed(time.Millisecond, 1)
	}
}

// An endpoint that becomes cold loses the prompts that it had cached, and is nobody's home until it is warm.
func TestPrefixIndexForgetsColdEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	parts := []PromptPart{{"shared", 5000}, {"own", 10}}
	candidates := []Candidate{noticeCandidate(0, now), noticeCandidate(1, now)}
	q := Query{Now: now}
	var index PrefixIndex
	home := homeEndpoint(&q, candidates, prefixHashes(parts))
	at := 0
	if home == candidates[1].ID {
		at = 1
	}
	index.Record(&candidates[at], parts, 1e6, now)
	_, uncached := index.Choose(q, candidates, parts)
	is.Equal(uncached, 0)

	q.Now = now.Add(time.Second)
	candidates[at].Stats.UpdateCold(q.Now, coldTerms(q.Now, 2*time.Second, 3))
	is.Equal(homeEndpoint(&q, candidates, prefixHashes(parts)), candidates[1-at].ID)
	_, uncached = index.Choose(q, candidates[at:at+1], parts)
	is.Equal(uncached, 5010)

	q.Now = now.Add(4 * time.Second) // warm, with an empty cache
	is.Equal(homeEndpoint(&q, candidates, prefixHashes(parts)), home)
	_, uncached = index.Choose(q, candidates[at:at+1], parts)
	is.Equal(uncached, 5010)
	index.Record(&candidates[at], parts, 1e6, q.Now)
	_, uncached = index.Choose(q, candidates[at:at+1], parts)
	is.Equal(uncached, 0)
}
