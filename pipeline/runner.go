// Package pipeline runs a request through the stages of its pipeline within one deadline. Idempotent stages are retried
// and hedged within a retry budget; non-idempotent ones run at most once, guarded by a replicated ledger.
package pipeline

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/order"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/stop"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Ledger is the replicated store of non-idempotent calls, which package order and the wire names call orders.
type Ledger interface {
	// ChangeOrder commits a change by quorum and returns the record after it.
	ChangeOrder(ctx context.Context, change *order.Change) (*order.Record, error)
	// FindOrderRecord reads a record. The result may be stale, and nil if there is none.
	FindOrderRecord(ctx context.Context, key *order.Key) (*order.Record, error)
}

// Pools looks up the candidate endpoints of a pool by name.
type Pools interface {
	Pool(name string) []route.Candidate
}

// PoolsFunc adapts a function to Pools.
type PoolsFunc func(name string) []route.Candidate

// Pool calls f.
func (f PoolsFunc) Pool(name string) []route.Candidate {
	return f(name)
}

// Runner runs jobs. Set the exported fields before the first job. Run is safe for concurrent use.
type Runner struct {
	VM          string
	Incarnation uint64
	DataCentre  string
	Pools       Pools
	Policy      route.Policy
	Ledger      Ledger
	Client      *stage.Client
	// Stop is the schedule of this VM's graceful stop; nil for a VM that never stops gracefully.
	Stop  *stop.Schedule
	Clock timer.Clock
	Meter *telemetry.Meter
	Log   event.Logger
	// OnSpend, if set, is called with the time that each sent stage call occupied an endpoint.
	OnSpend func(workspace, stage string, held time.Duration)

	group     sync.WaitGroup
	poolStats poolStats
	// malformed limits the log lines for responses with a malformed head.
	malformed event.Sampler
}

// Job is one request and its progress through its pipeline.
type Job struct {
	RequestID string
	Workspace *document.Workspace
	Pipeline  *document.Pipeline
	Input     json.RawMessage
	Deadline  time.Time
	// Key and Attempt are the values of Idempotency-Key and Idempotency-Attempt of a request to a pipeline with a
	// non-idempotent stage. After an attempt was voided, the caller has to send a higher one to run the request.
	Key     string
	Attempt uint32
	// OnToken, if set, is called with the tokens of the last streaming stage, in order and once each.
	OnToken func(godwitplank.Token)

	sent          bool   // true once a call of an idempotent stage was started
	executedStage string // the last non-idempotent stage that has run
}

// Run returns the output of the last stage, or a fault whose outcome says whether the request may have run.
func (r *Runner) Run(ctx context.Context, j *Job) (json.RawMessage, *fault.Error) {
	j.Deadline = r.Stop.Limit(j.Deadline)
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	ctx, bound := r.boundByStop(ctx)
	defer bound.Release()
	input := j.Input
	for i := range j.Pipeline.Stages {
		output, err := r.runStage(ctx, j, i, input)
		if err != nil {
			return nil, r.withOutcome(ctx, j, i, err)
		}
		input = output
	}
	return input, nil
}

// boundByStop returns a context that ends when the request needs its answer because this VM stops.
func (r *Runner) boundByStop(ctx context.Context) (context.Context, *stop.Bound) {
	return r.Stop.Bound(ctx, r.Clock, func(t stop.Times) time.Time { return t.AnswerBy })
}

func (r *Runner) runStage(ctx context.Context, j *Job, i int, input json.RawMessage) (json.RawMessage, *fault.Error) {
	s := &j.Pipeline.Stages[i]
	ctx, span := telemetry.StartSpan(ctx, "stage", "request_id", j.RequestID, "stage", s.Name, "pool", s.Pool)
	defer span.End()
	if err := r.checkDeadline(j, i); err != nil {
		return nil, err
	}
	if s.NonIdempotent() {
		return r.runOnce(ctx, j, s, input)
	}
	if s.Stream && j.OnToken != nil && i == lastStreamingStage(j.Pipeline) {
		return r.runStream(ctx, j, i, input)
	}
	return r.runIdempotent(ctx, j, i, input)
}

// checkDeadline returns a fault if the remaining stages are not expected to finish before the deadline.
func (r *Runner) checkDeadline(j *Job, i int) *fault.Error {
	remaining := j.Deadline.Sub(r.Clock.Now())
	required := r.poolStats.minDuration(j.Pipeline.Stages[i:])
	if remaining <= 0 {
		return deadlineExceeded(j.Pipeline.Stages[i].Name)
	}
	if remaining < required {
		return fault.New(fault.DeadlineTooShort, "%v remain until the deadline, but the stages from %s on need at least %v; send a longer deadline_ms", remaining.Round(time.Millisecond), j.Pipeline.Stages[i].Name, required.Round(time.Millisecond))
	}
	return nil
}

func deadlineExceeded(stage string) *fault.Error {
	return fault.New(fault.DeadlineExceeded, "the deadline ended in stage %s; send a longer deadline_ms or try again", stage)
}

// withOutcome adds the outcome of the request to the error of stage i. Errors of non-idempotent stages already have
// one.
func (r *Runner) withOutcome(ctx context.Context, j *Job, i int, err *fault.Error) *fault.Error {
	if err.Outcome != "" {
		return err
	}
	if j.Pipeline.HasNonIdempotentStage() {
		return r.failNonIdempotent(ctx, j, i, err)
	}
	if j.sent {
		return err.WithOutcome(godwitplank.Failed, retryAfter)
	}
	return err.WithOutcome(godwitplank.NotRun, retryAfter)
}

// retryAfter is the delay that a fault advises before the request is sent again.
const retryAfter = 500 * time.Millisecond

// lastStreamingStage returns the index of the last streaming stage, or -1.
func lastStreamingStage(p *document.Pipeline) int {
	for i := len(p.Stages) - 1; i >= 0; i-- {
		if p.Stages[i].Stream {
			return i
		}
	}
	return -1
}

// Wait blocks until all background work has ended: abandoned attempts, cancellations and ledger commits.
func (r *Runner) Wait() {
	r.group.Wait()
}

func (r *Runner) newCall(j *Job, s *document.Stage, attempt int, input json.RawMessage) godwitplank.StageCall {
	return godwitplank.StageCall{
		RequestID: j.RequestID, Stage: s.Name, Attempt: attempt, Model: s.Model,
		DeadlineMS: max(1, j.Deadline.Sub(r.Clock.Now()).Milliseconds()),
		Priority:   j.Workspace.Priority, Input: input,
	}
}

func (r *Runner) recordSpend(j *Job, s *document.Stage, held time.Duration) {
	if r.OnSpend != nil {
		r.OnSpend(j.Workspace.Name, s.Name, held)
	}
}

// choose selects an endpoint for a call. If there is none and tried is empty, it waits up to maxChooseWait, since an
// endpoint's announcement may be about to arrive.
func (r *Runner) choose(ctx context.Context, s *document.Stage, tried []string) (route.Candidate, bool) {
	for waited := time.Duration(0); ; waited += choosePollInterval {
		candidates := r.Pools.Pool(s.Pool)
		q := route.Query{Now: r.Clock.Now(), DataCentre: r.DataCentre, Model: s.Model, Tried: tried}
		if i := r.Policy.Choose(q, candidates); i >= 0 && candidates[i].TakePermit(q.Now) {
			return candidates[i], true
		}
		if len(tried) > 0 || waited >= maxChooseWait || timer.Wait(ctx, choosePollInterval) != nil {
			return route.Candidate{}, false
		}
	}
}

const (
	choosePollInterval = 25 * time.Millisecond
	maxChooseWait      = 500 * time.Millisecond
)

func noEndpoint(s *document.Stage) *fault.Error {
	return fault.New(fault.NoEndpoint, "no endpoint of pool %s is available to this VM; try again, or start an endpoint that the document admits", s.Pool)
}
