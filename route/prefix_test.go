package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engines returns n confirmed candidates that alternate between two data centres.
func engines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprintf("e-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Confirmed: true, SendingVMs: 1, ExpiresAt: time.Unix(1e6, 0), Stats: &Stats{}}
	}
	return out
}

var prompt = []PromptPart{{"shared", 4000}, {"session", 2000}, {"own", 500}}

// VMs that share no state send a session's prompts to the same endpoint, and sessions spread over all endpoints.
func TestSessionAffinity(t *testing.T) {
	is := is.New(t)
	candidates := engines(12)
	q := Query{Now: time.Unix(1000, 0)}
	homes := make(map[int]int)
	for s := range 100 {
		parts := []PromptPart{{"shared", 4000}, {fmt.Sprint("session-", s), 2000}, {"own", 500}}
		a, uncached := (&PrefixIndex{}).Choose(q, candidates, parts)
		b, _ := (&PrefixIndex{}).Choose(q, candidates, parts)
		is.Equal(a, b)
		is.True(uncached < 2000)
		homes[a]++
	}
	is.Equal(len(homes), 12)
	for _, n := range homes {
		is.True(n < 25) // no endpoint is the home of a quarter of the sessions
	}
}

func TestChoosePrefix(t *testing.T) {
	q := Query{Now: time.Unix(1000, 0), DataCentre: "dc-0"}
	for name, c := range map[string]struct {
		change func(p *PrefixIndex, q *Query, c []Candidate, home int)
		same   bool
	}{
		"home":         {func(*PrefixIndex, *Query, []Candidate, int) {}, true},
		"home ejected": {func(_ *PrefixIndex, q *Query, c []Candidate, home int) { c[home].Stats.Fail(q.Now) }, false},
		"home full":    {func(_ *PrefixIndex, q *Query, c []Candidate, home int) { c[home].Begin(); c[home].Stats.Reject(q.Now) }, false},
		"home full before": {func(_ *PrefixIndex, q *Query, c []Candidate, home int) {
			c[home].Begin()
			c[home].Stats.Reject(q.Now.Add(-time.Second))
		}, true},
		"home unconfirmed":   {func(_ *PrefixIndex, _ *Query, c []Candidate, home int) { c[home].Confirmed = false }, false},
		"home already tried": {func(_ *PrefixIndex, q *Query, c []Candidate, home int) { q.Tried = []string{c[home].ID} }, false},
		"home busy": {func(_ *PrefixIndex, _ *Query, c []Candidate, home int) {
			for range 60 * (1 + rereadWeight) { // as many more as shared tokens that are prefilled again weigh more
				c[home].Begin()
			}
		}, false},
		"prefix cached elsewhere": {func(p *PrefixIndex, q *Query, c []Candidate, home int) {
			p.Record(&c[(home+1)%len(c)], prompt, 100_000, q.Now)
		}, false},
		"large inputs elsewhere": {func(_ *PrefixIndex, q *Query, c []Candidate, home int) {
			q.InputBytes = map[string]int64{c[(home+1)%len(c)].DataCentre: 100 << 20}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			candidates, p, q := engines(6), &PrefixIndex{}, q
			home, _ := p.Choose(q, candidates, prompt)
			c.change(p, &q, candidates, home)
			chosen, _ := p.Choose(q, candidates, prompt)
			is.True(chosen >= 0)
			is.Equal(chosen == home, c.same)
		})
	}
}

// A part counts as cached only together with all parts before it, until cacheTTL and within the endpoint's cache size.
func TestCached(t *testing.T) {
	is := is.New(t)
	p, c, now := &PrefixIndex{}, engines(1), time.Unix(1000, 0)
	cached := func(at time.Time, parts ...PromptPart) int {
		return p.cachedTokens(at, c[0].Stats, parts, prefixHashes(parts))
	}
	p.Record(&c[0], prompt, 1e6, now)
	is.Equal(cached(now, prompt...), 6500)
	is.Equal(cached(now, prompt[0], PromptPart{"other", 10}, prompt[2]), 4000)
	is.Equal(cached(now, prompt[1]), 0)
	is.Equal(cached(now.Add(cacheTTL+time.Second), prompt...), 0)
	p.Record(&c[0], []PromptPart{{"large", 9000}}, 20_000, now.Add(time.Second))
	is.Equal(cached(now.Add(time.Second), PromptPart{"large", 9000}), 9000)
	is.True(cached(now.Add(time.Second), prompt...) < 6500) // the least recently used part is evicted
	other := engines(1)
	p.Record(&other[0], prompt, 1e6, now.Add(3*cacheTTL))
	is.Equal(len(p.endpoints), 1) // idle endpoints are dropped
}

func BenchmarkChoosePrefix(b *testing.B) {
	candidates, p, q := engines(140), &PrefixIndex{}, Query{Now: time.Unix(1000, 0)}
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(q, candidates, prompt)
	}
}
