// Package gateway serves the raw requests of routes: it passes each to an endpoint and the answer back.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/control"
	"godwitplank/document"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/piece"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Gateway serves the requests of routes. Set the exported fields before its use.
type Gateway struct {
	DataCentre string
	Views      entry.Views
	Protocol   Protocol
	Pieces     piece.Runner
	// Holder returns the address of the endpoint that holds a result of a stage.
	Holder   func(handle string) (netip.AddrPort, error)
	Policy   route.Policy
	Prefixes *route.Prefixes
	Reach    *route.Reach
	Budget   *retry.Budget
	Pool     *connection.Pool
	Clock    timer.Clock
	Meter    *telemetry.Meter
	Log      event.Logger

	inFlight atomic.Int64
	delays   delays
}

// defaultBodyBytes bounds a body where the document does not.
const defaultBodyBytes = 4 << 20

// rankSpan is larger than the ranks of routes, so that a workspace's rank goes before them.
const rankSpan = 1000

// exchange is one request while it is served.
type exchange struct {
	*Request
	w         http.ResponseWriter
	arrived   time.Time
	deadline  time.Time
	due       time.Time
	view      *control.View
	route     *document.Route
	service   *document.Service
	workspace string
	priority  int
	// stages is how long the stages took.
	stages time.Duration
	// staged is when they were done last.
	staged time.Time
	inputs []string
	// inputBytes is the size of the inputs in each data centre.
	inputBytes map[string]int64
	// home is the data centre of the endpoint that has most of the prompt cached.
	home string
	// ran counts the endpoints that may have run the request, reached those that got it, sends the attempts.
	ran     int
	reached int
	sends   int
	tried   []string
	// first is when the first byte of the answer went to the caller.
	first time.Time
	// status is what the caller was answered.
	status int
}

// InFlight returns the number of requests that are not answered yet.
func (g *Gateway) InFlight() int64 {
	return g.inFlight.Load()
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{w: w, arrived: g.Clock.Now(), view: g.Views.View()}
	err := g.admit(x, r)
	if err == nil {
		err = g.serve(r.Context(), x)
	}
	g.finish(r.Context(), x, err)
}

// admit decodes a request and checks it against the document in force.
func (g *Gateway) admit(x *exchange, r *http.Request) error {
	var err error
	if x.Request, err = g.Protocol.Request(r); err != nil {
		x.Request = &Request{}
		return err
	}
	d := x.view.Document
	if d == nil {
		return fault.New(fault.NoDocument, "this VM has no document yet; try again in a second").With(godwitplank.NotRun, time.Second)
	}
	if x.route = d.FindRoute(x.Host, x.Path); x.route == nil {
		return fault.New(fault.UnknownPath, "no route has host %q and a prefix of path %q; check both", x.Host, x.Path)
	}
	x.priority = x.route.Priority
	if err := x.open(d); err != nil {
		return err
	}
	if err := g.readBody(x, r, d); err != nil {
		return err
	}
	x.service = d.Service(x.route.Pick(rand.Float64()))
	x.deadline = x.arrived.Add(x.route.Timeout())
	if x.Remaining > 0 {
		x.deadline = timer.Earlier(x.deadline, x.arrived.Add(x.Remaining))
	}
	x.due = x.deadline
	if x.route.TargetLatencyMS > 0 {
		x.due = timer.Earlier(x.deadline, x.arrived.Add(x.route.TargetLatency()))
	}
	g.Budget.Request(x.arrived, x.service.Name)
	g.Log.Log(event.RequestTaken, "request_id", x.ID, "route", x.route.Name, "workspace", x.workspace,
		"document_version", d.Version, "left_ms", x.deadline.Sub(x.arrived).Milliseconds())
	return nil
}

// open finds the workspace that the request's key opens.
func (x *exchange) open(d *document.Document) error {
	if len(d.Workspaces) == 0 || x.route.Public {
		return nil
	}
	owner := d.WorkspaceOf(x.Key)
	if owner == nil {
		return fault.New(fault.WrongKey, "no workspace has this key; send a key of the document in force")
	}
	x.workspace = owner.Name
	if owner.RanksRequests {
		x.priority += rankSpan * owner.Priority
	}
	return nil
}

func (g *Gateway) readBody(x *exchange, r *http.Request, d *document.Document) error {
	most := d.RequestLimits.MaxBodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	body, refusal := entry.ReadBody(x.w, r, most)
	if refusal != nil {
		return refusal
	}
	x.Body = body
	return nil
}

// serve makes the stages and passes the request on.
func (g *Gateway) serve(ctx context.Context, x *exchange) error {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if err := g.makeStages(ctx, x); err != nil {
		return err
	}
	return g.attempts(ctx, x)
}

// finish answers a request that failed, and logs how it ended.
func (g *Gateway) finish(ctx context.Context, x *exchange, err error) {
	var e *fault.Error
	aborted := false
	if err != nil {
		e = g.explain(ctx, x, err)
		switch {
		case !x.first.IsZero():
			aborted = true
		case ctx.Err() == nil:
			x.status = e.Status()
			g.Protocol.Refuse(x.w, x.ID, e)
		}
	}
	g.report(x, e)
	if aborted {
		// Ends the connection without the end of the answer, so that it does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// explain turns an error into what the caller is told.
func (g *Gateway) explain(ctx context.Context, x *exchange, err error) *fault.Error {
	switch {
	case ctx.Err() != nil:
		return fault.New(fault.ClientDisconnected, "the caller left")
	case fault.Is(err) && x.ran == 0 && unfinished[fault.As(err).Kind]:
		return fault.New(fault.NoEndpoint, "the request was not sent to an endpoint (%v); try again after the time given", err).
			With(godwitplank.NotRun, refusedRetryAfter)
	case fault.Is(err):
		return fault.As(err)
	case errors.Is(err, context.DeadlineExceeded) && x.ran == 0:
		return fault.New(fault.DeadlineTooShort, "the deadline passed before an endpoint was sent the request; try again later").With(godwitplank.NotRun, 0)
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "the endpoint did not answer within the deadline; give more time")
	}
	return fault.New(fault.StageFailed, "the endpoint failed (%v); try again if the request may be repeated", err)
}

// unfinished are the kinds of errors of stages. A request whose stages failed has not run.
var unfinished = map[fault.Kind]bool{fault.StageFailed: true, fault.DeadlineExceeded: true, fault.NoEndpoint: true}

func (g *Gateway) report(x *exchange, e *fault.Error) {
	now := g.Clock.Now()
	name, kind, message, outcome := "", "", "", godwitplank.Done
	var retryAfter int64
	if x.route != nil {
		name = x.route.Name
	}
	if e != nil {
		kind, message, retryAfter, outcome = string(e.Kind), e.Message, e.RetryAfterMS, e.Outcome
	}
	var version uint64
	if x.view.Document != nil {
		version = x.view.Document.Version
	}
	left := time.Duration(0)
	if !x.deadline.IsZero() {
		left = x.deadline.Sub(now)
	}
	first := time.Duration(-time.Millisecond)
	if !x.first.IsZero() {
		first = x.first.Sub(x.arrived)
	}
	g.Meter.Request(name, string(outcome), kind, now.Sub(x.arrived))
	g.Log.Log(event.RequestAnswered, "request_id", x.ID, "route", name, "workspace", x.workspace, "document_version", version,
		"status", x.status, "kind", kind, "message", message, "stages_ms", x.stages.Milliseconds(), "first_ms", first.Milliseconds(),
		"took_ms", now.Sub(x.arrived).Milliseconds(), "left_ms", left.Milliseconds(), "attempts", x.sends,
		"retry_after_ms", retryAfter)
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
