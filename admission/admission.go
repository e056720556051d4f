// Package admission decides which jobs of an overloaded service start, which wait and which are refused, so that the
// callers lose as little as possible. It does no I/O and reads no clock.
//
// A response is worth most within its request's latency objective and little after it. A refusal on arrival costs its
// caller almost nothing; one after a long wait costs as much as no response. So a job that cannot be served in time is
// refused when that becomes predictable, unless capacity that no job in time needs is predicted before its deadline.
package admission

import (
	"cmp"
	"math/bits"
	"time"
)

// Claim is a job that asks for capacity of a service.
type Claim struct {
	Priority int // lower values first
	// Due is when the job has to end for its request to meet its latency objective, counted from the caller's first
	// attempt. Deadline is when the caller stops waiting.
	Due, Deadline time.Time
	// Pieces is the number of pieces that have not been sent, Bytes the memory that their results need.
	Pieces int
	Bytes  int64
	// Predicted is the time of a call with only this job.
	Predicted time.Duration
	// Started is true once a piece was sent, HasInputs if earlier stages of the request have run. Such a job is never
	// refused, since the work done for it would be lost.
	Started, HasInputs bool
	// InputsHoldMemory is true if the inputs occupy a considerable part of other endpoints' memory for results.
	InputsHoldMemory bool
	// Returned is true if the caller came back after a refusal.
	Returned bool
	// Late is set by Policy: the job cannot meet its objective and uses only capacity that is left over.
	Late bool
	// Kind is the kind of the whole job, with the pieces that were sent. Starved is set by Policy: jobs of the kind got less than minShare of what the others got.
	Kind    Kind
	Starved bool
}

// Room is the capacity of a service.
type Room struct {
	// PiecesPerSecond is what the endpoints complete with full calls; 0 if that is unknown, and then no job is refused.
	PiecesPerSecond float64
	// FreePieces is how many pieces idle endpoints can take now. NextFree is the time until a busy one is predicted idle.
	FreePieces int
	NextFree   time.Duration
	// CallTime is the time of a call without pieces, PieceTime the time that each of at most MaxPieces pieces adds.
	// SlowTime is the part of CallTime by which the endpoints are slower than configured.
	CallTime, PieceTime, SlowTime time.Duration
	MaxPieces                     int
	// TotalBytes is the endpoints' memory for results, 0 for no limit. FreeBytes of it are free, and FreedPerSecond bytes
	// become free.
	TotalBytes, FreeBytes int64
	FreedPerSecond        float64
	// Demand is the rate of pieces of arriving jobs that have not missed their objective, refused ones included.
	Demand float64
	// Overloaded is how long the demand has been Tight.
	Overloaded time.Duration
	// Shares is what the jobs of each kind asked for and got in about the last ShareWindow.
	Shares      map[Kind]Share
	ShareWindow time.Duration

	above map[int]float64 // results of demandAbove
}

// Kind groups jobs that are compared for starvation: those of a priority whose numbers of pieces have the same order of
// magnitude. The owner of a service does not know the routes of its jobs.
type Kind struct {
	Priority int
	Size     int
}

// KindOf returns the kind of a job with a number of pieces.
func KindOf(priority, pieces int) Kind {
	return Kind{priority, bits.Len(uint(max(0, pieces)))}
}

// Share is the number of pieces that jobs asked for and got.
type Share struct {
	Asked, Got float64
}

// Verdict is what happens to a job now.
type Verdict int

// Verdicts.
const (
	// Start means that capacity for the job is free.
	Start Verdict = iota
	Wait
	Refuse
)

// Decision is the verdict on a job.
type Decision struct {
	Verdict Verdict
	// Wait is the predicted time until the job starts; Never if no capacity is predicted for it.
	Wait time.Duration
	// RetryAfter is when the caller of a refused job should return.
	RetryAfter time.Duration
}

// Never is the predicted wait of a job for which no capacity is predicted.
const Never = time.Duration(1<<63 - 1)

// Order is the order of jobs of one priority that can meet their objective.
type Order int

// Orders.
const (
	LeastSlack Order = iota
	ShortestFirst
	NewestFirst
	// ValuePerNeed compares the value of jobs for each piece, where each priority halves the value, also between
	// priorities.
	ValuePerNeed
)

// Policy decides with an order. Its zero value uses LeastSlack.
type Policy struct {
	Order Order
	// refusals is the number of refusals so far, from which the spread of RetryAfter is derived.
	refusals uint64
}

// minShare is the fraction of the average share of the demand served that each kind gets, as required. With 0.3 no kind got
// less either in the plays of TestAdmissionTable, but in two more of them a higher priority was served less often.
const minShare = 0.25

// Compare orders jobs: first those that have started, as their results hold memory until the last piece is done, then
// those that can meet their objective or whose inputs hold memory, by priority, and the late ones last.
func (p *Policy) Compare(a, b *Claim) int {
	if c := cmp.Compare(a.class(), b.class()); c != 0 {
		return c
	}
	if a.class() == lateClass {
		return cmp.Or(compareBool(a.HasInputs, b.HasInputs), cmp.Compare(a.Priority, b.Priority), compareBool(a.Returned, b.Returned), a.Deadline.Compare(b.Deadline))
	}
	if p.Order == ValuePerNeed {
		return cmp.Or(compareBool(a.Starved, b.Starved), cmp.Compare(b.valuePerNeed(), a.valuePerNeed()))
	}
	return cmp.Or(compareBool(a.Starved, b.Starved), cmp.Compare(a.Priority, b.Priority), compareBool(a.Returned, b.Returned), p.compareInTime(a, b))
}

func (p *Policy) compareInTime(a, b *Claim) int {
	if a.HasInputs && b.HasInputs {
		return b.Due.Compare(a.Due)
	}
	switch p.Order {
	case ShortestFirst:
		return cmp.Or(cmp.Compare(a.Pieces, b.Pieces), a.Due.Compare(b.Due))
	case NewestFirst:
		return b.Due.Compare(a.Due)
	}
	return a.Due.Compare(b.Due)
}

// Classes of jobs, in the order in which they get capacity.
const (
	startedClass = iota
	inTimeClass
	lateClass
)

func (c *Claim) class() int {
	switch {
	case c.Started:
		return startedClass
	case c.Late:
		return lateClass
	}
	return inTimeClass
}

func (c *Claim) valuePerNeed() float64 {
	value := 1.0
	for range min(c.Priority, 30) {
		value /= 2
	}
	return value / float64(max(1, c.Pieces))
}

// refusable reports whether no work was done for the job's request.
func (c *Claim) refusable() bool {
	return !c.Started && !c.HasInputs && !c.InputsHoldMemory
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
