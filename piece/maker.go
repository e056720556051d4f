package piece

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
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
	// budgetPatience is how long a repeated piece waits for the budget before its request is refused. It holds memory
	// of endpoints while it waits.
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

// result is a result that an endpoint keeps.
type result struct {
	holder  *caller
	bytes   int64
	expires time.Time
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

// Predict returns the described time of a call.
func Predict(s *document.Service, pieces int) time.Duration {
	if s == nil || s.Batch == nil {
		return 0
	}
	return time.Duration((s.Batch.CallMS + s.Batch.PieceMS*float64(min(pieces, s.Batch.Pieces))) * float64(time.Millisecond))
}

func (m *Maker) dispatchAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.Clock.Now())
	for name, q := range m.queues {
		m.dispatch(name, q)
	}
}

// dispatch gives what waits to endpoints that are free.
func (m *Maker) dispatch(service string, q *queue) {
	now := m.Clock.Now()
	q.expire(now)
	s := m.Services.Service(service)
	if len(q.waiting) == 0 || s == nil || s.Batch == nil {
		return
	}
	free, near := m.free(now, s)
	for i, c := range free {
		o := offer{now: now, dataCentre: c.DataCentre, near: near, most: s.Batch.Pieces, room: -1}
		known := m.caller(key(c))
		if s.Batch.ResultBytes > 0 {
			o.room = max(0, int64(roomShare*float64(s.Batch.ResultBytes))-known.used)
			o.empty = known.used <= 0
		}
		rivals := 0
		for _, other := range free[i:] {
			if other.DataCentre == c.DataCentre {
				rivals++
			}
		}
		o.share = int(math.Ceil(float64(q.count(now, c.DataCentre, near)) / float64(rivals)))
		o.may = func(u *unit) bool { return m.pay(now, s.Name, u) }
		units := q.take(o)
		if len(units) == 0 {
			continue
		}
		for _, u := range units {
			u.paid = false
		}
		known.busy++
		known.called = now
		known.used += results(units)
		m.group.Go(func() { m.call(s, c, known, units) })
	}
}

// results returns the memory that the results of units take.
func results(units []*unit) int64 {
	n := int64(0)
	for _, u := range units {
		n += u.job.ResultBytes
	}
	return n
}

// free returns the endpoints that may take a call, the fastest first, and the data centres that have endpoints.
func (m *Maker) free(now time.Time, s *document.Service) ([]*route.Candidate, map[string]bool) {
	var out []*route.Candidate
	near := make(map[string]bool)
	candidates := m.Services.Endpoints(s.Name)
	for i := range candidates {
		c := &candidates[i]
		known := m.caller(key(c))
		if now.Before(known.until) || !now.Before(c.Until) || m.Reach.Avoid(now, c.DataCentre) {
			continue
		}
		if c.Confirmed {
			near[c.DataCentre] = true
		}
		if known.busy < max(1, s.Batch.Slots) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *route.Candidate) int { return cmp.Compare(m.cost(a), m.cost(b)) })
	return out, near
}

func (m *Maker) cost(c *route.Candidate) float64 {
	if !c.Confirmed {
		return m.caller(key(c)).slow * unconfirmedFactor
	}
	return m.caller(key(c)).slow
}

func key(c *route.Candidate) connection.Key {
	return connection.Key{ID: c.ID, Incarnation: c.Incarnation}
}

func (m *Maker) caller(k connection.Key) *caller {
	c := m.calls[k]
	if c == nil {
		c = &caller{slow: 1}
		m.calls[k] = c
	}
	return c
}

// call makes one call and hands out its results.
func (m *Maker) call(s *document.Service, c *route.Candidate, known *caller, units []*unit) {
	begun := m.Clock.Now()
	predicted := Predict(s, len(units))
	patience := time.Duration(float64(predicted)*known.slow)*callPatience + callSlack
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	items := make([]Item, len(units))
	for i, u := range units {
		items[i] = Item{
			RequestID: u.job.RequestID, Stage: u.job.Stage, Piece: u.piece, Key: u.job.Key, Inputs: u.job.Inputs,
			Remaining: u.job.Deadline.Sub(begun),
		}
	}
	answer, err := m.exchange(ctx, s, c, items)
	took := m.Clock.Now().Sub(begun)
	m.Meter.Attempt(s.Name, "batch", outcome(answer, err), took)
	m.Log.Log(event.PiecesMade, "service", s.Name, "endpoint", c.ID, "pieces", len(units), "first_request", units[0].job.RequestID,
		"waited_ms", begun.Sub(units[0].job.queued).Milliseconds(), "took_ms", took.Milliseconds(), "predicted_ms", predicted.Milliseconds(),
		"without_room", count(answer, NoRoom), "result", outcome(answer, err))
	m.mu.Lock()
	defer m.mu.Unlock()
	known.busy--
	m.judge(known, answer, err, took, predicted)
	known.used -= results(units)
	m.settle(s, known, answer, err, units)
	m.dispatch(s.Name, m.queues[s.Name])
}

func count(a Answer, reason Reason) int {
	n := 0
	for _, r := range a.Results {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

func outcome(a Answer, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case a.NotRun:
		return "not_run"
	}
	return "done"
}

// exchange sends the call and reads its answer.
func (m *Maker) exchange(ctx context.Context, s *document.Service, c *route.Candidate, items []Item) (Answer, error) {
	return m.send(ctx, s, c, m.Protocol.RunCall(c.ID, c.Addr.String(), items), len(items))
}

func (m *Maker) send(ctx context.Context, s *document.Service, c *route.Candidate, call *connection.Call, items int) (Answer, error) {
	conn, err := m.Pool.Open(ctx, key(c), c.Addr, s.MaxConnections)
	if err != nil {
		if connection.TimedOut(err) {
			m.Reach.Fail(m.Clock.Now(), c.DataCentre)
		}
		return Answer{}, &unsentError{err}
	}
	if _, err := conn.Send(ctx, call); err != nil {
		conn.Close()
		return Answer{}, err
	}
	r, err := conn.Receive(call.Method)
	if err != nil {
		conn.Close()
		return Answer{}, err
	}
	body, err := connection.ReadBody(r, answerBytes)
	if err != nil {
		conn.Close()
		return Answer{}, err
	}
	conn.Release(r)
	m.Reach.Succeed(c.DataCentre)
	answer, err := m.Protocol.RunAnswer(r.StatusCode, r.Header, body)
	if err == nil && !answer.NotRun && len(answer.Results) != items {
		err = fmt.Errorf("the answer has %d results for %d pieces", len(answer.Results), items)
	}
	return answer, err
}

// unsentError is a failure before anything was sent, so that no endpoint has counted the call.
type unsentError struct {
	error
}

func (e *unsentError) Unwrap() error {
	return e.error
}

// judge learns of an endpoint from a call.
func (m *Maker) judge(known *caller, a Answer, err error, took, predicted time.Duration) {
	now := m.Clock.Now()
	switch {
	case err != nil && !errors.Is(err, connection.ErrFull):
		pause := min(firstPause<<min(known.failures, 8), mostPause)
		known.failures++
		known.until = now.Add(pause)
	case err != nil || a.NotRun:
		known.until = now.Add(fullPause)
	default:
		known.failures = 0
		known.slow += speedWeight * (float64(took)/float64(predicted) - known.slow)
		if count(a, NoRoom) > 0 {
			known.until = now.Add(fullPause)
		}
	}
}

// settle hands out the results of a call, or puts its units back.
func (m *Maker) settle(s *document.Service, known *caller, a Answer, err error, units []*unit) {
	var again []*unit
	now := m.Clock.Now()
	for i, u := range units {
		result := itemResult(a, err, i)
		if result.Reason == Made {
			m.hold(known, result.Handle, u.job.ResultBytes, now.Add(time.Duration(s.Batch.KeepMS)*time.Millisecond))
		}
		if u.job.ended {
			m.freeOne(result.Handle)
			continue
		}
		switch result.Reason {
		case Made:
			m.deliver(u, result.Handle)
		case Late:
			u.job.end(ErrLate)
		case InputGone:
			u.job.end(ErrInputsGone)
		case Broken:
			u.tries++
			again = append(again, u)
		case NoRoom:
			again = append(again, u)
		}
	}
	var unsent *unsentError
	m.retry(s, again, errors.As(err, &unsent))
}

// hold counts a result until it is given back or expires.
func (m *Maker) hold(known *caller, handle string, bytes int64, expires time.Time) {
	known.used += bytes
	m.held[handle] = &result{holder: known, bytes: bytes, expires: expires}
}

// release takes a result off the count of its endpoint.
func (m *Maker) release(handle string) {
	if r := m.held[handle]; r != nil {
		r.holder.used -= r.bytes
		delete(m.held, handle)
	}
}

// expire forgets results that their endpoints no longer keep, and endpoints that were not called for long.
func (m *Maker) expire(now time.Time) {
	for handle, r := range m.held {
		if now.After(r.expires) {
			m.release(handle)
		}
	}
	for k, c := range m.calls {
		if c.busy == 0 && c.used == 0 && now.Sub(c.called) > forgetAfter {
			delete(m.calls, k)
		}
	}
}

func itemResult(a Answer, err error, item int) Result {
	var unsent *unsentError
	switch {
	case a.NotRun || errors.As(err, &unsent):
		return Result{Reason: NoRoom}
	case err != nil:
		return Result{Reason: Broken}
	}
	return a.Results[item]
}

func (m *Maker) deliver(u *unit, handle string) {
	u.job.handles[u.piece] = handle
	u.job.left--
	if u.job.left == 0 {
		u.job.end(nil)
	}
}

// retry puts units back. Those that an endpoint has counted go on only as the budget allows.
func (m *Maker) retry(s *document.Service, units []*unit, unsent bool) {
	now := m.Clock.Now()
	var again []*unit
	for _, u := range units {
		if u.tries >= mostTries {
			u.job.end(ErrTries)
			continue
		}
		u.paid = u.paid || unsent
		u.repeated = true
		u.returned = now
		again = append(again, u)
	}
	if len(again) > 0 {
		m.queues[s.Name].add(now, again...)
	}
}

// pay takes what repeated units cost from the budget; false where it does not suffice now.
func (m *Maker) pay(now time.Time, service string, u *unit) bool {
	if !u.repeated || u.paid {
		return true
	}
	u.paid = m.Budget.Take(now, service, 1)
	if !u.paid && now.Sub(u.returned) > budgetPatience {
		u.job.end(ErrTries)
	}
	return u.paid
}

// Free gives results back soon.
func (m *Maker) Free(_ string, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.freeOne(h)
	}
}

func (m *Maker) freeOne(handle string) {
	if handle == "" {
		return
	}
	addr, err := m.Protocol.Holder(handle)
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handle, "error", err.Error())
		return
	}
	m.frees[addr] = append(m.frees[addr], handle)
	wake(m.freed)
}

// flushFrees sends what is to be given back, one call an endpoint. A result that cannot be given back expires by itself.
func (m *Maker) flushFrees(ctx context.Context) {
	m.mu.Lock()
	frees := m.frees
	if len(frees) == 0 {
		m.mu.Unlock()
		return
	}
	m.frees = make(map[netip.AddrPort][]string)
	var services []string
	for name := range m.queues {
		services = append(services, name)
	}
	m.mu.Unlock()
	for _, name := range services {
		s := m.Services.Service(name)
		for _, c := range m.Services.Endpoints(name) {
			if handles := frees[c.Addr]; handles != nil && s != nil {
				m.group.Go(func() { m.sendFrees(ctx, s, &c, handles) })
			}
		}
	}
}

func (m *Maker) sendFrees(ctx context.Context, s *document.Service, c *route.Candidate, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	conn, err := m.Pool.Open(ctx, key(c), c.Addr, s.MaxConnections)
	if err == nil {
		call := m.Protocol.FreeCall(c.ID, c.Addr.String(), handles)
		if _, err = conn.Send(ctx, call); err == nil {
			err = finish(conn, call.Method)
		} else {
			conn.Close()
		}
	}
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handles[0], "error", err.Error())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.release(h)
	}
	m.dispatch(s.Name, m.queues[s.Name])
}

// finish reads an answer whose content does not matter.
func finish(conn *connection.Conn, method string) error {
	r, err := conn.Receive(method)
	if err != nil {
		conn.Close()
		return err
	}
	if _, err := connection.ReadBody(r, answerBytes); err != nil {
		conn.Close()
		return err
	}
	conn.Release(r)
	return nil
}
