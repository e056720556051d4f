package piece

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"godwitplank"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/memory"
)

const (
	// PieceBytes is the approximate memory of a piece on the VM that dispatches it, and that of its result on the VM that took the
	// request.
	PieceBytes = 256
	// jobBytes is the approximate memory of a job without its pieces and inputs.
	jobBytes = 1 << 10
	// handleBytes is the memory of a handle besides its text.
	handleBytes = 16
)

// LargestJobBytes is the memory of a job of MaxPieces without inputs.
const LargestJobBytes = jobBytes + MaxPieces*PieceBytes

const (
	// memoryWait is how long a job with inputs waits for memory, since those hold memory of other endpoints.
	memoryWait = 500 * time.Millisecond
	// The Retry-After of a job for which there is no memory is random, so that its callers do not return together.
	minMemoryRetry = time.Second
	maxMemoryRetry = 2 * time.Second
)

// bytes returns the approximate memory of a job.
func (j *Job) bytes() int64 {
	n := int64(jobBytes + j.Pieces*PieceBytes)
	for _, h := range j.Inputs {
		n += int64(len(h) + handleBytes)
	}
	return n
}

// charge opens an account with the memory of a job, which the caller closes when the job is no longer queued. It returns a fault if
// there is no memory for it.
func (d *Dispatcher) charge(ctx context.Context, now time.Time, j *Job) (*memory.Account, error) {
	account := d.Memory.Open(netip.Addr{}, now, func() {})
	err := d.growFor(ctx, account, j)
	if err == nil {
		return account, nil
	}
	account.Close()
	d.withoutMemory.Add(1)
	if skipped, ok := d.memoryRefusals.Allow(now); ok {
		d.Log.Log(event.JobWithoutMemory, "request_id", j.RequestID, "service", j.Service, "stage", j.Stage, "pieces", j.Pieces, "bytes", j.bytes(),
			"error", err.Error(), "skipped", skipped)
	}
	return nil, fault.New(fault.StageFailed, "the VM that dispatches the stage has no memory for its %d pieces at present; try again after the indicated delay, or ask for fewer", j.Pieces).
		WithOutcome(godwitplank.NotRun, minMemoryRetry+rand.N(maxMemoryRetry-minMemoryRetry))
}

// growFor charges the memory of a job. If that does not fit, a job with inputs waits until other jobs end, for at most memoryWait.
func (d *Dispatcher) growFor(ctx context.Context, account *memory.Account, j *Job) error {
	freed := account.Freed()
	err := account.Grow(d.Clock.Now(), j.bytes())
	if err == nil || len(j.Inputs) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	for err != nil {
		select {
		case <-freed:
			freed = account.Freed()
			err = account.Grow(d.Clock.Now(), j.bytes())
		case <-ctx.Done():
			return err
		}
	}
	return nil
}

// JobsWithoutMemory returns the number of jobs that were refused since there was no memory for their pieces.
func (d *Dispatcher) JobsWithoutMemory() int64 {
	return d.withoutMemory.Load()
}

// remove drops an ended job and its units.
func (q *queue) remove(p *pendingJob) {
	if len(p.waiting) == 0 {
		return
	}
	q.jobs = slices.DeleteFunc(q.jobs, func(j *pendingJob) bool { return j == p })
	q.units -= len(p.waiting)
	p.waiting = nil
}
