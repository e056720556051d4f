package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/route"
)

var start = time.Unix(1_800_000_000, 0)

func engines(n int) []route.Candidate {
	out := make([]route.Candidate, n)
	for i := range out {
		out[i] = route.Candidate{ID: fmt.Sprint("engine-", i), DataCentre: "dc-a", Slots: 8, ExpiresAt: start.Add(time.Hour), Confirmed: true, Incarnation: 1, Stats: &route.Stats{}}
	}
	return out
}

var prompts int

// prompt returns a prompt of a session: a part that the session's prompts share, and one of its own.
func prompt(session string, shared, own int) Prompt {
	prompts++
	return Prompt{Parts: []route.PromptPart{{ID: session, Tokens: shared}, {ID: fmt.Sprint("own-", prompts), Tokens: own}}, CacheTokens: 100_000}
}

func query(at time.Duration) route.Query {
	return route.Query{Now: start.Add(at), DataCentre: "dc-a"}
}

// Prompts of several VMs that arrive together went to one engine, since each VM knew only its own.
func TestConcurrentPromptsGetDifferentEngines(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	candidates := engines(4)
	used := make(map[int]int)
	for i := range 4 {
		used[tracker.Place(query(0), candidates, prompt(fmt.Sprint("s", i), 1000, 3000)).Candidate]++
	}
	is.Equal(len(used), 4)
}

// A prompt goes back to the engine that has its shared part, unless others wait there for longer than reading it again takes.
func TestSharedPartAgainstWait(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	candidates := engines(4)
	first := tracker.Place(query(0), candidates, prompt("s", 4000, 500))
	tracker.First(first.Ticket, start.Add(90*time.Millisecond))
	tracker.End(start.Add(200*time.Millisecond), first.Ticket, false)

	again := tracker.Place(query(time.Second), candidates, prompt("s", 4000, 500))
	is.Equal(again.Candidate, first.Candidate)
	is.Equal(again.Uncached, 500)

	for range 30 {
		if tracker.Place(query(time.Second), candidates, prompt("s", 4000, 500)).Candidate != first.Candidate {
			return
		}
	}
	t.Error("30 prompts of one session wait at one engine while three are idle")
}

// An engine that is dark or slow has not sent the first event of a prompt when it was expected; new prompts avoid it before any
// call fails.
func TestOverdueEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	candidates := engines(2)
	stuck := tracker.Place(query(0), candidates, prompt("s", 0, 2000))
	for i := range 20 {
		at := 500*time.Millisecond + time.Duration(i)*200*time.Millisecond
		d := tracker.Place(query(at), candidates, prompt(fmt.Sprint("s", i), 0, 2000))
		is.True(d.Candidate != stuck.Candidate)
		tracker.First(d.Ticket, start.Add(at+50*time.Millisecond))
		tracker.End(start.Add(at+100*time.Millisecond), d.Ticket, false)
	}
}

// One VM's failed call keeps the prompts of all VMs from an engine.
func TestFailedEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	candidates := engines(2)
	failed := tracker.Place(query(0), candidates, prompt("s", 3000, 100))
	tracker.End(start.Add(10*time.Millisecond), failed.Ticket, true)
	is.True(tracker.Place(query(20*time.Millisecond), candidates, prompt("s", 3000, 100)).Candidate != failed.Candidate)
	is.Equal(tracker.Place(query(avoidFor+20*time.Millisecond), candidates, prompt("s", 3000, 100)).Candidate, failed.Candidate)
}

// The prompts of a VM that is lost never end; they count as load only for forgetAfter. Reports of an earlier tracker and doubled
// ones have no effect.
func TestLostReports(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	candidates := engines(1)
	d := tracker.Place(query(0), candidates, prompt("s", 0, 1000))
	tracker.End(start, d.Ticket+7, false)
	tracker.First(d.Ticket+7, start)
	is.Equal(tracker.engines[candidates[0].Stats].running, 1)
	later := tracker.Place(query(forgetAfter+time.Second), candidates, prompt("s", 0, 1000))
	is.Equal(tracker.engines[candidates[0].Stats].running, 1)
	tracker.End(start, d.Ticket, false)
	tracker.End(start, later.Ticket, false)
	tracker.End(start, later.Ticket, false)
	is.Equal(tracker.engines[candidates[0].Stats].running, 0)
	is.Equal(len(tracker.placed), 0)
}

// Under 60 % load, prompts that arrive in groups of three wait less than half as long as with a choice by each VM's own calls.
func TestWaitUnderClumpedLoad(t *testing.T) {
	shared, single := meanWait(t, true), meanWait(t, false)
	t.Logf("mean wait: %s with one VM that selects, %s with each VM for itself", shared, single)
	is.New(t).True(shared < single/2)
}

// meanWait plays prompts of 27 VMs to 12 engines that prefill one after the other, and returns the mean wait for the prompts before.
func meanWait(t *testing.T, shared bool) time.Duration {
	t.Helper()
	const count, tokens, tokenTime = 3000, 2000, 10 * time.Microsecond
	var tracker Tracker
	var prefixes [27]route.PrefixIndex
	views := make([][]route.Candidate, len(prefixes))
	for i := range views {
		views[i] = engines(12)
		for k := range views[i] {
			views[i][k].SendingVMs = len(views)
		}
	}
	idleAt := make([]time.Time, 12)
	total := time.Duration(0)
	type end struct {
		at       time.Time
		ticket   uint64
		stats    *route.Stats
		slowdown float64
	}
	var ends []end
	for i := range count {
		// 12 engines prefill 600 prompts a second; 360 arrive, three at a time.
		at := start.Add(time.Duration(i/3) * 8333 * time.Microsecond)
		for len(ends) > 0 && ends[0].at.Before(at.Add(-reportInterval)) {
			tracker.First(ends[0].ticket, ends[0].at)
			tracker.End(at, ends[0].ticket, false)
			ends[0].stats.Succeed(tokens*tokenTime, ends[0].slowdown)
			ends = ends[1:]
		}
		p := prompt(fmt.Sprint("s", i), 0, tokens)
		var chosen int
		var ticket uint64
		vm := i % len(prefixes)
		if shared {
			d := tracker.Place(route.Query{Now: at, DataCentre: "dc-a"}, views[0], p)
			chosen, ticket = d.Candidate, d.Ticket
		} else {
			chosen, _ = prefixes[vm].Choose(route.Query{Now: at, DataCentre: "dc-a"}, views[vm], p.Parts)
		}
		began := at
		if idleAt[chosen].After(at) {
			began = idleAt[chosen]
		}
		total += began.Sub(at)
		idleAt[chosen] = began.Add(tokens * tokenTime)
		slowdown := views[vm][chosen].Begin()
		ends = append(ends, end{idleAt[chosen], ticket, views[vm][chosen].Stats, slowdown})
	}
	return total / count
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{60, 1900} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			var tracker Tracker
			candidates := engines(n)
			at := time.Duration(0)
			for b.Loop() {
				at += time.Millisecond
				d := tracker.Place(query(at), candidates, prompt(fmt.Sprint("s", int(at)%500), 3000, 2000))
				tracker.First(d.Ticket, start.Add(at))
				tracker.End(start.Add(at), d.Ticket, false)
			}
		})
	}
}
