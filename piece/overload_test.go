package piece

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/document"
	"godwitplank/fault"
)

// overload plays requests of three stages, one after the other, at services that receive more work than they can do. It
// runs on virtual time, with the queues of the dispatcher.
type overload struct {
	now      time.Time
	events   timeline
	stages   []*document.Service
	queues   []queue
	idle     []int // endpoints without a call, by stage
	requests []*overloadRequest
	wasted   int // pieces of requests that were not answered
	pieces   int
}

// overloadRequest is one request; its caller leaves at leave without an answer.
type overloadRequest struct {
	priority   int
	due, leave time.Time
	answeredAt time.Time
	work       int
	job        *pendingJob
}

// timeline is a heap of functions by time.
type timeline []timedEvent

type timedEvent struct {
	at  time.Time
	run func()
}

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l timeline) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(e any)        { *l = append(*l, e.(timedEvent)) }
func (l *timeline) Pop() any {
	e := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return e
}

func (o *overload) after(d time.Duration, run func()) {
	heap.Push(&o.events, timedEvent{o.now.Add(d), run})
}

// piecesOfStage is the number of pieces that a request has in each stage.
var piecesOfStage = []int{1, 8, 16}

const (
	overloadObjective = 1500 * time.Millisecond
	overloadPatience  = 6 * time.Second
	urgentPerSecond   = 33
	stageEndpoints    = 4
)

// remaining returns the time that is reserved for the stages after stage i.
func (o *overload) remaining(i int) time.Duration {
	d := time.Duration(0)
	for j := i + 1; j < len(o.stages); j++ {
		d += PredictCallTime(o.stages[j], piecesOfStage[j])
	}
	return d
}

func (o *overload) startStage(r *overloadRequest, i int) {
	if i == len(o.stages) {
		r.answeredAt = o.now
		return
	}
	j := &Job{Pieces: piecesOfStage[i], Priority: r.priority, Due: r.due.Add(-o.remaining(i)), Deadline: r.leave}
	r.job = newPendingJob(j, o.now, PredictCallTime(o.stages[i], j.Pieces))
	o.queues[i].insert(o.now, r.job.units()...)
	o.dispatch(i)
}

// dispatch gives queued pieces to the idle endpoints of a stage.
func (o *overload) dispatch(i int) {
	s := o.stages[i]
	for o.idle[i] > 0 && o.queues[i].units > 0 {
		share := (o.queues[i].units + o.idle[i] - 1) / o.idle[i]
		units := o.queues[i].take(offer{now: o.now, share: share, maxPieces: s.Batch.Pieces, freeBytes: -1, allowed: func(*unit) bool { return true }})
		if len(units) == 0 {
			return
		}
		o.idle[i]--
		o.after(PredictCallTime(s, len(units)), func() {
			o.idle[i]++
			o.finish(i, units)
			o.dispatch(i)
		})
	}
}

func (o *overload) finish(i int, units []*unit) {
	for _, u := range units {
		o.pieces++
		u.job.remaining--
		r := o.requestOf(u.job)
		r.work++
		if u.job.remaining > 0 || u.job.ended {
			continue
		}
		u.job.end(nil)
		if o.now.Before(r.leave) {
			o.startStage(r, i+1)
		}
	}
}

func (o *overload) requestOf(p *pendingJob) *overloadRequest {
	for k := len(o.requests) - 1; k >= 0; k-- {
		if o.requests[k].job == p {
			return o.requests[k]
		}
	}
	panic("a piece of an unknown request")
}

// overloadResult has the shares of requests that met their objective, by priority, and the share of pieces that were made
// for requests that got no answer.
type overloadResult struct {
	urgent, normal, wasted float64
	// refused is the share of the requests without an answer that were refused instead of held until the caller left.
	refused float64
	// capacity is the number of requests a second that the slowest stage can serve with full calls.
	capacity float64
}

// playOverload plays 30 s of urgent and of normal requests.
func playOverload(seed uint64, normalPerSecond float64) overloadResult {
	started := time.Unix(1000, 0)
	o := &overload{now: started}
	for i, perPiece := range []float64{13, 2.8, 1.6} {
		o.stages = append(o.stages, &document.Service{Name: fmt.Sprint("s", i), Batch: &document.Batch{Pieces: []int{10, 46, 78}[i], CallMS: 150, PieceMS: perPiece}})
		o.queues = append(o.queues, queue{})
		o.idle = append(o.idle, stageEndpoints)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	arrive := func(priority int, perSecond float64) {
		at := time.Duration(0)
		for at < 30*time.Second {
			at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			r := &overloadRequest{priority: priority}
			o.requests = append(o.requests, r)
			o.after(at, func() {
				r.due, r.leave = o.now.Add(overloadObjective), o.now.Add(overloadPatience)
				o.startStage(r, 0)
			})
		}
	}
	var tick func()
	tick = func() {
		for i := range o.queues {
			o.queues[i].expire(o.now)
			o.queues[i].sort(o.now)
			o.dispatch(i)
			o.queues[i].refusePassedOver(o.now)
		}
		if o.now.Before(started.Add(40 * time.Second)) {
			o.after(dispatchInterval, tick)
		}
	}
	tick()
	arrive(0, urgentPerSecond)
	arrive(2, normalPerSecond)
	for o.events.Len() > 0 {
		e := heap.Pop(&o.events).(timedEvent)
		o.now = e.at
		e.run()
	}
	var asked, met [3]float64
	unanswered, refused := 0.0, 0.0
	for _, r := range o.requests {
		asked[r.priority]++
		select {
		case err := <-r.job.done:
			if fault.Is(err) {
				refused++
			}
		default:
		}
		switch {
		case r.answeredAt.IsZero():
			unanswered++
			o.wasted += r.work
		case r.answeredAt.Before(r.due):
			met[r.priority]++
		}
	}
	capacity := math.Inf(1)
	for i, s := range o.stages {
		callsPerSecond := stageEndpoints / PredictCallTime(s, s.Batch.Pieces).Seconds()
		capacity = min(capacity, callsPerSecond*float64(s.Batch.Pieces)/float64(piecesOfStage[i]))
	}
	return overloadResult{met[0] / asked[0], met[2] / asked[2], float64(o.wasted) / float64(o.pieces), refused / max(1, unanswered), capacity}
}

// With more work than the services can do, urgent requests meet their objective as before, and as many of the others do as
// the remaining capacity can serve. Oldest first, an overloaded stage runs every piece at its last moment and the request
// is late at the next stage: of 80 requests a second 2 met their objective.
func TestOverload(t *testing.T) {
	is := is.New(t)
	const minGoodput = 0.85 // of the remaining capacity, or of the load if that is less
	for _, perSecond := range []float64{20, 35, 60, 80} {
		for seed := range uint64(3) {
			r := playOverload(seed, perSecond)
			goodput := r.normal * perSecond / min(perSecond, r.capacity-urgentPerSecond)
			t.Logf("%v a second, seed %d: %+v, goodput %.2f", perSecond, seed, r, goodput)
			is.True(r.urgent > 0.95)
			is.True(goodput > minGoodput)
			is.True(r.wasted < 0.1)
			is.True(r.refused > 0.5 || perSecond < r.capacity-urgentPerSecond)
		}
	}
}
