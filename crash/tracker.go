package crash

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker collects evidence and decides which prompts are quarantined. The zero value is ready to use. Set the exported
// fields before use. Its methods are safe for concurrent use.
type Tracker struct {
	// Follower is true on a VM that does not get the evidence of all others. It adopts quarantines and decides none: the
	// cause of a crash may have run at another VM.
	Follower bool
	// OnQuarantine, if set, is called for each new quarantine, with local false if another VM decided it.
	OnQuarantine func(q Quarantine, local bool)

	mu sync.Mutex
	// runs are in the order in which this VM learned of them, at most one for each endpoint and prompt.
	runs []trackedRun
	// survivals has the last completed run with each part.
	survivals map[string]time.Time
	// watched has the suspects of other VMs and when those last named them.
	watched     map[string]time.Time
	quarantines []Quarantine
	// dirty is true if there is evidence that was not evaluated.
	dirty       bool
	evaluatedAt time.Time
}

// trackedRun is a run that this VM observed itself, or learned of from another VM.
type trackedRun struct {
	Run
	local     bool
	learnedAt time.Time
}

// HashPrompt returns a hash of the IDs of all parts of a prompt.
func HashPrompt(ids []string) uint64 {
	h := fnv.New64a()
	for _, id := range ids {
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// RecordCrash records a run of this VM that ended because its endpoint closed the connection.
func (t *Tracker) RecordCrash(r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRun(r.At, r, true)
}

// SurvivedAfter is how long a run has to write its answer to count as completed. Prompts that crash endpoints do so when these
// begin to write.
const SurvivedAfter = time.Second

// RecordSurvival records a run of this VM that was completed or has written for SurvivedAfter.
func (t *Tracker) RecordSurvival(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts[:min(len(parts), maxParts)] {
		t.addSurvival(now, part)
	}
	t.quarantines = slices.DeleteFunc(t.quarantines, func(q Quarantine) bool {
		return !now.Before(q.Until) && containsAll(parts, q.Parts)
	})
}

// Find returns the quarantine that applies to a prompt, or nil.
func (t *Tracker) Find(now time.Time, parts []string) *Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	for i := range t.quarantines {
		if q := t.quarantines[i]; now.Before(q.Until) && containsAll(parts, q.Parts) {
			return &q
		}
	}
	return nil
}

// Quarantines returns the quarantines in force.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	var out []Quarantine
	for _, q := range t.quarantines {
		if now.Before(q.Until) {
			out = append(out, q)
		}
	}
	return out
}

// LocalRunsSince returns the runs that this VM recorded after a time.
func (t *Tracker) LocalRunsSince(since time.Time) []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Run
	for _, r := range t.runs {
		if r.local && r.learnedAt.After(since) {
			out = append(out, r.Run)
		}
	}
	return out
}

// Suspects returns the parts with a recent crash and no completed run since, those of the latest crashes first.
func (t *Tracker) Suspects(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	add := func(part string) {
		if !seen[part] && len(out) < maxSuspects {
			seen[part] = true
			out = append(out, part)
		}
	}
	for _, q := range t.quarantines {
		// A quarantine of several parts is reduced to those that have no completed run.
		for _, part := range q.Parts {
			if len(q.Parts) > 1 && now.Before(q.Until) {
				add(part)
			}
		}
	}
	for i := len(t.runs) - 1; i >= 0 && len(out) < maxSuspects; i-- {
		r := &t.runs[i]
		if now.Sub(r.At) > suspicionPeriod {
			continue
		}
		for _, part := range r.Parts {
			if r.At.After(t.survivals[part]) {
				add(part)
			}
		}
	}
	return out
}

// Watch records suspects that another VM named.
func (t *Tracker) Watch(now time.Time, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watched == nil {
		t.watched = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.watched, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionPeriod })
	for _, part := range parts[:min(len(parts), maxSuspects)] {
		if len(t.watched) < 2*maxSuspects || !t.watched[part].IsZero() {
			t.watched[part] = now
		}
	}
}

// WatchedSurvivals returns the last completed run of this VM with each watched part.
func (t *Tracker) WatchedSurvivals(now time.Time) map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Time)
	for part, at := range t.watched {
		survived, ok := t.survivals[part]
		if ok && now.Sub(at) <= suspicionPeriod && now.Sub(survived) <= survivalRetention {
			out[part] = survived
		}
	}
	return out
}

// Merge adds the evidence of another VM.
func (t *Tracker) Merge(now time.Time, runs []Run, survivals map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range runs {
		t.addRun(now, r, false)
	}
	for part, at := range survivals {
		t.addSurvival(at, part)
	}
}

// Adopt adds the quarantines of another VM that exclude more than those of this one do.
func (t *Tracker) Adopt(now time.Time, quarantines []Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range quarantines {
		q.Parts = cleanParts(q.Parts)
		if len(q.Parts) == 0 || !now.Before(q.Until) {
			continue
		}
		q.Until = earlier(q.Until, now.Add(maxDuration))
		covered := slices.ContainsFunc(t.quarantines, func(own Quarantine) bool { return now.Before(own.Until) && containsAll(q.Parts, own.Parts) })
		if !covered {
			t.put(q, false)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addRun adds a run and drops the oldest ones above the limits.
func (t *Tracker) addRun(now time.Time, r Run, local bool) {
	r.Parts = cleanParts(r.Parts)
	if len(r.Parts) == 0 || now.Sub(r.At) > runRetention {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(old trackedRun) bool { return now.Sub(old.At) > runRetention })
	for _, old := range t.runs {
		if old.Endpoint == r.Endpoint && old.Prompt == r.Prompt {
			return
		}
	}
	if len(t.runs) >= maxRuns {
		t.runs = slices.Delete(t.runs, 0, 1)
	}
	t.runs = append(t.runs, trackedRun{Run: r, local: local, learnedAt: now})
	t.dirty = true
}

func (t *Tracker) addSurvival(at time.Time, part string) {
	if t.survivals == nil {
		t.survivals = make(map[string]time.Time)
	}
	part = cleanPart(part)
	if !at.After(t.survivals[part]) {
		return
	}
	if len(t.survivals) >= maxSurvivals {
		t.dropSurvivals(at)
	}
	t.survivals[part] = at
	t.dirty = true
}

// dropSurvivals drops those older than survivalRetention, and all if they are more recent.
func (t *Tracker) dropSurvivals(now time.Time) {
	maps.DeleteFunc(t.survivals, func(_ string, at time.Time) bool { return now.Sub(at) > survivalRetention })
	if len(t.survivals) >= maxSurvivals {
		clear(t.survivals)
	}
}

// put adds a quarantine in place of those that exclude nothing else. Above the limit the one that ends first is dropped.
func (t *Tracker) put(q Quarantine, local bool) {
	t.quarantines = slices.DeleteFunc(t.quarantines, func(old Quarantine) bool { return containsAll(old.Parts, q.Parts) })
	if len(t.quarantines) >= maxQuarantines {
		slices.SortFunc(t.quarantines, func(a, b Quarantine) int { return b.Until.Compare(a.Until) })
		t.quarantines = t.quarantines[:maxQuarantines-1]
	}
	t.quarantines = append(t.quarantines, q)
	if t.OnQuarantine != nil {
		t.OnQuarantine(q, local)
	}
}
