package piece

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/memory"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Timing, backoff and limits of calls to the endpoints of stages.
const (
	// A call times out after callTimeoutFactor times its predicted time plus callTimeoutMargin, a call that only frees
	// results after callTimeoutMargin.
	callTimeoutFactor = 3
	callTimeoutMargin = 300 * time.Millisecond
	// budgetWait is how long a retried piece waits at least for the retry budget before its request is refused, which also
	// requires that the request is past its latency objective. During the wait the results of the request's finished
	// pieces hold endpoint memory.
	budgetWait = 300 * time.Millisecond
	// fullBackoff is how long an endpoint that has no free memory or refuses calls gets none: about half a call's time.
	fullBackoff = 150 * time.Millisecond
	// minBackoff is how long an endpoint gets no call after a failure. It doubles with each consecutive failure, up to
	// maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// idleEndpointTTL is how long the state of an endpoint is kept after its last call.
	idleEndpointTTL = time.Minute
	// unconfirmedFactor multiplies the cost of endpoints that no longer announce themselves, so that others are preferred.
	unconfirmedFactor = 4
	// slowdownWeight is the weight of a new sample in the EWMA of an endpoint's slowdown.
	slowdownWeight = 0.25
	// usableMemoryShare is the fraction of an endpoint's memory for results that is filled, as result sizes are
	// approximate.
	usableMemoryShare = 0.9
	// freeDelay is how long frees are collected before they are sent in one call.
	freeDelay = 25 * time.Millisecond
	// dispatchInterval is how often the queues are dispatched without a new job or result.
	dispatchInterval = 50 * time.Millisecond
	// A response has at most baseResponseBytes and pieceResponseBytes for each piece, which carries a handle or a reason. A VM has
	// as many responses in progress as the endpoints of its services have slots.
	baseResponseBytes  = 16 << 10
	pieceResponseBytes = 1 << 10
)

// Services looks up the endpoints and the configuration of services.
type Services interface {
	// Endpoints returns the endpoints of a service that may receive calls.
	Endpoints(service string) []route.Candidate
	// Holders returns the endpoints of a service that may hold results: those that may receive calls, and those that only
	// get no new work.
	Holders(service string) []route.Candidate
	// Service returns the configuration of a service, or nil if it does not exist.
	Service(name string) *document.Service
}

// Dispatcher queues the pieces of jobs by service and sends them to the service's endpoints in batches.
type Dispatcher struct {
	Services Services
	Protocol Protocol
	Pool     *connection.Pool
	Budget   *retry.Budget
	Reach    *route.Reachability
	Clock    timer.Clock
	Meter    *telemetry.Meter
	Log      event.Logger
	// Overload selects which jobs of an overloaded service are delayed or refused; empty for Defer.
	Overload OverloadPolicy
	// Memory is charged for the jobs in progress; nil for no limit.
	Memory *memory.Budget
	// Tight reports whether RefuseLate applies to a service; nil for none.
	Tight func(service string) bool

	mu           sync.Mutex
	queues       map[string]*queue // by service
	endpoints    map[connection.Key]*endpointState
	pendingFrees map[netip.AddrPort][]string // handles by endpoint address
	held         map[string]*heldResult      // by handle
	answers      answerMemory
	flushSignal  chan struct{}
	group        sync.WaitGroup
	refusals     map[string]int // refused jobs by service, with LeastCost
	// calls is the context of the calls to endpoints; endCalls ends it.
	calls    context.Context
	endCalls context.CancelFunc
	// malformed limits the log lines for texts that cannot be sent in a head.
	malformed event.Sampler
	// withoutMemory counts the jobs that were refused for lack of memory, memoryRefusals limits the log lines about them.
	withoutMemory  atomic.Int64
	memoryRefusals event.Sampler
}

// endpointState is the load and health of one endpoint incarnation.
type endpointState struct {
	inFlight int
	failures int
	// slowdown is the EWMA of the time of calls relative to their configured time.
	slowdown float64
	// baseSlowdown is as slowdown, without the slowdown that the endpoint's machine reported for each call.
	baseSlowdown float64
	backoffUntil time.Time
	// lastCall is when the last call was sent.
	lastCall time.Time
	// heldBytes is the memory of the results held there, including those expected from calls in flight.
	heldBytes int64
	// freed counts the memory that became free. callEnds is when the last call is predicted to end.
	freed    rate
	callEnds time.Time
}

// NewDispatcher returns a Dispatcher. Run Serve for retries and for freeing results.
func NewDispatcher(services Services, protocol Protocol, pool *connection.Pool, budget *retry.Budget, reachability *route.Reachability, clock timer.Clock, meter *telemetry.Meter, log event.Logger) *Dispatcher {
	calls, endCalls := context.WithCancel(context.Background())
	return &Dispatcher{
		Services: services, Protocol: protocol, Pool: pool, Budget: budget, Reach: reachability, Clock: clock, Meter: meter, Log: log,
		queues: make(map[string]*queue), endpoints: make(map[connection.Key]*endpointState), pendingFrees: make(map[netip.AddrPort][]string),
		held: make(map[string]*heldResult), refusals: make(map[string]int), flushSignal: make(chan struct{}, 1),
		calls: calls, endCalls: endCalls,
	}
}

// Serve dispatches the queues every dispatchInterval and sends queued frees. When ctx ends, it cancels the calls in flight
// and returns.
func (d *Dispatcher) Serve(ctx context.Context) {
	ticks := timer.Subscribe(ctx, dispatchInterval)
	for {
		select {
		case <-ctx.Done():
			d.mu.Lock() // no call starts after this
			d.endCalls()
			d.mu.Unlock()
			d.group.Wait()
			return
		case <-ticks:
			d.dispatchAll()
		case <-d.flushSignal:
			if timer.Wait(ctx, freeDelay) == nil {
				d.flushFrees(ctx)
			}
		}
	}
}

// MoveQueued ends queued jobs of a service with ErrMoved, so that the Broker of the VM that they come from sends them to the
// new owner. Jobs that have started or are LocalOnly continue.
func (d *Dispatcher) MoveQueued(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[service]
	if q == nil {
		return
	}
	for _, j := range q.jobs {
		if !j.started && !j.LocalOnly {
			j.end(ErrMoved)
		}
	}
}

// QueuedPieces returns the number of queued pieces by service.
func (d *Dispatcher) QueuedPieces() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.queues))
	for name, q := range d.queues {
		out[name] = q.units
	}
	return out
}

// KnownServices returns the services that the Dispatcher has received jobs for.
func (d *Dispatcher) KnownServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.queues))
}

// Run dispatches a job and returns the handles of its results in the order of its pieces. It fails with one of the errors of
// this package, or with the cause of ctx once that ends.
func (d *Dispatcher) Run(ctx context.Context, j *Job) ([]string, error) {
	if err := j.check(); err != nil {
		return nil, err
	}
	now := d.Clock.Now()
	account, err := d.charge(ctx, now, j)
	if err != nil {
		return nil, err
	}
	defer account.Close()
	p := newPendingJob(j, now, PredictCallTime(d.Services.Service(j.Service), j.Pieces))
	d.Budget.CountRequest(now, j.Service)
	d.mu.Lock()
	q := d.queues[j.Service]
	if q == nil {
		q = d.newQueue()
		d.queues[j.Service] = q
	}
	d.enqueue(now, q, p)
	d.mu.Unlock()
	select {
	case err := <-p.done:
		if err == nil {
			return p.handles, nil
		}
		d.abandon(p)
		return nil, err
	case <-ctx.Done():
		d.abandon(p)
		return nil, context.Cause(ctx)
	}
}

// abandon drops the queued pieces of a job, whose memory another one may take at once, and frees its results.
func (d *Dispatcher) abandon(p *pendingJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.ended = true
	d.queues[p.Service].remove(p)
	for _, h := range p.handles {
		d.queueFree(h)
	}
	p.handles = nil
}
