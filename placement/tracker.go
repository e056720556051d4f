// Package placement selects engines for prompts at one VM for all VMs, so that the selection knows every prompt that waits at
// an engine and every prompt part that an engine has cached.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwitplank/route"
)

const (
	// defaultTokenTime is the time to prefill one token until measurements of the service exist.
	defaultTokenTime = 20 * time.Microsecond
	// measurementWeight is the weight of a prompt in the averages of an engine's and of the service's time per token,
	// recentWeight that in an engine's recent time, which counts half as much after each recentHalfLife: engines share their
	// machines with others and slow down for some hundred milliseconds.
	measurementWeight = 0.1
	recentWeight      = 0.5
	recentHalfLife    = 400 * time.Millisecond
	// overheadTokens is added to the prompt in the measured time per token: each prompt waits for the end of the engine's current step.
	overheadTokens = 500
	// runningTokens is the cost of each running request at an engine, in prompt tokens: the more run, the slower all are.
	runningTokens = 150
	// interruptionWeight is the cost of each token to prefill for each request that runs at the engine, since its stream pauses
	// meanwhile. It keeps long prompts and long streams at different engines.
	interruptionWeight = 1
	// reportDelay is the usual time until the VM that placed a prompt has reported its first event here.
	reportDelay = 40 * time.Millisecond
	// maxWait bounds the expected wait at an engine that is overdue with its first events.
	maxWait = 2 * time.Second
	// avoidFor is how long an engine is avoided after a failed request, avoidTokens its cost meanwhile: more than any wait,
	// less than that of an ejected engine.
	avoidFor    = 1 * time.Second
	avoidTokens = 1e5
	// forgetAfter is when a prompt without a report of its end is dropped: the VM that sent it may be lost.
	forgetAfter = 20 * time.Second
	// tieTokens spreads prompts over engines of about equal cost at random, since reports of their load arrive late.
	tieTokens = 100
)

// Prompt is a prompt that needs an engine.
type Prompt struct {
	Parts []route.PromptPart
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens int
}

// Decision is the engine that Place selected.
type Decision struct {
	// Candidate is the index of the engine, -1 if none is usable.
	Candidate int
	// Uncached is the number of prompt tokens that the engine is expected to prefill.
	Uncached int
	// Wait is the expected time until the engine begins to prefill the prompt.
	Wait time.Duration
	// Ticket identifies the prompt in reports.
	Ticket uint64
}

// Tracker knows the prompts at the engines of one service. It performs no I/O and is not safe for concurrent use. The zero
// value knows none.
type Tracker struct {
	prefixes   route.PrefixIndex
	engines    map[*route.Stats]*engine
	placed     map[uint64]*placedPrompt
	order      []*placedPrompt // by time of placement
	lastTicket uint64
	// tokenTime is the average time per prefilled token over all engines.
	tokenTime time.Duration
}

// engine is the load of one engine incarnation.
type engine struct {
	// waiting holds the prompts without a first event, oldest first.
	waiting []*placedPrompt
	running int
	// lastFirst is when the latest first event was made.
	lastFirst time.Time
	// expectedIdle is when the engine is expected to have prefilled all waiting prompts.
	expectedIdle time.Time
	tokenTime    time.Duration
	recentTime   time.Duration
	// avoidUntil is set after a failed request.
	avoidUntil time.Time
}

// placedPrompt is a prompt at an engine.
type placedPrompt struct {
	ticket   uint64
	engine   *engine
	at       time.Time
	tokens   int
	expected time.Time // of its first event
	started  bool
	ended    bool
}

// Place selects the engine that is expected to prefill a prompt first, weighed against prompt parts that would be read again.
func (t *Tracker) Place(q route.Query, candidates []route.Candidate, p Prompt) Decision {
	if t.engines == nil {
		t.engines = make(map[*route.Stats]*engine)
		t.placed = make(map[uint64]*placedPrompt)
		t.tokenTime = defaultTokenTime
	}
	t.forget(q.Now)
	q.Load = func(c *route.Candidate, uncached int) float64 { return t.load(q.Now, c.Stats, uncached) }
	chosen, uncached := t.prefixes.Choose(q, candidates, p.Parts)
	if chosen < 0 {
		return Decision{Candidate: -1}
	}
	c := &candidates[chosen]
	e := t.engine(c.Stats)
	d := Decision{Candidate: chosen, Uncached: uncached, Wait: e.wait(q.Now), Ticket: t.nextTicket(q.Now)}
	t.prefixes.Record(c, p.Parts, p.CacheTokens, q.Now)
	placed := &placedPrompt{ticket: d.Ticket, engine: e, at: q.Now, tokens: uncached + overheadTokens}
	e.expectedIdle = q.Now.Add(d.Wait + time.Duration(placed.tokens)*e.currentTokenTime(q.Now))
	placed.expected = e.expectedIdle
	e.waiting = append(e.waiting, placed)
	e.running++
	t.placed[d.Ticket] = placed
	t.order = append(t.order, placed)
	return d
}

// load returns the cost of the load of an engine for a prompt with a number of tokens to prefill, in tokens: the wait for the
// prompts before it, the slowdown by the requests that run there, and the slowdown of those by this prompt.
func (t *Tracker) load(now time.Time, s *route.Stats, uncached int) float64 {
	cost := tieTokens * rand.Float64()
	if s.Schedule.Cold(now) || s.Quota.Limit() > 0 {
		// The VM that sends the prompt rarely holds the permit.
		cost += avoidTokens
	}
	e := t.engines[s]
	if e == nil {
		return cost
	}
	cost += float64(e.wait(now)) / float64(t.tokenTime)
	cost += float64(uncached) * (float64(e.currentTokenTime(now))/float64(t.tokenTime) - 1)
	cost += float64(e.running) * (runningTokens + interruptionWeight*float64(uncached))
	if now.Before(e.avoidUntil) {
		cost += avoidTokens
	}
	return cost
}

// nextTicket returns a ticket that an earlier tracker, of a VM that has restarted, did not give.
func (t *Tracker) nextTicket(now time.Time) uint64 {
	t.lastTicket = max(t.lastTicket+1, uint64(now.UnixNano()))
	return t.lastTicket
}

func (t *Tracker) engine(s *route.Stats) *engine {
	e := t.engines[s]
	if e == nil {
		e = &engine{tokenTime: t.tokenTime, recentTime: t.tokenTime}
		t.engines[s] = e
	}
	return e
}

// currentTokenTime returns the expected time per token at a time: the recent one, or the average if that is old.
func (e *engine) currentTokenTime(now time.Time) time.Duration {
	age := max(0, now.Sub(e.lastFirst))
	weight := math.Exp2(-float64(age) / float64(recentHalfLife))
	return max(1, e.tokenTime+time.Duration(weight*float64(e.recentTime-e.tokenTime)))
}

// wait returns the expected time until the engine can begin to prefill another prompt. If the oldest waiting prompt is
// overdue, the engine is slower than it was, and is expected to stay so for as long again.
func (e *engine) wait(now time.Time) time.Duration {
	if len(e.waiting) == 0 {
		return 0
	}
	wait := max(0, e.expectedIdle.Sub(now))
	if overdue := now.Sub(e.waiting[0].expected) - reportDelay; overdue > 0 {
		wait = max(wait, e.expectedIdle.Sub(e.waiting[0].expected)) + overdue
	}
	return min(wait, maxWait)
}

// First records that the first event of a prompt was made at a time. The time since the engine could begin with the prompt
// is a measurement of its speed.
func (t *Tracker) First(ticket uint64, at time.Time) {
	p := t.placed[ticket]
	if p == nil || p.started {
		return
	}
	p.started = true
	e := p.engine
	began := p.at
	if e.lastFirst.After(began) {
		began = e.lastFirst
	}
	if took := at.Sub(began); took > 0 {
		sample := took / time.Duration(p.tokens)
		e.recentTime = e.currentTokenTime(began)
		e.recentTime += time.Duration(recentWeight * float64(sample-e.recentTime))
		e.tokenTime += time.Duration(measurementWeight * float64(sample-e.tokenTime))
		t.tokenTime += time.Duration(measurementWeight * float64(sample-t.tokenTime))
		t.tokenTime = max(t.tokenTime, 1)
	}
	if at.After(e.lastFirst) {
		e.lastFirst = at
	}
	e.drop(p)
	e.reschedule(at)
}

// End records that a prompt has left its engine, complete or not. Failed is true if the engine is to blame.
func (t *Tracker) End(now time.Time, ticket uint64, failed bool) {
	p := t.placed[ticket]
	if p == nil {
		return
	}
	if failed {
		p.engine.avoidUntil = now.Add(avoidFor)
	}
	delete(t.placed, ticket)
	p.ended = true
	p.engine.running--
	if !p.started {
		p.engine.drop(p)
		p.engine.reschedule(p.at)
	}
}

// drop removes a prompt from those without a first event.
func (e *engine) drop(p *placedPrompt) {
	e.waiting = slices.DeleteFunc(e.waiting, func(w *placedPrompt) bool { return w == p })
}

// reschedule predicts the first events of the waiting prompts again, from the time of the last known one.
func (e *engine) reschedule(from time.Time) {
	at := from
	for _, p := range e.waiting {
		if p.at.After(at) {
			at = p.at
		}
		at = at.Add(time.Duration(p.tokens) * e.currentTokenTime(from))
		p.expected = at
	}
	e.expectedIdle = at
}

// forget drops the prompts that were placed more than forgetAfter ago, and the engines that have none.
func (t *Tracker) forget(now time.Time) {
	n := 0
	for n < len(t.order) && (t.order[n].ended || now.Sub(t.order[n].at) > forgetAfter) {
		t.End(now, t.order[n].ticket, false)
		n++
	}
	t.order = slices.Delete(t.order, 0, n)
	if n == 0 || len(t.engines) < 2*len(t.order)+minEnginesToSweep {
		return
	}
	for s, e := range t.engines {
		if e.running == 0 && now.Sub(e.expectedIdle) > forgetAfter {
			delete(t.engines, s)
		}
	}
}

// minEnginesToSweep is the number of engines up to which those that ended are kept, so that the sweep is rare.
const minEnginesToSweep = 256
