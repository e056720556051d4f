package control

import (
	"strings"
	"time"

	"godwitplank/crash"
	"godwitplank/event"
	"godwitplank/link"
)

// Few VMs see enough crashes to tell which prompt caused them. The VMs therefore send the crashed runs that they observe in
// their exchange requests. The replies name suspect parts, of whose completed runs the VMs then report the last one, and the
// quarantines that follow. Quarantines also travel in requests, so that a restarted hub has them again.

// maxCrashedRuns bounds the crashed runs in one exchange request.
const maxCrashedRuns = 128

// addCrashEvidence adds what a peer does not have yet of this VM's evidence to a request.
func (c *Control) addCrashEvidence(now time.Time, p *peer, r *link.ExchangeRequest) {
	runs := c.Crashes.LocalRunsSince(p.crashesSentAt)
	for _, run := range runs[max(0, len(runs)-maxCrashedRuns):] {
		r.CrashedRuns = append(r.CrashedRuns, &link.CrashedRun{
			EndpointId: run.Endpoint.ID, Incarnation: run.Endpoint.Incarnation, Prompt: run.Prompt, Parts: run.Parts,
			AgeMs: now.Sub(run.At).Milliseconds(),
		})
	}
	for part, at := range c.Crashes.WatchedSurvivals(now) {
		r.Survivals = append(r.Survivals, &link.PartSurvival{Part: part, AgeMs: now.Sub(at).Milliseconds()})
	}
	r.Quarantines = encodeQuarantines(now, c.Crashes.Quarantines(now))
}

// mergeCrashEvidence adds the evidence of another VM.
func (c *Control) mergeCrashEvidence(now time.Time, r *link.ExchangeRequest) {
	var runs []crash.Run
	for _, run := range r.CrashedRuns {
		runs = append(runs, crash.Run{
			At: now.Add(-age(run.AgeMs)), Endpoint: crash.Endpoint{ID: run.EndpointId, Incarnation: run.Incarnation},
			Prompt: run.Prompt, Parts: run.Parts,
		})
	}
	survivals := make(map[string]time.Time, len(r.Survivals))
	for _, s := range r.Survivals {
		survivals[s.Part] = now.Add(-age(s.AgeMs))
	}
	c.Crashes.Merge(now, runs, survivals)
	c.Crashes.Adopt(now, decodeQuarantines(now, r.Quarantines))
}

// age converts an age in milliseconds, at least 0.
func age(ms int64) time.Duration {
	return time.Duration(max(ms, 0)) * time.Millisecond
}

func encodeQuarantines(now time.Time, quarantines []crash.Quarantine) []*link.PromptQuarantine {
	var out []*link.PromptQuarantine
	for _, q := range quarantines {
		out = append(out, &link.PromptQuarantine{Parts: q.Parts, LeftMs: q.Until.Sub(now).Milliseconds(), Repeats: int32(q.Repeats)})
	}
	return out
}

func decodeQuarantines(now time.Time, quarantines []*link.PromptQuarantine) []crash.Quarantine {
	var out []crash.Quarantine
	for _, q := range quarantines {
		out = append(out, crash.Quarantine{Parts: q.Parts, Until: now.Add(time.Duration(q.LeftMs) * time.Millisecond), Repeats: int(q.Repeats)})
	}
	return out
}

// logQuarantine logs a quarantine that this VM decided or learned of.
func (c *Control) logQuarantine(q crash.Quarantine, local bool) {
	c.Log.Log(event.PromptQuarantined, "parts", strings.Join(q.Parts, ","), "crashes", q.Crashes, "repeats", q.Repeats,
		"left_ms", q.Until.Sub(c.Clock.Now()).Milliseconds(), "decided_here", local)
}
