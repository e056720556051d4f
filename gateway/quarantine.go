package gateway

import (
	"context"
	"net/http"
	"strings"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/crash"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/route"
)

// sharedParts returns the IDs of the prompt parts that other requests may share: all but the last.
func sharedParts(parts []route.PromptPart) []string {
	var ids []string
	for _, p := range parts[:max(0, len(parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// findQuarantine returns the quarantine that keeps the request from endpoints, or nil.
func (g *Gateway) findQuarantine(x *exchange) *crash.Quarantine {
	if len(x.Prefix) < 2 {
		return nil
	}
	return g.Crashes.Find(g.Clock.Now(), sharedParts(x.Prefix))
}

// refuseQuarantined logs the decision and returns the refusal of a request that was not sent to an endpoint.
func (g *Gateway) refuseQuarantined(x *exchange, q *crash.Quarantine) error {
	left := q.Until.Sub(g.Clock.Now())
	g.Log.Log(event.RequestQuarantined, "request_id", x.ID, "parts", strings.Join(q.Parts, ","), "left_ms", left.Milliseconds(), "attempts", x.attempts)
	return fault.New(fault.PromptQuarantined, "endpoints crashed while they ran prompts with the parts %s; leave them out, or retry after the indicated delay",
		strings.Join(q.Parts, ", ")).WithOutcome(godwitplank.NotRun, left)
}

// recordCrashEvidence records a run that ended because the endpoint closed the connection, and a completed one.
func (g *Gateway) recordCrashEvidence(ctx context.Context, x *exchange, a *attempt, o *outcome) {
	parts := sharedParts(x.Prefix)
	switch {
	case len(parts) == 0 || ctx.Err() != nil:
	case a.sent && connection.ClosedByEndpoint(o.err):
		g.Crashes.RecordCrash(crash.Run{
			At: g.Clock.Now(), Endpoint: crash.Endpoint{ID: a.candidate.ID, Incarnation: a.candidate.Incarnation},
			Prompt: crash.HashPrompt(promptIDs(x.Prefix)), Parts: parts,
		})
	case o.err == nil && o.response == nil && x.status == http.StatusOK && !o.unframed:
		g.Crashes.RecordSurvival(g.Clock.Now(), parts)
	}
}

func promptIDs(parts []route.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}
