package cold

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func memberNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%03d", i)
	}
	return out
}

func TestRate(t *testing.T) {
	for _, c := range []struct {
		limit Limit
		rate  int
	}{
		{Limit{9, 1.5, 5}, 9},
		{Limit{15, 1.5, 5}, 13},
		{Limit{9, 1, 0}, 4},
		{Limit{1, 1, 0}, 0}, // VMs with two views would send two calls
		{Limit{0.4, 10, 5}, 0},
		{Limit{0, 1.5, 5}, 0},
	} {
		t.Run(fmt.Sprint(c.limit), func(t *testing.T) {
			is.New(t).Equal(c.limit.Rate(), c.rate)
		})
	}
}

// The shares of any number of members add up to the rate: with less, capacity is unused, with more, endpoints crash.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 70, 420} {
		for _, rate := range []int{0, 1, 9, 13} {
			t.Run(fmt.Sprint(n, "members rate", rate), func(t *testing.T) {
				is := is.New(t)
				members := memberNames(n)
				sum := 0
				for _, m := range members {
					sum += Share(rate, Endpoint{"e-1", 7}, members, m)
				}
				is.Equal(sum, rate)
				is.Equal(Share(rate, Endpoint{"e-1", 7}, members, "vm-unknown"), 0)
			})
		}
	}
}

// A pause or an idle time gives no more than one call at once.
func TestNoPermitsAccumulate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	var s Schedule
	is.True(s.Take(start) && s.Take(start)) // not cold
	is.True(s.Update(start, Terms{Until: start.Add(time.Minute), Share: 3, MembersSince: start.Add(-time.Hour)}))
	is.True(!s.Take(start)) // calls before the cold period count
	later := start.Add(20 * time.Second)
	is.True(s.Next(later).IsZero())
	is.True(s.Take(later))
	is.True(!s.Take(later))
	is.Equal(s.Next(later), later.Add(340*time.Millisecond))
	is.True(!s.Renew(later, later.Add(200*time.Millisecond)))
	is.True(s.Renew(later, later.Add(50*time.Millisecond)))
	is.True(s.Take(start.Add(time.Minute)) && s.Take(start.Add(time.Minute)))
}

// A VM that is not among the senders names the end of the cold period as its next call.
func TestNextWithoutShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var s Schedule
	s.Update(now, Terms{Until: now.Add(3 * time.Second)})
	is.True(!s.Take(now.Add(2 * time.Second)))
	is.Equal(s.Next(now), now.Add(3*time.Second))
}

// A VM that a change of the members makes a sender waits until the calls of the previous ones are a second old. One that stays a
// sender does not wait.
func TestNewSenderWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	terms := Terms{Until: now.Add(time.Minute), Share: 2, MembersSince: now.Add(-time.Hour)}
	var stays, joins Schedule
	stays.Update(now, terms)
	joins.Update(now, Terms{Until: terms.Until, MembersSince: terms.MembersSince})
	terms.MembersSince = now.Add(2 * time.Second)
	for _, s := range []*Schedule{&stays, &joins} {
		s.Update(terms.MembersSince, terms)
	}
	is.True(stays.Take(terms.MembersSince))
	is.True(!joins.Take(terms.MembersSince.Add(990 * time.Millisecond)))
	is.True(joins.Take(terms.MembersSince.Add(time.Second)))
}

// sender is one VM of TestBound.
type sender struct {
	name     string
	schedule *Schedule
	// learnsAt is when the VM first hears of the endpoint; readyAt when it may send after its start.
	learnsAt, readyAt time.Duration
	// viewFrom is when the VM's view changes from the first to the second and back.
	viewFrom, viewTo, membersSince time.Duration
	until                          time.Duration
	view                           int
}

// TestBound simulates 70 VMs with two different views, in any order of reports, delays and restarts. Together they must not exceed
// the limit in any second of the cold period.
func TestBound(t *testing.T) {
	const (
		step       = 10 * time.Millisecond
		coldPeriod = 3 * time.Second
		warmUp     = 2 * time.Second
	)
	start := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: rapid.SampledFrom([]float64{1, 2, 5, 9, 15, 40}).Draw(t, "per second"), Excess: rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "excess"), Slack: rapid.SampledFrom([]float64{0, 5}).Draw(t, "slack")}
		all := memberNames(70)
		var members [2][]string
		for i := range members {
			first := rapid.IntRange(0, 69).Draw(t, "first member")
			members[i] = all[first:rapid.IntRange(first, 70).Draw(t, "last member")]
		}
		duration := func(label string, longest time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(longest/step)).Draw(t, label)) * step
		}
		senders := make([]*sender, len(all))
		for i, name := range all {
			s := &sender{name: name, schedule: &Schedule{}, membersSince: -time.Hour}
			s.learnsAt, s.viewFrom = duration("learns at", coldPeriod), duration("view from", coldPeriod)
			s.viewTo = s.viewFrom + duration("view to", coldPeriod)
			s.view = rapid.IntRange(0, 1).Draw(t, "view")
			senders[i] = s
		}
		restartEvery := rapid.IntRange(1, 400).Draw(t, "restart every")
		var calls []time.Duration
		count := 0
		for at := time.Duration(0); at < coldPeriod; at += step {
			now := start.Add(at)
			for i, s := range senders {
				if count++; count%(restartEvery*70+i+1) == 0 { // the VM restarts
					s.schedule, s.readyAt = &Schedule{}, at+warmUp
				}
				if at == s.viewFrom || at == s.viewTo {
					s.view, s.membersSince = 1-s.view, at
				}
				if at < s.learnsAt {
					continue
				}
				if at == s.learnsAt || s.until == 0 {
					s.until = coldPeriod + duration("delay of the report", time.Second)
				}
				share := 0
				if at >= s.readyAt {
					share = Share(limit.Rate(), Endpoint{"e-1", 1}, members[s.view], s.name)
				}
				s.schedule.Update(now, Terms{Until: start.Add(s.until), Share: share, MembersSince: start.Add(s.membersSince)})
				for range 2 {
					if s.schedule.Take(now) {
						calls = append(calls, at)
					}
				}
			}
		}
		for i, from := range calls {
			n := 0
			for _, at := range calls[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if float64(n) > limit.Bound() {
				t.Fatalf("%d calls in the second from %s, limit %v", n, from, limit.Bound())
			}
		}
	})
}
