// Package gateway is the reverse proxy for routes. It runs the stages of a request, forwards the request to an endpoint
// of the route's service, retries or resumes it where the route allows, and relays the response.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"godwitplank"
	"godwitplank/admission"
	"godwitplank/caller"
	"godwitplank/connection"
	"godwitplank/control"
	"godwitplank/crash"
	"godwitplank/document"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/memory"
	"godwitplank/piece"
	"godwitplank/placement"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/stop"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Gateway serves HTTP requests by the routes of the active document. Set the exported fields before the first request.
type Gateway struct {
	DataCentre string
	Views      entry.Views
	Protocol   Protocol
	Pieces     piece.Runner
	// ResultAddr returns the address of the endpoint that stores a stage result. The handle is the endpoint's reference
	// to the result. It returns an error for a handle of unknown format.
	ResultAddr func(handle string) (netip.AddrPort, error)
	Policy     route.Policy
	Prefixes   *route.PrefixIndex
	Reach      *route.Reachability
	Crashes    *crash.Tracker
	Budget     *retry.Budget
	Pool       *connection.Pool
	// Placements has the engines of some services selected by one VM for all; nil for none.
	Placements *placement.Broker
	// Stop is the schedule of this VM's graceful stop; nil for a VM that never stops gracefully.
	Stop  *stop.Schedule
	Clock timer.Clock
	Meter *telemetry.Meter
	Log   event.Logger
	// Overload is the policy for overload of this VM's Dispatcher.
	Overload piece.OverloadPolicy
	// Tight holds the services to which piece.RefuseLate applies; nil for none.
	Tight *document.TightServices
	// Forecasts gives the predicted waits at stages, used with LeastCost; nil for none.
	Forecasts Forecasts

	refusals     event.Sampler
	malformed    event.Sampler
	inFlight     atomic.Int64
	refusedEarly atomic.Int64
	waited       waitedEstimator
	gate         admission.Gate
	delays       delayEstimator
	runs         runEstimator
}

// defaultMaxBodyBytes is the request body limit if the document sets none.
const defaultMaxBodyBytes = 4 << 20

// workspacePriorityWeight exceeds every route priority, so that the priority of the workspace is compared first.
const workspacePriorityWeight = 1000

// exchange is the state of one request and its response.
type exchange struct {
	*Request
	w        http.ResponseWriter
	received time.Time
	deadline time.Time
	// due is when the route's latency objective ends, never later than deadline. With LeastCost, it counts from the
	// caller's first attempt as far as that is known, and returned is true if this is not the first.
	due       time.Time
	returned  bool
	view      *control.View
	route     *document.Route
	service   *document.Service
	workspace string
	priority  int
	// stagesDuration is the total time spent in stages, including a second run.
	stagesDuration time.Duration
	// stagesDoneAt is when the last run of the stages ended.
	stagesDoneAt time.Time
	// inputs are the handles of the stage results that the request takes as input.
	inputs []string
	// inputsReleased is true if the inputs were freed although another attempt may need them.
	inputsReleased bool
	// inputBytes is the size of the stage results that the request takes as input, by data centre.
	inputBytes map[string]int64
	// targetDataCentre is where the request is expected to run; see chooseTargetDataCentre.
	targetDataCentre string
	// possibleRuns counts the attempts that may have run the request, delivered those of which any byte was sent, and
	// attempts all of them.
	possibleRuns int
	delivered    int
	attempts     int
	tried        []string
	// firstByteAt is when the response to the caller started; zero before that.
	firstByteAt time.Time
	// unresumable is true once the caller has an event after which no endpoint could resume the stream.
	unresumable bool
	// longestPause is the longest time between two events of the response.
	longestPause time.Duration
	// answerBound ends the attempts before this VM's process ends, unless the response to the caller has started.
	answerBound *stop.Bound
	// status is the HTTP status sent to the caller.
	status int
	// conn is the caller's connection, which what is held for the request is charged to; nil without accounting.
	conn  *caller.Conn
	ctx   context.Context
	clock timer.Clock
}

// memory charges the buffers of responses to the caller's connection. Since the request may have run by then, it waits for
// memory until the deadline, and then the request fails.
func (x *exchange) memory() connection.Memory {
	return connection.Memory{
		Grow: func(n int64) error {
			for {
				err := x.conn.Grow(x.ctx, n)
				if err == nil || errors.Is(err, memory.ErrClosed) || x.ctx.Err() != nil || !x.clock.Now().Before(x.deadline) {
					return err
				}
			}
		},
		Shrink: x.conn.Shrink,
	}
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 {
	return g.inFlight.Load()
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the request fails after the response started, or if
// the caller has closed the connection.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{w: w, received: g.Clock.Now(), view: g.Views.View(), conn: caller.Of(r.Context()), ctx: r.Context(), clock: g.Clock}
	err := g.admit(x, r)
	if err == nil {
		err = g.serve(r.Context(), x)
	}
	g.finish(r.Context(), x, err)
}

// admit decodes a request, matches it to a route, authenticates it and reads its body.
func (g *Gateway) admit(x *exchange, r *http.Request) error {
	var err error
	if x.Request, err = g.Protocol.DecodeRequest(r); err != nil {
		x.Request = &Request{}
		return err
	}
	d := x.view.Document
	if d == nil {
		return fault.New(fault.NoDocument, "this VM has not received the document yet; try again in a second").WithOutcome(godwitplank.NotRun, time.Second)
	}
	if x.route = d.FindRoute(x.Host, x.Path); x.route == nil {
		return fault.New(fault.UnknownPath, "no route matches host %q and path %q; check both against the document", x.Host, x.Path)
	}
	x.priority = x.route.Priority
	if err := x.authenticate(d); err != nil {
		return err
	}
	if err := g.readBody(x, r, d); err != nil {
		return err
	}
	x.service = d.Service(x.route.PickService(rand.Float64()))
	x.deadline = x.received.Add(x.route.Timeout())
	if x.Remaining > 0 {
		x.deadline = timer.Earlier(x.deadline, x.received.Add(x.Remaining))
	}
	x.due = x.deadline
	if x.route.TargetLatencyMS > 0 {
		x.due = timer.Earlier(x.deadline, x.received.Add(x.route.TargetLatency()-g.waitedFor(x)))
	}
	g.Budget.CountRequest(x.received, x.service.Name)
	g.Log.Log(event.RequestAccepted, "request_id", x.ID, "route", x.route.Name, "workspace", x.workspace,
		"document_version", d.Version, "left_ms", x.deadline.Sub(x.received).Milliseconds())
	return nil
}

// waitedFor returns how long the caller has been waiting already, 0 if the policy does not count that.
func (g *Gateway) waitedFor(x *exchange) time.Duration {
	switch g.Overload {
	case piece.LeastCost:
	case piece.RefuseLate:
		if !slices.ContainsFunc(x.route.Stages, func(s document.RouteStage) bool { return g.Tight.Contains(x.view.Document, s.Service) }) {
			return 0
		}
	default:
		return 0
	}
	waited := g.waited.observe(x.received, x.route.Name, x.Remaining, x.route.Timeout())
	x.returned = waited > 0
	return waited
}

// authenticate sets the workspace of the request's key and applies its priority. Public routes and documents without
// workspaces need no key.
func (x *exchange) authenticate(d *document.Document) error {
	if len(d.Workspaces) == 0 || x.route.Public {
		return nil
	}
	workspace := d.WorkspaceByKey(x.Key)
	if workspace == nil {
		return fault.New(fault.WrongKey, "no workspace has this key; send a key from the active document")
	}
	x.workspace = workspace.Name
	if workspace.RanksRequests {
		x.priority += workspacePriorityWeight * workspace.Priority
	}
	return nil
}

func (g *Gateway) readBody(x *exchange, r *http.Request, d *document.Document) error {
	limit := d.RequestLimits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, refusal := entry.ReadBody(x.w, r, limit)
	if refusal != nil {
		return refusal
	}
	x.Body = body
	return nil
}

// serve runs the stages and forwards the request, within its deadline.
func (g *Gateway) serve(ctx context.Context, x *exchange) error {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if q := g.findQuarantine(x); q != nil {
		return g.refuseQuarantined(x, q)
	}
	if g.endsAfterStop(x) {
		return stoppingFault(x)
	}
	if err := g.evacuationFault(x); err != nil {
		return err
	}
	if len(x.route.Stages) > 0 {
		if err := g.checkCall(x); err != nil {
			return err
		}
		if err := g.checkPieces(ctx, x); err != nil {
			return err
		}
	}
	if err := g.checkCapacity(x); err != nil {
		return err
	}
	if err := g.runStagesBeforeStop(ctx, x); err != nil {
		return err
	}
	ctx, x.answerBound = g.Stop.Bound(ctx, g.Clock, func(t stop.Times) time.Time { return t.AnswerBy })
	defer x.answerBound.Release()
	return g.forward(ctx, x)
}

// finish writes the error response of a failed request, then records metrics and logs the result.
func (g *Gateway) finish(ctx context.Context, x *exchange, err error) {
	var e *fault.Error
	aborted := false
	if err != nil {
		e = g.callerFault(ctx, x, err)
		if aborted = !x.firstByteAt.IsZero() || ctx.Err() != nil; !aborted {
			x.status = e.Status()
			g.Protocol.WriteError(x.w, x.ID, e)
		}
	}
	g.report(x, e)
	if aborted {
		// Closes the connection without ending the response, so that a caller that still reads sees that it is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// callerFault converts an error to the fault that the caller receives.
func (g *Gateway) callerFault(ctx context.Context, x *exchange, err error) *fault.Error {
	switch {
	case ctx.Err() != nil:
		return fault.New(fault.ClientDisconnected, "the caller disconnected before the response was complete")
	case errors.Is(err, stop.ErrStopping):
		return stoppingFault(x)
	case fault.Is(err) && x.possibleRuns == 0 && stageFaultKinds[fault.As(err).Kind]:
		retryAfter := noEndpointRetryAfter
		if known := fault.As(err).RetryAfterMS; known > 0 {
			retryAfter = time.Duration(known) * time.Millisecond
		}
		return fault.New(fault.NoEndpoint, "the request was not sent to an endpoint (%v); retry after the indicated delay", err).
			WithOutcome(godwitplank.NotRun, retryAfter)
	case fault.Is(err):
		return fault.As(err)
	case errors.Is(err, context.DeadlineExceeded) && x.possibleRuns == 0:
		return fault.New(fault.DeadlineTooShort, "the deadline expired before the request was sent to an endpoint; try again later").WithOutcome(godwitplank.NotRun, 0)
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "the endpoint did not respond within the deadline; send the request with a longer deadline")
	}
	return fault.New(fault.StageFailed, "the endpoint failed (%v); try again if the request is idempotent", err)
}

// stageFaultKinds are the kinds of faults that stages return. A request whose stages failed has not run.
var stageFaultKinds = map[fault.Kind]bool{fault.StageFailed: true, fault.DeadlineExceeded: true, fault.NoEndpoint: true}

func (g *Gateway) report(x *exchange, e *fault.Error) {
	now := g.Clock.Now()
	routeName, kind, message, outcome := "", "", "", godwitplank.Done
	var retryAfter int64
	if x.route != nil {
		routeName = x.route.Name
	}
	if e != nil {
		kind, message, retryAfter, outcome = string(e.Kind), e.Message, e.RetryAfterMS, e.Outcome
	}
	var version uint64
	if x.view.Document != nil {
		version = x.view.Document.Version
	}
	remaining := time.Duration(0)
	if !x.deadline.IsZero() {
		remaining = x.deadline.Sub(now)
	}
	firstByte := time.Duration(-time.Millisecond)
	if !x.firstByteAt.IsZero() {
		firstByte = x.firstByteAt.Sub(x.received)
	}
	g.Meter.RecordRequest(routeName, string(outcome), kind, now.Sub(x.received))
	skipped := int64(0)
	if x.service == nil && e != nil {
		// The request was refused before it was admitted, which costs its caller nothing.
		var ok bool
		if skipped, ok = g.refusals.Allow(now); !ok {
			return
		}
	}
	g.Log.Log(event.RequestAnswered, "request_id", x.ID, "route", routeName, "workspace", x.workspace, "document_version", version,
		"status", x.status, "kind", kind, "message", message, "stages_ms", x.stagesDuration.Milliseconds(), "first_ms", firstByte.Milliseconds(), "pause_ms", x.longestPause.Milliseconds(),
		"took_ms", now.Sub(x.received).Milliseconds(), "left_ms", remaining.Milliseconds(), "attempts", x.attempts,
		"retry_after_ms", retryAfter, "skipped", skipped)
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
