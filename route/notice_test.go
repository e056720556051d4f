package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/event"
)

func noticeCandidate(i int, now time.Time) Candidate {
	return Candidate{ID: fmt.Sprint("e-", i), Slots: 8, SendingVMs: 1, Confirmed: true, ExpiresAt: now.Add(time.Hour), Stats: &Stats{}}
}

// No policy chooses an endpoint that leaves or is in a quiet.
func TestPoliciesObeyNotices(t *testing.T) {
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
			candidates := []Candidate{noticeCandidate(0, now), noticeCandidate(1, now), noticeCandidate(2, now)}
			candidates[0].ObserveNotice(now, Notice{Leaving: true}, event.Logger{}, "request", "r")
			candidates[1].ObserveNotice(now, Notice{RetryAfter: 2 * time.Second}, event.Logger{}, "request", "r")
			for range 100 {
				is.Equal(choose(Query{Now: now.Add(1900 * time.Millisecond)}, candidates), 2)
			}
			is.Equal(choose(Query{Now: now.Add(1900 * time.Millisecond)}, candidates[:2]), -1)
			is.Equal(choose(Query{Now: now.Add(time.Minute)}, candidates[:2]), 1)
		})
	}
}

func TestQuiet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	latest := func(quiet time.Duration) time.Time { return now.Add(quiet + time.Duration(quietSpread*float64(quiet))) }
	for name, c := range map[string]struct {
		asked []time.Duration
		until time.Duration
	}{
		"short":          {[]time.Duration{300 * time.Millisecond}, 300 * time.Millisecond},
		"long":           {[]time.Duration{20 * time.Second}, 20 * time.Second},
		"above the most": {[]time.Duration{1000 * time.Hour}, MaxQuiet},
		"prolonged":      {[]time.Duration{time.Second, 5 * time.Second}, 5 * time.Second},
		"shortened":      {[]time.Duration{20 * time.Second, time.Second}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c0 := noticeCandidate(0, now)
			for _, d := range c.asked {
				c0.ObserveNotice(now, Notice{RetryAfter: d}, event.Logger{}, "request", "r")
			}
			c0.ObserveNotice(now, Notice{}, event.Logger{}, "request", "r") // says nothing
			is.True(!c0.Stats.Accepts(now.Add(c.until-time.Millisecond), 0))
			is.True(c0.Stats.Accepts(latest(c.until), 0))
			q := Query{Now: now}
			first := FirstReturn(q, []Candidate{c0})
			is.True(!first.Before(now.Add(c.until)) && !first.After(latest(c.until)))
		})
	}
}

// After a quiet an endpoint gets one call at a time until one succeeds, and VMs that were told the same time return at different
// moments.
func TestReturnAfterQuiet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const quiet = 2 * time.Second
	ends := make(map[time.Time]bool)
	for range 50 {
		c := noticeCandidate(0, now)
		c.ObserveNotice(now, Notice{RetryAfter: quiet}, event.Logger{}, "request", "r")
		ends[c.Stats.QuietUntil()] = true
	}
	is.True(len(ends) > 40)

	c := noticeCandidate(0, now)
	c.ObserveNotice(now, Notice{RetryAfter: quiet}, event.Logger{}, "request", "r")
	is.True(!c.Stats.EndQuiet(now.Add(quiet / 2))) // a call that was sent before succeeds
	after := now.Add(2 * quiet)
	is.True(c.Stats.Accepts(after, 0))
	is.True(!c.Stats.Accepts(after, 1))
	is.True(c.Stats.EndQuiet(after))
	is.True(c.Stats.Accepts(after, 1))
}
