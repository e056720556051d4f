package piece

import (
	"slices"
	"sort"
	"time"

	"godwitplank/admission"
)

// maxFailures is how many times a piece may fail before its job does.
const maxFailures = 3

// pendingJob is a job in progress and its results so far.
type pendingJob struct {
	*Job
	handles   []string
	remaining int
	// waiting holds the units in the queue.
	waiting []*unit
	// ended is true once the job has a result or error for Run, or Run no longer waits for it.
	ended bool
	done  chan error
	// queuedAt is when the job was queued.
	queuedAt time.Time
	// predicted is the predicted time of a call with only this job.
	predicted time.Duration
	// started is true once a piece was sent to an endpoint.
	started bool
	// claim is the job's claim for capacity, used by a queue with an admitter. refusal is why it was refused.
	claim   admission.Claim
	refusal admission.Decision
}

// unit is a piece that is queued or in a call.
type unit struct {
	job      *pendingJob
	piece    int
	failures int
	// retry is true once a call with the unit was attempted. budgetExempt is true if its next call is not charged
	// to the retry budget since the last one was never sent.
	retry, budgetExempt bool
	// returnedAt is when the unit's last call ended without its result.
	returnedAt time.Time
}

func newPendingJob(j *Job, now time.Time, predicted time.Duration) *pendingJob {
	return &pendingJob{Job: j, handles: make([]string, j.Pieces), remaining: j.Pieces, done: make(chan error, 1), queuedAt: now, predicted: predicted, claim: newClaim(j, predicted)}
}

func (p *pendingJob) units() []*unit {
	out := make([]*unit, p.Pieces)
	for i := range out {
		out[i] = &unit{job: p, piece: i}
	}
	return out
}

// end completes the job with an error or nil. Only the first call has an effect.
func (p *pendingJob) end(err error) {
	if !p.ended {
		p.ended = true
		p.done <- err
	}
}

// queue holds the jobs of a service with units that wait for an endpoint, most urgent first. A service of hundreds of VMs
// gets a thousand jobs a second, so only sort and expire look at all of them; they run at every tick.
type queue struct {
	jobs []*pendingJob
	// units is the number of waiting units.
	units int
	// passedOverSince is when the queue began to pass over its late jobs, by priority.
	passedOverSince map[int]time.Time
	// admitter orders and refuses the jobs; nil for the order of compareUrgency.
	admitter *admitter
}

// insert adds units and places their jobs in order of urgency.
func (q *queue) insert(now time.Time, units ...*unit) {
	for _, u := range units {
		q.units++
		u.job.waiting = append(u.job.waiting, u)
		if u.job.started {
			u.job.updateClaim()
		}
		if len(u.job.waiting) > 1 {
			continue
		}
		position := sort.Search(len(q.jobs), func(k int) bool { return q.compare(now, q.jobs[k], u.job) > 0 })
		q.jobs = slices.Insert(q.jobs, position, u.job)
	}
}

// sort orders the jobs again, since more of them miss their objective as time passes.
func (q *queue) sort(now time.Time) {
	slices.SortStableFunc(q.jobs, func(a, b *pendingJob) int { return q.compare(now, a, b) })
}

func (q *queue) compare(now time.Time, a, b *pendingJob) int {
	if q.admitter != nil {
		return q.admitter.policy.Compare(&a.claim, &b.claim)
	}
	return compareUrgency(now, a, b)
}

// compareUrgency orders jobs: first those that have started, as their results hold memory until the last piece is done,
// then those that can still meet their objective, then by priority, and the newest objective first. It answers overload:
// oldest first, an overloaded stage runs each job at its last moment, so that its request is late at the next stage.
func compareUrgency(now time.Time, a, b *pendingJob) int {
	lateA, lateB := a.missesObjective(now), b.missesObjective(now)
	switch {
	case a.started != b.started && a.started:
		return -1
	case a.started != b.started:
		return 1
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	}
	return b.Due.Compare(a.Due)
}

// missesObjective reports whether the job can no longer finish within the objective of its request and may be deferred.
func (p *pendingJob) missesObjective(now time.Time) bool {
	return !p.InputsHoldMemory && p.Due.Before(now.Add(p.predicted))
}

// spillShare is the fraction of the time to a job's objective that it waits for an endpoint in its own data
// centre before one in another may run it.
const spillShare = 0.35

// mayRunIn reports whether an endpoint in a data centre may run the job now. Endpoints in other data centres than the
// job's cost traffic between them, so they get the job only after it has waited for spillShare.
func (p *pendingJob) mayRunIn(now time.Time, dataCentre string, servedDCs map[string]bool) bool {
	if p.DataCentre == "" || p.DataCentre == dataCentre || !servedDCs[p.DataCentre] {
		return true
	}
	return now.Sub(p.queuedAt) > time.Duration(spillShare*float64(p.Due.Sub(p.queuedAt)))
}

// expire ends jobs past their deadline with ErrDeadline and drops all ended jobs.
func (q *queue) expire(now time.Time) {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *pendingJob) bool {
		if !j.ended && !now.Before(j.Deadline) {
			j.end(ErrDeadline)
		}
		if j.ended {
			q.units -= len(j.waiting)
			j.waiting = nil
		}
		return j.ended
	})
}

// offer is the capacity that an endpoint has for units of a queue.
type offer struct {
	now        time.Time
	dataCentre string
	// servedDCs is the set of data centres with usable endpoints of the service.
	servedDCs map[string]bool
	// share is how many pieces the endpoint should get, rounded up to whole jobs; maxPieces is the limit of a call.
	share, maxPieces int
	// freeBytes is its free memory for results, negative for no limit.
	freeBytes int64
	// empty is true if the endpoint holds no results.
	empty bool
	// allowed reports whether the retry budget lets a unit be sent now.
	allowed func(u *unit) bool
}

// fits reports whether the endpoint has memory for a unit's result. A job starts only where all of it fits, up to the
// limit of a call: if it waited for memory half done, it would hold memory that other jobs need. A job larger than an
// endpoint's memory starts at an empty endpoint. previous is the job of the unit taken before.
func (o *offer) fits(u *unit, previous *pendingJob) bool {
	if o.freeBytes < 0 {
		return true
	}
	needed := u.job.ResultBytes
	if u.job != previous && !u.job.started {
		needed *= int64(min(u.job.remaining, o.maxPieces))
	}
	return needed <= o.freeBytes || (o.empty && u.job != previous)
}

// take removes and returns the units for an offer, most urgent first.
func (q *queue) take(o offer) []*unit {
	var out []*unit
	for k := 0; k < len(q.jobs) && len(out) < min(o.share, o.maxPieces); {
		j := q.jobs[k]
		if !j.ended && j.mayRunIn(o.now, o.dataCentre, o.servedDCs) {
			out = q.takeFrom(j, &o, out)
		}
		if len(j.waiting) > 0 {
			k++
			continue
		}
		q.jobs = slices.Delete(q.jobs, k, k+1)
	}
	return out
}

// takeFrom moves the units of a job that an offer can take from the job to out, and reduces the offer's memory.
func (q *queue) takeFrom(j *pendingJob, o *offer, out []*unit) []*unit {
	var previous *pendingJob
	rest := j.waiting[:0]
	opened := !j.started
	for _, u := range j.waiting {
		if len(out) >= o.maxPieces || !o.fits(u, previous) || !o.allowed(u) {
			rest = append(rest, u)
			continue
		}
		out = append(out, u)
		previous = j
		j.started = true
		if o.freeBytes >= 0 {
			o.freeBytes -= j.ResultBytes
		}
	}
	if opened && j.started && j.missesObjective(o.now) {
		delete(q.passedOverSince, j.Priority)
	}
	q.units -= len(j.waiting) - len(rest)
	if q.admitter != nil {
		count(q.admitter.got, o.now, j.claim.Kind, len(j.waiting)-len(rest))
	}
	clear(j.waiting[len(rest):])
	j.waiting = rest
	j.updateClaim()
	return out
}

// countRunnable returns the number of units that an endpoint in a data centre may run now, at most limit.
func (q *queue) countRunnable(now time.Time, dataCentre string, servedDCs map[string]bool, limit int) int {
	n := 0
	for _, j := range q.jobs {
		if j.mayRunIn(now, dataCentre, servedDCs) {
			n += len(j.waiting)
		}
		if n >= limit {
			return limit
		}
	}
	return n
}
