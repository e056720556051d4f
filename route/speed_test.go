package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedEngine prefills one prompt after the other and keeps all that it has prefilled.
type simulatedEngine struct {
	slowness  float64
	busyUntil time.Time
	cached    map[string]bool
}

const (
	simulatedVMs           = 7
	simulatedTokensPerMS   = 64
	simulatedPace          = 10 * time.Millisecond // between two events at an engine of slowness 1
	simulatedEvents        = 20
	simulatedRequestsPerS  = 60
	simulatedSessions      = 96
	simulatedLongShare     = 0.25
	simulatedWarmUp        = 15 * time.Second // until most sessions have been prefilled once
	simulatedLength        = 60 * time.Second
	simulatedEnginesOfKind = 3
)

// simulatedPrompt has the tokens of a kind of prompt: those that the requests of a session share, and a request's own.
type simulatedPrompt struct{ shared, own int }

var (
	longPrompt  = simulatedPrompt{13_300, 3_700}
	shortPrompt = simulatedPrompt{350, 1_110}
)

// playEngines sends prompts of sessions through several VMs, each with its own knowledge, to engines of three speeds. It
// returns the time within which nine of ten requests got their first event, after the caches were filled. If learn is
// false, the VMs do not know the engines' pace.
func playEngines(seed uint64, learn bool) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 2))
	var engines []*simulatedEngine
	for _, slowness := range []float64{0.6, 1, 2.4} {
		for range simulatedEnginesOfKind {
			engines = append(engines, &simulatedEngine{slowness: slowness, cached: make(map[string]bool)})
		}
	}
	now := time.Unix(1000, 0)
	warm, end := now.Add(simulatedWarmUp), now.Add(simulatedLength)
	var indexes [simulatedVMs]PrefixIndex
	var candidates [simulatedVMs][]Candidate
	for vm := range candidates {
		for i := range engines {
			candidates[vm] = append(candidates[vm], Candidate{
				ID: fmt.Sprint("e", i), DataCentre: "dc", SendingVMs: simulatedVMs, ExpiresAt: end.Add(time.Hour), Confirmed: true, Stats: &Stats{},
			})
		}
	}
	type running struct {
		ends time.Time
		done func()
	}
	var inFlight []running
	var waits []time.Duration
	for now.Before(end) {
		now = now.Add(time.Duration(rng.ExpFloat64() / simulatedRequestsPerS * float64(time.Second)))
		kept := inFlight[:0]
		for _, r := range inFlight {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			r.done()
		}
		inFlight = kept
		vm := rng.IntN(simulatedVMs)
		session, prompt := fmt.Sprint("s", rng.IntN(simulatedSessions)), shortPrompt
		if rng.Float64() < simulatedLongShare {
			session, prompt = "long-"+session, longPrompt
		}
		parts := []PromptPart{{session, prompt.shared}, {fmt.Sprint(session, now.UnixNano()), prompt.own}}
		chosen, _ := indexes[vm].Choose(Query{Now: now, DataCentre: "dc"}, candidates[vm], parts)
		c, e := &candidates[vm][chosen], engines[chosen]
		uncached := float64(prompt.own)
		if !e.cached[session] {
			uncached += float64(prompt.shared)
		}
		e.cached[session] = true
		if e.busyUntil.Before(now) {
			e.busyUntil = now
		}
		e.busyUntil = e.busyUntil.Add(time.Duration(uncached / simulatedTokensPerMS * e.slowness * float64(time.Millisecond)))
		if now.After(warm) {
			waits = append(waits, e.busyUntil.Sub(now))
		}
		slowdown := c.Begin()
		indexes[vm].Record(c, parts, 0, now)
		pace := time.Duration(float64(simulatedPace) * e.slowness)
		inFlight = append(inFlight, running{e.busyUntil.Add(simulatedEvents * pace), func() {
			c.Stats.Succeed(simulatedEvents*pace, slowdown)
			if learn {
				c.Stats.ObservePace(now, pace)
			}
		}})
	}
	slices.Sort(waits)
	return waits[len(waits)*9/10]
}

// Engines of unlike speeds: VMs that know the pace of the engines' streams send less work to slow ones, and nine of ten
// callers wait at most three quarters of the time for their first event.
func TestEnginesOfUnlikeSpeeds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		without, with := playEngines(seed, false), playEngines(seed, true)
		t.Logf("seed %d: first event of nine in ten within %v without the pace, %v with it", seed, without, with)
		is.True(with < without*3/4)
	}
}

// The relative time of an engine is bounded, and 1 while nothing is known.
func TestSlowness(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{Stats: &Stats{}}, {Stats: &Stats{}}, {Stats: &Stats{}}, {Stats: &Stats{}}}
	now := time.Unix(1000, 0)
	unknown := newSlowness(candidates)
	is.Equal(unknown.of(&candidates[0]), 1.0)
	candidates[0].Stats.ObservePace(now, 10*time.Millisecond)
	candidates[1].Stats.ObservePace(now, 20*time.Millisecond)
	candidates[2].Stats.ObservePace(now, time.Second)
	s := newSlowness(candidates)
	is.Equal(s.of(&candidates[0]), minSlowness)
	is.Equal(s.of(&candidates[1]), 1.0)
	is.Equal(s.of(&candidates[2]), float64(maxSlowness))
	is.Equal(s.of(&candidates[3]), 1.0)
}
