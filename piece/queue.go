package piece

import (
	"context"
	"slices"
	"time"
)

// mostTries is how often a piece is given to an endpoint.
const mostTries = 3

// pending is a job that is being made.
type pending struct {
	*Job
	ctx     context.Context
	handles []string
	left    int
	// ended is true once the result was given to the caller.
	ended bool
	done  chan error
	// queued is when the job came, for its log line.
	queued time.Time
}

// unit is one piece that waits or is in a call.
type unit struct {
	job   *pending
	piece int
	tries int
}

func newPending(ctx context.Context, j *Job, now time.Time) *pending {
	return &pending{Job: j, ctx: ctx, handles: make([]string, j.Pieces), left: j.Pieces, done: make(chan error, 1), queued: now}
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

// compare orders jobs: those that can still meet their objective by its end, then the others by their rank.
func compare(now time.Time, a, b *pending) int {
	lateA, lateB := a.Due.Before(now), b.Due.Before(now)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA && a.Priority != b.Priority:
		return a.Priority - b.Priority
	}
	return a.Due.Compare(b.Due)
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

// take removes up to n units from the front, and the rest of the first job if it has more, up to most.
func (q *queue) take(n, most int) []*unit {
	first := 0
	for first < len(q.waiting) && q.waiting[first].job == q.waiting[0].job {
		first++
	}
	n = min(max(n, first), most, len(q.waiting))
	out := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	return out
}
