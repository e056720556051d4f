package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Bounds on the calls that reach an endpoint with a limit, from the platform.
const (
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.0.%d", i))
	}
	return out
}

// largestWindow returns the largest number of calls in window.
func largestWindow(calls []time.Time) int {
	largest, first := 0, 0
	for i, at := range calls {
		for at.Sub(calls[first]) >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// The shares of all members add up to the rate, and members that do not know each other stay within the bound together.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 2000).Draw(t, "limit")
		members := names(rapid.IntRange(1, 420).Draw(t, "members"))
		sum := 0.0
		senders := 0
		for _, m := range members {
			if share := Share(limit, "e", 1, members, m); share > 0 {
				sum += share
				senders++
			}
		}
		if rate := Rate(limit); sum < 0.999*rate || sum > 1.001*rate {
			t.Fatalf("the shares add up to %v, the rate is %v", sum, rate)
		}
		if Rate(limit) > limit || Rate(limit) < limit/2 {
			t.Fatalf("rate %v for limit %v", Rate(limit), limit)
		}
		if Share(limit, "e", 1, members, "stranger") != 0 {
			t.Fatal("a VM that is no member has a share")
		}
	})
}

// simulatedVM calls whenever it may.
type simulatedVM struct {
	Schedule

	name        string
	members     []string
	since       time.Time
	pausedUntil time.Time
}

func (v *simulatedVM) learn(limit float64) {
	v.Update(Terms{Limit: limit, Share: Share(limit, "e", 1, v.members, v.name), MembersSince: v.since})
}

// Whatever VMs restart, pause or are cut off from the others, all of them together stay within the bound, and use the limit
// while nothing happens.
func TestScheduleKeepsLimitOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0.1, 0.5, 1, 1.2, 2, 3.7, 5, 9, 30, 120}).Draw(t, "limit")
		all := names(rapid.IntRange(2, 40).Draw(t, "vms"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		start := time.Unix(1_700_000_000, 0)
		vms := make([]*simulatedVM, len(all))
		for i, name := range all {
			vms[i] = &simulatedVM{name: name, members: all, since: start.Add(-time.Minute)}
		}
		disturbed := rapid.Bool().Draw(t, "disturbed")
		var calls []time.Time
		const step, duration = 10 * time.Millisecond, 20 * time.Second
		for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
			if disturbed && rng.IntN(200) == 0 {
				disturb(rng, now, vms, all)
			}
			for _, v := range vms {
				v.learn(limit)
				if now.Before(v.pausedUntil) {
					continue
				}
				for v.Permits(now) && v.Take(now) {
					calls = append(calls, now)
				}
			}
		}
		allowed := excess*limit*window.Seconds() + slack
		if n := largestWindow(calls); float64(n) > allowed {
			t.Fatalf("%d calls in %v, %.1f are allowed", n, window, allowed)
		}
		if used := float64(len(calls)) / duration.Seconds(); !disturbed && used < limit/2 {
			t.Fatalf("%.2f calls per second of %.2f were used", used, limit)
		}
	})
}

// disturb restarts or pauses a VM, or cuts a group off from the others for good: each group then has its own members.
func disturb(rng *rand.Rand, now time.Time, vms []*simulatedVM, all []string) {
	i := rng.IntN(len(vms))
	switch rng.IntN(4) {
	case 0: // the VM starts again and has to learn the limit and the members first
		vms[i].Schedule = Schedule{}
		vms[i].since = now
		vms[i].Suspend(1)
	case 1:
		vms[i].pausedUntil = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
	case 2: // cut in two
		for j, v := range vms {
			members := slices.Clone(all[:i])
			if j >= i {
				members = slices.Clone(all[i:])
			}
			v.setMembers(now, members)
		}
	case 3: // joined again
		for _, v := range vms {
			v.setMembers(now, all)
		}
	}
}

func (v *simulatedVM) setMembers(now time.Time, members []string) {
	if !slices.Equal(v.members, members) {
		v.members, v.since = members, now
	}
}

// A VM that does not know its share sends nothing, a VM without one says when the endpoint takes a call, and calls are
// unlimited again after the end of the limit.
func TestScheduleTerms(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var s Schedule
	is.True(s.Permits(now))
	is.True(!s.Stale(now))
	s.Suspend(2)
	is.True(!s.Permits(now))
	is.Equal(s.Next(now), now.Add(interval(Rate(2))))
	longAgo := now.Add(-time.Minute)
	is.True(!s.Update(Terms{Limit: 2, Share: 2, MembersSince: longAgo})) // it was limited before
	is.True(s.Stale(now))
	is.True(s.Take(now))
	is.True(!s.Take(now))
	is.Equal(s.Next(now), now.Add(500*time.Millisecond))
	is.True(s.Take(now.Add(500 * time.Millisecond)))
	is.True(s.Renew(now, now.Add(maxPermitAge)))
	is.True(!s.Renew(now, now.Add(700*time.Millisecond))) // too old, and there is no other permit
	is.True(s.Renew(now, now.Add(1000*time.Millisecond)))
	later := now.Add(10 * time.Second)
	s.Update(Terms{Limit: 2, Share: 1, MembersSince: later}) // a smaller share counts at once
	is.True(s.Permits(later))
	s.Update(Terms{Limit: 2, Share: 2, MembersSince: later}) // a larger one once the others know
	is.True(!s.Permits(later))
	is.True(s.Permits(later.Add(settleTime)))
	is.True(s.Update(Terms{}))
	is.True(s.Take(later) && s.Take(later))
}
