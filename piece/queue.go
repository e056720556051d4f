package piece

import (
	"slices"
	"time"
)

// mostTries is how often a piece is given to an endpoint.
const mostTries = 3

// pending is a job that is being made.
type pending struct {
	*Job
	handles []string
	left    int
	// ended is true once the result was given to the caller.
	ended bool
	done  chan error
	// queued is when the job came.
	queued time.Time
	// predicted is the time of a call for the job alone.
	predicted time.Duration
	// begun is true once a piece was given to an endpoint.
	begun bool
}

// unit is one piece that waits or is in a call.
type unit struct {
	job   *pending
	piece int
	tries int
	// repeated units went to an endpoint before; paid ones are covered by the budget for the next call.
	repeated, paid bool
	// returned is when it came back from an endpoint without a result.
	returned time.Time
}

func newPending(j *Job, now time.Time, predicted time.Duration) *pending {
	return &pending{Job: j, handles: make([]string, j.Pieces), left: j.Pieces, done: make(chan error, 1), queued: now, predicted: predicted}
}

func (p *pending) units() []*unit {
	out := make([]*unit, p.Pieces)
	for i := range out {
		out[i] = &unit{job: p, piece: i}
	}
	return out
}

// end gives the result to the caller once.
func (p *pending) end(err error) {
	if !p.ended {
		p.ended = true
		p.done <- err
	}
}

// queue holds the units of a service that wait for an endpoint, the most urgent first.
type queue struct {
	waiting []*unit
}

// add puts units in their place.
func (q *queue) add(now time.Time, units ...*unit) {
	q.waiting = append(q.waiting, units...)
	slices.SortStableFunc(q.waiting, func(a, b *unit) int { return compare(now, a.job, b.job) })
}

// compare orders jobs: those that were begun, whose results take memory until the last one is made, then those that can
// still meet their objective before the others, then by rank and by objective.
func compare(now time.Time, a, b *pending) int {
	lateA, lateB := a.late(now), b.late(now)
	switch {
	case a.begun != b.begun && a.begun:
		return -1
	case a.begun != b.begun:
		return 1
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	}
	return a.Due.Compare(b.Due)
}

// late reports whether the job can no longer be made before the objective of its request ends and may be put off.
func (p *pending) late(now time.Time) bool {
	return !p.Holding && p.Due.Before(now.Add(p.predicted))
}

// spillShare is the part of the time to a job's objective that it waits for an endpoint of its own data centre.
const spillShare = 0.35

// takes reports whether an endpoint of a data centre may make the job now. Far endpoints cost traffic between data
// centres, so that they get it only once it has waited.
func (p *pending) takes(now time.Time, dataCentre string, near map[string]bool) bool {
	if p.DataCentre == "" || p.DataCentre == dataCentre || !near[p.DataCentre] {
		return true
	}
	return now.Sub(p.queued) > time.Duration(spillShare*float64(p.Due.Sub(p.queued)))
}

// expire ends the jobs whose time is over and drops the units of all jobs that ended.
func (q *queue) expire(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(u *unit) bool {
		if !u.job.ended && !now.Before(u.job.Deadline) {
			u.job.end(ErrLate)
		}
		return u.job.ended
	})
}

// offer is what an endpoint can take of a queue.
type offer struct {
	now        time.Time
	dataCentre string
	// near has the data centres with endpoints of the service.
	near map[string]bool
	// share is how many pieces the endpoint is given, rounded up to whole jobs; most is what it can take.
	share, most int
	// room is its memory for results, negative for no limit.
	room int64
	// empty is true for an endpoint without results.
	empty bool
	// may reports whether a unit may be sent now.
	may func(u *unit) bool
}

// fits reports whether the endpoint has memory for a piece. A job is begun only where all of it fits: one that waits
// for memory half made would hold memory that others need. A job larger than the memory is begun where there is most.
func (o *offer) fits(u *unit, last *pending) bool {
	if o.room < 0 {
		return true
	}
	needed := u.job.ResultBytes
	if u.job != last && !u.job.begun {
		needed *= int64(min(u.job.left, o.most))
	}
	return needed <= o.room || (o.empty && u.job != last)
}

// take removes the units that an endpoint gets, the most urgent first.
func (q *queue) take(o offer) []*unit {
	var out []*unit
	var last *pending
	rest := q.waiting[:0:0]
	for _, u := range q.waiting {
		enough := len(out) >= o.most || (len(out) >= o.share && u.job != last)
		if enough || !u.job.takes(o.now, o.dataCentre, o.near) || !o.fits(u, last) || !o.may(u) {
			rest = append(rest, u)
			continue
		}
		out = append(out, u)
		last = u.job
		u.job.begun = true
		if o.room >= 0 {
			o.room -= u.job.ResultBytes
		}
	}
	q.waiting = rest
	return out
}

// count returns how many units an endpoint of a data centre may make now.
func (q *queue) count(now time.Time, dataCentre string, near map[string]bool) int {
	n := 0
	for _, u := range q.waiting {
		if u.job.takes(now, dataCentre, near) {
			n++
		}
	}
	return n
}
