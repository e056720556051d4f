package crash

import (
	"maps"
	"slices"
	"time"
)

// suspect is a part with the evidence against it.
type suspect struct {
	part string
	// crashedAt has the first time at which a run with the part ended at each endpoint.
	crashedAt map[Endpoint]time.Time
	prompts   map[uint64]bool
	// learnedAt is when this VM learned of the first of the crashes.
	learnedAt time.Time
	// common are the parts that all crashed runs with the part have and that were in no completed run since.
	common []string
}

// evaluate renews, reduces and adds quarantines by the evidence that is new.
func (t *Tracker) evaluate(now time.Time) {
	if !t.dirty || now.Sub(t.evaluatedAt) < evaluationInterval {
		return
	}
	t.dirty, t.evaluatedAt = false, now
	t.quarantines = slices.DeleteFunc(t.quarantines, func(q Quarantine) bool { return now.Sub(q.Until) > probationPeriod })
	if t.Follower {
		return
	}
	t.renew(now)
	t.reduce(now)
	for range maxQuarantines {
		added := t.newQuarantines(now)
		if len(added) == 0 {
			return
		}
		for _, q := range added {
			t.put(q, true)
		}
	}
}

// newQuarantines returns the quarantines that follow from the parts with the most crashes, none if there is not enough evidence
// against any. Parts with the same number of crashes are all held to be causes, except for those that the others always
// have beside them: these explain the same crashes and exclude less.
func (t *Tracker) newQuarantines(now time.Time) []Quarantine {
	var strongest []*suspect
	most := 0
	suspects, crashes := t.suspects()
	for _, s := range suspects {
		if len(s.crashedAt) < max(most, minCrashes) || len(s.prompts) < minPrompts {
			continue
		}
		s.dropCommonCauses(crashes)
		n := len(s.crashedAt)
		if n < most || s.episodes() < minCrashes {
			continue
		}
		if n > most {
			strongest, most = nil, n
		}
		strongest = append(strongest, s)
	}
	var out []Quarantine
	for _, s := range strongest {
		if now.Sub(s.learnedAt) < reportTime {
			t.dirty = true // to be evaluated again without new evidence
			return nil
		}
		q := Quarantine{Parts: s.common, Until: now.Add(firstDuration), Crashes: most}
		if slices.ContainsFunc(out, func(o Quarantine) bool { return containsAll(o.Parts, q.Parts) }) {
			continue
		}
		out = slices.DeleteFunc(out, func(o Quarantine) bool { return containsAll(q.Parts, o.Parts) })
		out = append(out, q)
	}
	return out
}

// suspects returns the parts of crashed runs that were not completed since, and all crashes in time order. Crashes under a
// quarantined prompt, in force or on probation, are left out: they count for no other part.
func (t *Tracker) suspects() ([]*suspect, []endpointCrash) {
	explained := make(map[Endpoint]bool)
	for _, r := range t.runs {
		if slices.ContainsFunc(t.quarantines, func(q Quarantine) bool { return containsAll(r.Parts, q.Parts) }) {
			explained[r.Endpoint] = true
		}
	}
	crashedAt := make(map[Endpoint]time.Time)
	byPart := make(map[string]*suspect)
	var out []*suspect
	for _, r := range t.runs {
		if explained[r.Endpoint] {
			continue
		}
		recordFirst(crashedAt, r)
		unsurvived := slices.DeleteFunc(slices.Clone(r.Parts), func(part string) bool { return !r.At.After(t.survivals[part]) })
		for _, part := range unsurvived {
			s := byPart[part]
			if s == nil {
				s = &suspect{part: part, crashedAt: make(map[Endpoint]time.Time), prompts: make(map[uint64]bool), learnedAt: r.learnedAt, common: unsurvived}
				byPart[part] = s
				out = append(out, s)
			}
			if r.learnedAt.Before(s.learnedAt) {
				s.learnedAt = r.learnedAt
			}
			recordFirst(s.crashedAt, r)
			s.prompts[r.Prompt] = true
			s.common = slices.DeleteFunc(slices.Clone(s.common), func(other string) bool { return !slices.Contains(unsurvived, other) })
		}
	}
	var crashes []endpointCrash
	for e, at := range crashedAt {
		crashes = append(crashes, endpointCrash{e, at})
	}
	slices.SortFunc(crashes, func(a, b endpointCrash) int { return a.at.Compare(b.at) })
	return out, crashes
}

// endpointCrash is the crash of an endpoint.
type endpointCrash struct {
	endpoint Endpoint
	at       time.Time
}

// recordFirst keeps the earliest time at which a run ended at its endpoint.
func recordFirst(crashedAt map[Endpoint]time.Time, r trackedRun) {
	if at, ok := crashedAt[r.Endpoint]; !ok || r.At.Before(at) {
		crashedAt[r.Endpoint] = r.At
	}
}

// dropCommonCauses drops the crashes beside which another endpoint crashed without a run with the part.
func (s *suspect) dropCommonCauses(crashes []endpointCrash) {
	ranAt := maps.Clone(s.crashedAt)
	for e, at := range ranAt {
		from, _ := slices.BinarySearchFunc(crashes, at.Add(-commonCauseWindow), func(c endpointCrash, t time.Time) int { return c.at.Compare(t) })
		for _, c := range crashes[from:] {
			if c.at.Sub(at) > commonCauseWindow {
				break
			}
			if _, ok := ranAt[c.endpoint]; !ok {
				delete(s.crashedAt, e)
			}
		}
	}
}

// episodes returns the number of crashes, of which those within minInterval count as one.
func (s *suspect) episodes() int {
	times := make([]time.Time, 0, len(s.crashedAt))
	for _, at := range s.crashedAt {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= minInterval {
			n++
			last = at
		}
	}
	return n
}

// renew quarantines prompts again under which an endpoint crashed after the end of their quarantine.
func (t *Tracker) renew(now time.Time) {
	for _, q := range slices.Clone(t.quarantines) {
		if now.Before(q.Until) {
			continue
		}
		for _, r := range t.runs {
			if !r.At.Before(q.Until) && containsAll(r.Parts, q.Parts) {
				q.Repeats++
				q.Until = now.Add(min(firstDuration<<min(q.Repeats, 16), maxDuration))
				q.Crashes = 1
				t.put(q, true)
				break
			}
		}
	}
}

// reduce drops the parts from a quarantine of several that were in a completed run since it began, unless all were.
func (t *Tracker) reduce(now time.Time) {
	for _, q := range slices.Clone(t.quarantines) {
		if len(q.Parts) < 2 || !now.Before(q.Until) {
			continue
		}
		began := t.lastCrashOf(q.Parts)
		left := slices.DeleteFunc(slices.Clone(q.Parts), func(part string) bool {
			return !began.IsZero() && t.survivals[part].After(began)
		})
		if len(left) == 0 || len(left) == len(q.Parts) {
			continue
		}
		q.Parts = left
		t.put(q, true)
	}
}

// lastCrashOf returns the time of the last known crashed run with all parts, zero if there is none.
func (t *Tracker) lastCrashOf(parts []string) time.Time {
	var last time.Time
	for _, r := range t.runs {
		if r.At.After(last) && containsAll(r.Parts, parts) {
			last = r.At
		}
	}
	return last
}
