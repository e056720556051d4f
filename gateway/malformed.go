package gateway

import (
	"errors"
	"slices"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/head"
	"godwitplank/route"
)

// encodeCall encodes the call of the request to an endpoint.
func (g *Gateway) encodeCall(x *exchange, endpoint string) *connection.Call {
	return g.Protocol.EncodeCall(&Call{
		Request: x.Request, Endpoint: endpoint, Workspace: x.workspace, Remaining: x.deadline.Sub(g.Clock.Now()),
		Inputs: x.inputs, HasStages: len(x.route.Stages) > 0, LastEventID: x.LastEventID,
	})
}

// checkCall returns an error if the call of the request cannot be encoded, whichever endpoint gets it. Then no endpoint is chosen.
func (g *Gateway) checkCall(x *exchange) error {
	err := g.encodeCall(x, "").Check()
	if err == nil {
		return nil
	}
	g.reportNotEncoded(x, nil, err)
	if x.possibleRuns > 0 {
		return err
	}
	return fault.New(fault.CallNotEncodable, "the request was not sent to an endpoint: %v; report this to the operators with the request id", err).
		WithOutcome(godwitplank.NotRun, 0)
}

// checkEventID returns an error for an event after which no stream could be resumed, since the call that resumes it has the id in its
// head. Ids of streams that are not resumed may be any text.
func (g *Gateway) checkEventID(x *exchange, a *attempt, id string) error {
	if !x.route.Resume {
		return nil
	}
	err := head.CheckValue("the id of an event", id)
	if err != nil {
		g.reportMalformed(x, a, "event", err)
	}
	return err
}

// mayResume reports whether another attempt is allowed after this one and there is an endpoint for it.
func (g *Gateway) mayResume(x *exchange) bool {
	now := g.Clock.Now()
	switch {
	case x.unresumable, x.attempts >= maxAttempts, x.possibleRuns+1 >= x.route.Attempts(), x.deadline.Sub(now) < minRetryTime:
		return false
	case g.Budget.Remaining(now, x.service.Name, len(x.view.EntryVMs)) <= 0:
		return false
	}
	return slices.ContainsFunc(g.Views.View().Pools[x.service.Name], func(c route.Candidate) bool { return !slices.Contains(x.tried, c.ID) })
}

// reportMalformed logs and counts a malformed response, if err is about one. Source is head, or event for the id of an event.
func (g *Gateway) reportMalformed(x *exchange, a *attempt, source string, err error) {
	var malformed *head.Error
	if errors.As(err, &malformed) {
		g.Meter.RecordMalformedResponse(x.service.Name, source)
		g.logHeadError(event.EndpointMalformed, x, a.candidate, source, malformed)
	}
}

// reportNotEncoded logs and counts a call that was not sent since its head cannot be encoded. The candidate is nil if none was
// chosen.
func (g *Gateway) reportNotEncoded(x *exchange, c *route.Candidate, err error) {
	g.Meter.RecordCallNotEncoded(x.service.Name)
	var malformed *head.Error
	if errors.As(err, &malformed) {
		g.logHeadError(event.CallNotEncoded, x, c, "request", malformed)
	}
}

// logHeadError logs a text that cannot be sent in a head, if there were not too many of late.
func (g *Gateway) logHeadError(e event.Event, x *exchange, c *route.Candidate, source string, malformed *head.Error) {
	skipped, ok := g.malformed.Allow(g.Clock.Now())
	if !ok {
		return
	}
	if c == nil {
		c = &route.Candidate{}
	}
	g.Log.Log(e, "endpoint", c.ID, "incarnation", c.Incarnation, "service", x.service.Name, "source", source, "request_id", x.ID,
		"part", malformed.Part, "text", malformed.Quoted(), "reason", malformed.Reason, "skipped", skipped)
}
