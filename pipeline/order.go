package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/order"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

var errMissingTokens = errors.New("the stream ended but earlier tokens are missing")

// Timeouts of the ledger operations of a claim.
const (
	// finishMargin is how long after the deadline the owner of a claim may still record its result.
	finishMargin = 2 * time.Second
	// minVoidTimeout is the least time that voiding an attempt may take, even after the deadline.
	minVoidTimeout = 500 * time.Millisecond
	// asyncCommitTimeout bounds a ledger change that is committed in the background.
	asyncCommitTimeout  = 10 * time.Second
	claimPollInterval   = 50 * time.Millisecond
	claimTimeoutDivisor = 2 // claiming and voiding may take 1/claimTimeoutDivisor of the time left
)

// claim runs one submission of a non-idempotent stage call. The ledger grants the call for a key to one submission
// only.
type claim struct {
	runner *Runner
	job    *Job
	stage  *document.Stage
	key    *order.Key
	input  json.RawMessage
}

func (r *Runner) newClaim(j *Job, s *document.Stage, input json.RawMessage) *claim {
	return &claim{runner: r, job: j, stage: s, input: input, key: &order.Key{Workspace: j.Workspace.Name, Key: j.Key, Stage: s.Name}}
}

// runOnce runs a stage at most once for its idempotency key: it commits a claim to the replicated ledger, sends the
// call once and records the result. Other submissions of the key get the recorded result.
func (r *Runner) runOnce(ctx context.Context, j *Job, s *document.Stage, input json.RawMessage) (json.RawMessage, *fault.Error) {
	c := r.newClaim(j, s, input)
	// The call continues if the caller disconnects, so that its result is recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.Deadline)
	defer cancel()
	ctx, bound := r.boundByStop(ctx)
	defer bound.Release()
	for {
		record, err := c.acquire(ctx)
		if err != nil {
			return nil, c.abandon(ctx, err)
		}
		if record.State == order.State_CLAIMED && record.Claim == j.RequestID {
			return c.send(ctx)
		}
		if record.State != order.State_CLAIMED {
			return c.replay(record)
		}
		if !c.waitForOwner(ctx, record) {
			return nil, c.unknownOutcome(fault.OrderRunning, false, "another submission of this key is running the call; send the request again with the same key to get its result").
				WithOutcome(godwitplank.Unknown, retryAfter)
		}
	}
}

// acquire commits the claim. The returned record shows which submission owns the call.
func (c *claim) acquire(ctx context.Context) (*order.Record, *fault.Error) {
	ctx, span := telemetry.StartSpan(ctx, "claim", "request_id", c.job.RequestID, "stage", c.stage.Name)
	defer span.End()
	remaining := c.job.Deadline.Sub(c.runner.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining/claimTimeoutDivisor)
	defer cancel()
	record, err := c.runner.Ledger.ChangeOrder(ctx, c.change(order.Action_CLAIM, remaining+finishMargin))
	if err != nil {
		return nil, fault.As(err)
	}
	return record, nil
}

func (c *claim) change(action order.Action, validity time.Duration) *order.Change {
	return &order.Change{
		Action: action, Key: c.key, Attempt: c.job.Attempt, Claim: c.job.RequestID, InputSha256: document.SHA256(c.job.Input),
		OwnerVm: c.runner.VM, OwnerIncarnation: c.runner.Incarnation, ValidMs: validity.Milliseconds(),
	}
}

// waitForOwner polls until another submission's claim is decided or has expired. It returns false if ctx ends first.
func (c *claim) waitForOwner(ctx context.Context, claimed *order.Record) bool {
	timeout := time.Duration(claimed.ValidMs) * time.Millisecond
	start := c.runner.Clock.Now()
	for c.runner.Clock.Now().Sub(start) < timeout {
		if timer.Wait(ctx, claimPollInterval) != nil {
			return false
		}
		record, err := c.runner.Ledger.FindOrderRecord(ctx, c.key)
		if err == nil && record != nil && (record.State != order.State_CLAIMED || record.Claim != claimed.Claim) {
			return true
		}
	}
	return ctx.Err() == nil
}

// replay returns the result or the fault of a decided record.
func (c *claim) replay(record *order.Record) (json.RawMessage, *fault.Error) {
	if record.InputSha256 != document.SHA256(c.job.Input) {
		return nil, fault.New(fault.KeyReused, "the key was already used with another input; give each order its own Idempotency-Key").
			WithOutcome(godwitplank.Unknown, 0).WithSent(false)
	}
	switch record.State {
	case order.State_DONE:
		c.job.executedStage = c.stage.Name
		return record.Answer, nil
	case order.State_VOIDED:
		return nil, fault.New(fault.OrderVoided, "attempt %d of this key was voided and did not run; send the request with Idempotency-Attempt: %d to run it", record.Attempt, record.Attempt+1).
			WithOutcome(godwitplank.NotRun, 0)
	}
	return nil, c.unknownOutcome(fault.OrderUnknown, false, "an earlier submission of this key may have run, so the call is not sent again; check the records of the service")
}

// send sends the call once. It tries another endpoint only if nothing was sent to the one before, as on a dial error.
func (c *claim) send(ctx context.Context) (json.RawMessage, *fault.Error) {
	var tried []string
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		candidate, ok := c.runner.choose(ctx, c.stage, tried)
		if !ok {
			break
		}
		tried = append(tried, candidate.ID)
		output, err := c.try(ctx, candidate, attempt)
		if err == nil {
			return c.recordDone(ctx, output)
		}
		if reason(err) != stage.NotSent {
			return nil, c.recordUnknown(ctx, err)
		}
	}
	if ctx.Err() != nil {
		return nil, c.void(ctx, contextFault(ctx, c.stage))
	}
	return nil, c.void(ctx, noEndpoint(c.stage))
}

func (c *claim) try(ctx context.Context, candidate route.Candidate, attempt int) (json.RawMessage, error) {
	ctx, span := telemetry.StartSpan(ctx, "attempt", "request_id", c.job.RequestID, "stage", c.stage.Name, "endpoint", candidate.ID, "cause", causeOrder)
	defer span.End()
	call := c.runner.newCall(c.job, c.stage, attempt, c.input)
	started, slowdown := c.runner.beginCall(candidate)
	// A process that was suspended after its claim must not send the call past the deadline: the claim may have
	// expired.
	mayStart := func() bool { return c.runner.Clock.Now().Before(c.job.Deadline) }
	answer, err := c.runner.Client.CallOnce(ctx, candidate.Addr, call, mayStart)
	c.runner.finishCall(c.job, c.stage, candidate, call, started, slowdown, causeOrder, answer, err)
	if err == nil {
		c.runner.poolStats.stat(c.stage).observe(c.runner.Clock.Now().Sub(started))
	}
	return answer.Output, err
}

// recordDone commits the result before it is returned. Without a quorum the result is still returned, since the call
// did run, and the commit is retried in the background.
func (c *claim) recordDone(ctx context.Context, output json.RawMessage) (json.RawMessage, *fault.Error) {
	c.job.executedStage = c.stage.Name
	change := c.change(order.Action_FINISH, 0)
	change.Outcome = order.State_DONE
	change.Answer = output
	if _, err := c.runner.Ledger.ChangeOrder(ctx, change); err != nil {
		c.commitAsync(ctx, change)
	}
	return output, nil
}

// recordUnknown records in the background that the call may have run, and returns that as a fault.
func (c *claim) recordUnknown(ctx context.Context, cause error) *fault.Error {
	change := c.change(order.Action_FINISH, 0)
	change.Outcome = order.State_UNKNOWN
	c.commitAsync(ctx, change)
	return c.unknownOutcome(fault.OrderUnknown, true, "the call was sent and its response was lost ("+cause.Error()+"); it is not sent again, check the records of the service")
}

// void commits that this attempt never runs, and returns err with the outcome not_run only after the commit. If another
// submission decided the record first, its result determines the outcome.
func (c *claim) void(ctx context.Context, err *fault.Error) *fault.Error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(minVoidTimeout, c.job.Deadline.Sub(c.runner.Clock.Now())/claimTimeoutDivisor))
	defer cancel()
	change := c.change(order.Action_VOID, 0)
	record, commitErr := c.runner.Ledger.ChangeOrder(ctx, change)
	if commitErr != nil {
		return c.abandon(ctx, err)
	}
	if record.State == order.State_VOIDED && record.Attempt >= c.job.Attempt {
		e := *err
		e.Message += "; this attempt will never run: to run the call, send the request again with Idempotency-Attempt increased by one"
		return e.WithOutcome(godwitplank.NotRun, retryAfter)
	}
	_, replayErr := c.replay(record)
	if replayErr == nil || record.State == order.State_CLAIMED {
		return c.unknownOutcome(fault.OrderRunning, false, "another submission of this key is running or has run; send the request again with the same key to get its result")
	}
	return replayErr
}

// abandon returns err with the outcome unknown after a ledger change failed, since an earlier submission of the key may
// have run. The attempt is voided in the background.
func (c *claim) abandon(ctx context.Context, err *fault.Error) *fault.Error {
	c.commitAsync(ctx, c.change(order.Action_VOID, 0))
	return err.WithOutcome(godwitplank.Unknown, retryAfter).WithSent(false)
}

// commitAsync commits a change in the background and ignores errors: an undecided claim expires by itself.
func (c *claim) commitAsync(ctx context.Context, change *order.Change) {
	c.runner.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), asyncCommitTimeout)
		defer cancel()
		_, _ = c.runner.Ledger.ChangeOrder(ctx, change)
	})
}

func (c *claim) unknownOutcome(kind fault.Kind, sent bool, message string) *fault.Error {
	c.runner.Log.Log(event.OutcomeUnknown, "request_id", c.job.RequestID, "workspace", c.job.Workspace.Name, "stage", c.stage.Name)
	return fault.New(kind, "%s", message).WithOutcome(godwitplank.Unknown, 0).WithSent(sent)
}

// failNonIdempotent adds the outcome to the error of stage i of a pipeline with non-idempotent stages. The outcome is
// unknown if such a stage has run; else the next one is voided, so that not_run is certain. Without either it is
// failed.
func (r *Runner) failNonIdempotent(ctx context.Context, j *Job, i int, err *fault.Error) *fault.Error {
	if j.executedStage != "" {
		e := *err
		e.Message += "; stage " + j.executedStage + " has run and will not run again: send the request again with the same key to continue after it"
		return e.WithOutcome(godwitplank.Unknown, retryAfter).WithSent(true)
	}
	for offset := range j.Pipeline.Stages[i:] {
		if s := &j.Pipeline.Stages[i+offset]; s.NonIdempotent() {
			return r.newClaim(j, s, nil).void(ctx, err)
		}
	}
	return err.WithOutcome(godwitplank.Failed, retryAfter)
}
