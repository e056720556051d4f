package piece

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Times and weights of calls to the endpoints of stages.
const (
	// A call is given up after callPatience times its predicted time and callSlack.
	callPatience = 3
	callSlack    = 300 * time.Millisecond
	// budgetPatience is how long a repeated piece waits for the budget at least before its request is refused, if it can
	// no longer meet its objective. It holds memory of endpoints while it waits.
	budgetPatience = 300 * time.Millisecond
	// fullPause is how long an endpoint that has no room, or takes no call, gets none: about half a call.
	fullPause = 150 * time.Millisecond
	// firstPause is how long an endpoint that failed gets no call; it doubles with each failure in a row.
	firstPause = 500 * time.Millisecond
	mostPause  = 8 * time.Second
	// forgetAfter is how long what is known of an endpoint is kept after its last call.
	forgetAfter = time.Minute
	// unconfirmedFactor leaves endpoints that no longer announce themselves for when there is no other.
	unconfirmedFactor = 4
	// speedWeight is the share of a new measurement in the learned speed.
	speedWeight = 0.25
	// roomShare is the part of an endpoint's memory for results that is planned with, as their sizes are approximate.
	roomShare   = 0.9
	freePause   = 25 * time.Millisecond
	checkEvery  = 50 * time.Millisecond
	answerBytes = 4 << 20
)

// Services gives the endpoints and the description of a service.
type Services interface {
	// Endpoints returns the endpoints that may get work.
	Endpoints(service string) []route.Candidate
	// Service returns the description of a service, nil if there is none.
	Service(name string) *document.Service
}

// Maker makes jobs by calls to the endpoints of their services.
type Maker struct {
	Services Services
	Protocol Protocol
	Pool     *connection.Pool
	Budget   *retry.Budget
	Reach    *route.Reach
	Clock    timer.Clock
	Meter    *telemetry.Meter
	Log      event.Logger

	mu     sync.Mutex
	queues map[string]*queue
	calls  map[connection.Key]*caller
	frees  map[netip.AddrPort][]string
	held   map[string]*result
	freed  chan struct{}
	group  sync.WaitGroup
}

// caller is what the maker knows of one endpoint.
type caller struct {
	busy     int
	failures int
	// slow is the learned factor on the described time of a call.
	slow  float64
	until time.Time
	// called is when it was last called.
	called time.Time
	// used is the memory of the results that are known to be kept there.
	used int64
}

// NewMaker returns a maker.
func NewMaker(services Services, protocol Protocol, pool *connection.Pool, budget *retry.Budget, reach *route.Reach, clock timer.Clock, meter *telemetry.Meter, log event.Logger) *Maker {
	return &Maker{
		Services: services, Protocol: protocol, Pool: pool, Budget: budget, Reach: reach, Clock: clock, Meter: meter, Log: log,
		queues: make(map[string]*queue), calls: make(map[connection.Key]*caller), frees: make(map[netip.AddrPort][]string),
		held: make(map[string]*result), freed: make(chan struct{}, 1),
	}
}

// Serve wakes the queues and gives results back until ctx ends.
func (m *Maker) Serve(ctx context.Context) {
	checks := timer.Subscribe(ctx, checkEvery)
	for {
		select {
		case <-ctx.Done():
			m.group.Wait()
			return
		case <-checks:
			m.dispatchAll()
		case <-m.freed:
			if timer.Wait(ctx, freePause) == nil {
				m.flushFrees(ctx)
			}
		}
	}
}

// Move ends what waits for a service and is not begun, so that it is made elsewhere. Calls in flight go on.
func (m *Maker) Move(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queues[service]
	if q == nil {
		return
	}
	for _, u := range q.waiting {
		if !u.job.begun && !u.job.Here {
			u.job.end(ErrMoved)
		}
	}
}

// Waiting returns how many pieces of each service wait for an endpoint.
func (m *Maker) Waiting() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.queues))
	for name, q := range m.queues {
		out[name] = len(q.waiting)
	}
	return out
}

// Known returns the services that this maker had jobs of.
func (m *Maker) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.queues))
}

// Run returns the handles of a job's results in the order of its pieces.
func (m *Maker) Run(ctx context.Context, j *Job) ([]string, error) {
	now := m.Clock.Now()
	p := newPending(j, now, Predict(m.Services.Service(j.Service), j.Pieces))
	m.Budget.Request(now, j.Service)
	m.mu.Lock()
	q := m.queues[j.Service]
	if q == nil {
		q = &queue{}
		m.queues[j.Service] = q
	}
	q.add(now, p.units()...)
	m.dispatch(j.Service, q)
	m.mu.Unlock()
	select {
	case err := <-p.done:
		if err == nil {
			return p.handles, nil
		}
		m.abandon(p)
		return nil, err
	case <-ctx.Done():
		m.abandon(p)
		return nil, context.Cause(ctx)
	}
}

// abandon drops what waits of a job and gives back what is made.
func (m *Maker) abandon(p *pending) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.ended = true
	for _, h := range p.handles {
		m.freeOne(h)
	}
	p.handles = nil
}
