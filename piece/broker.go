package piece

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"godwitplank"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/rendezvous"
	"godwitplank/timer"
)

// Timing of jobs that another VM dispatches.
const (
	// ownerCheckInterval is how often a VM checks that the VM that dispatches its job is still alive.
	ownerCheckInterval = 250 * time.Millisecond
	// ownershipInterval is how often a VM checks that it still owns the services of its queued jobs, and the least delay
	// before a job is sent again after a VM refused it because it no longer owns the service.
	ownershipInterval = 100 * time.Millisecond
	// suspectPeriod is how long a VM that failed to dispatch a job is sent no others.
	suspectPeriod = 2 * time.Second
)

// Links provides the connections to other VMs.
type Links interface {
	// LinkClient returns a client for a VM, or nil if the VM is unknown.
	LinkClient(ctx context.Context, vm string) link.LinkClient
	// DispatcherVMs returns the VMs that are alive and may dispatch jobs, in the same order on every VM.
	DispatcherVMs() []string
	// SettleTime returns how long it takes until the VMs agree on DispatcherVMs after a change.
	SettleTime() time.Duration
}

// Broker sends the jobs of each service to the service's owner, the one VM that dispatches them, so that pieces of requests
// from all VMs are batched into the same calls. If the owner fails, the job goes to the next one, and finally this VM
// dispatches it.
type Broker struct {
	VM         string
	Links      Links
	Dispatcher *Dispatcher
	Clock      timer.Clock
	Log        event.Logger

	mu           sync.Mutex
	suspects     map[string]time.Time // by VM, until when it is sent no jobs
	pendingFrees map[string][]string  // handles by service
	flushSignal  chan struct{}
	forecasts    forecastStore
	// lastOwned is when this VM last owned each service. Only Serve uses it.
	lastOwned map[string]time.Time
	group     sync.WaitGroup
}

// NewBroker returns the broker of a VM.
func NewBroker(vm string, links Links, dispatcher *Dispatcher, clock timer.Clock, log event.Logger) *Broker {
	return &Broker{VM: vm, Links: links, Dispatcher: dispatcher, Clock: clock, Log: log, flushSignal: make(chan struct{}, 1), lastOwned: make(map[string]time.Time)}
}

const (
	// maxOwnerAttempts is how many times a job is sent to an owner before this VM dispatches it.
	maxOwnerAttempts = 6
	// maxEndedOwners is how many owners may end with a job before it is refused, as it may be what ends them.
	maxEndedOwners = 2
)

// endedRetry is the Retry-After of errOwnersEnded: the owners start again meanwhile.
const endedRetry = 5 * time.Second

// errOwnersEnded is the fault of a job with which maxEndedOwners ended.
var errOwnersEnded = fault.New(fault.StageFailed, "the VMs that dispatched the stage ended while they did, which the request may have caused; check their logs before it is sent again").
	WithOutcome(godwitplank.NotRun, endedRetry)

// Run has a job dispatched by the owner of its service, or by this VM after maxOwnerAttempts failures. It returns the
// handles of the results in the order of the pieces.
func (b *Broker) Run(ctx context.Context, j *Job) ([]string, error) {
	// VMs send each other UTF-8 only, so that the owner would be blamed for a job that cannot be sent.
	if err := j.check(); err != nil {
		return nil, err
	}
	ended := 0
	for range maxOwnerAttempts {
		owner := b.owner(j.Service)
		handles, received, err := b.runOn(ctx, owner, j)
		if err == nil || (fault.Is(err) && !errors.Is(err, ErrMoved)) || ctx.Err() != nil {
			return handles, err
		}
		if moved(err) {
			// The VMs may disagree on the owner until their next state exchange.
			if timer.Wait(ctx, max(ownershipInterval, b.Links.SettleTime()/maxOwnerAttempts)) != nil {
				return nil, context.Cause(ctx)
			}
		} else {
			b.markSuspect(owner)
		}
		b.Log.Log(event.DispatcherFailed, "request_id", j.RequestID, "service", j.Service, "peer", owner, "error", err.Error())
		if received && !b.responds(ctx, owner) {
			if ended++; ended == maxEndedOwners {
				return nil, errOwnersEnded
			}
		}
	}
	local := *j
	local.LocalOnly = true
	return b.Dispatcher.Run(ctx, &local)
}

// moved reports whether a VM refused a job because it no longer owns the service.
func moved(err error) bool {
	return errors.Is(err, ErrMoved) || status.Code(err) == codes.FailedPrecondition
}

// responds reports whether a VM whose connection broke responds on a new one, so that it has not ended.
func (b *Broker) responds(ctx context.Context, vm string) bool {
	client := b.Links.LinkClient(ctx, vm)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	_, err := client.FreePieces(ctx, &link.FreePiecesRequest{})
	return err == nil
}

// runOn has the owner, which may be this VM, dispatch a job. received is true if the connection broke after the owner may have received
// it.
func (b *Broker) runOn(ctx context.Context, owner string, j *Job) (handles []string, received bool, err error) {
	if owner == b.VM {
		handles, err = b.Dispatcher.Run(ctx, j)
		return handles, false, err
	}
	return b.runRemote(ctx, owner, j)
}

// owner returns the VM that dispatches a service's jobs, by rendezvous hashing over the VMs that are alive and not
// suspected.
func (b *Broker) owner(service string) string {
	best, bestScore := b.VM, uint64(0)
	key := rendezvous.Key(service)
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, vm := range b.Links.DispatcherVMs() {
		if now.Before(b.suspects[vm]) {
			continue
		}
		if score := rendezvous.Weight(key, vm); score > bestScore {
			best, bestScore = vm, score
		}
	}
	return best
}

// markSuspect excludes a VM from ownership for suspectPeriod.
func (b *Broker) markSuspect(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects == nil {
		b.suspects = make(map[string]time.Time)
	}
	b.suspects[vm] = b.Clock.Now().Add(suspectPeriod)
}

// runRemote sends a job to another VM, which dispatches it, and gives up as soon as that VM is no longer alive. received is as in runOn.
func (b *Broker) runRemote(ctx context.Context, owner string, j *Job) (handles []string, received bool, err error) {
	client := b.Links.LinkClient(ctx, owner)
	if client == nil {
		return nil, false, errOwnerGone
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.group.Go(func() { b.watchOwner(ctx, cancel, owner) })
	now := b.Clock.Now()
	var connected peer.Peer // has no address if no connection could be opened
	reply, err := client.RunPieces(ctx, &link.RunPiecesRequest{
		Service: j.Service, RequestId: j.RequestID, Stage: int32(j.Stage), Pieces: int32(j.Pieces), Key: j.Key, Inputs: j.Inputs,
		RemainingMs: j.Deadline.Sub(now).Milliseconds(), DueMs: j.Due.Sub(now).Milliseconds(), Priority: int32(j.Priority),
		DataCentre: j.DataCentre, ResultBytes: j.ResultBytes, Holding: j.InputsHoldMemory, Returned: j.Returned,
	}, grpc.Peer(&connected))
	if err == nil {
		b.forecasts.put(b.Clock.Now(), j.Service, reply.Forecast)
	}
	switch {
	case err != nil:
		return nil, connected.Addr != nil && status.Code(err) == codes.Unavailable, err
	case reply.InputsGone:
		return nil, false, ErrInputsGone
	case reply.Refused != "":
		return nil, false, fault.New(fault.StageFailed, "%s", reply.Refused).WithOutcome(godwitplank.NotRun, time.Duration(reply.RetryAfterMs)*time.Millisecond)
	}
	if err := checkHandles(reply.Handles, j.Pieces); err != nil {
		b.Free(j.Service, reply.Handles)
		return nil, false, err
	}
	return reply.Handles, false, nil
}

// checkHandles checks the results that another VM, perhaps of an earlier build, returned for a number of pieces.
func checkHandles(handles []string, pieces int) error {
	if len(handles) != pieces {
		return fmt.Errorf("the VM returned %d results for %d pieces", len(handles), pieces)
	}
	for _, h := range handles {
		if err := CheckHandle(h); err != nil {
			return err
		}
	}
	return nil
}

var errOwnerGone = errors.New("the VM that dispatches the service's pieces is unknown or no longer alive; the job goes to another VM")

// watchOwner cancels a call to the owner once the owner is no longer alive.
func (b *Broker) watchOwner(ctx context.Context, cancel context.CancelCauseFunc, owner string) {
	ticks := timer.Subscribe(ctx, ownerCheckInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if !slices.Contains(b.Links.DispatcherVMs(), owner) {
				cancel(errOwnerGone)
				return
			}
		}
	}
}

// Free queues results to be freed through the VM that owns the service.
func (b *Broker) Free(service string, handles []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pendingFrees == nil {
		b.pendingFrees = make(map[string][]string)
	}
	b.pendingFrees[service] = append(b.pendingFrees[service], handles...)
	notify(b.flushSignal)
}

// Serve sends queued frees, after freeDelay so that results of several requests share a call, and moves the queued jobs
// of services that another VM now owns. It returns when ctx has ended and its calls have finished.
func (b *Broker) Serve(ctx context.Context) {
	ownershipChecks := timer.Subscribe(ctx, ownershipInterval)
	for {
		select {
		case <-ctx.Done():
			b.group.Wait()
			return
		case <-ownershipChecks:
			b.moveUnowned()
		case <-b.flushSignal:
			if timer.Wait(ctx, freeDelay) == nil {
				b.flush(ctx)
			}
		}
	}
}

// moveUnowned moves the queued jobs of services that another VM has owned for the time in which all VMs learn of that.
func (b *Broker) moveUnowned() {
	now := b.Clock.Now()
	for _, service := range b.Dispatcher.KnownServices() {
		if b.owner(service) == b.VM {
			b.lastOwned[service] = now
		} else if now.Sub(b.lastOwned[service]) > b.Links.SettleTime() {
			b.Dispatcher.MoveQueued(service)
		}
	}
}

// notify sends to a channel with a buffer of one, without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// flush sends the queued frees to the owners of their services. This VM frees the results itself if it is the owner or
// cannot reach the owner.
func (b *Broker) flush(ctx context.Context) {
	b.mu.Lock()
	frees := b.pendingFrees
	b.pendingFrees = nil
	b.mu.Unlock()
	for service, handles := range frees {
		owner := b.owner(service)
		client := b.Links.LinkClient(ctx, owner)
		if owner == b.VM || client == nil {
			b.Dispatcher.Free(service, handles)
			continue
		}
		b.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
			defer cancel()
			if _, err := client.FreePieces(ctx, &link.FreePiecesRequest{Service: service, Handles: handles}); err != nil {
				b.Dispatcher.Free(service, handles)
			}
		})
	}
}

// RunPieces dispatches a job for another VM. It fails with FailedPrecondition if this VM no longer owns the service.
func (b *Broker) RunPieces(ctx context.Context, r *link.RunPiecesRequest) (*link.RunPiecesReply, error) {
	now := b.Clock.Now()
	handles, err := b.Dispatcher.Run(ctx, &Job{
		Service: r.Service, RequestID: r.RequestId, Stage: int(r.Stage), Pieces: int(r.Pieces), Key: r.Key, Inputs: r.Inputs,
		Due: now.Add(time.Duration(r.DueMs) * time.Millisecond), Deadline: now.Add(time.Duration(r.RemainingMs) * time.Millisecond),
		Priority: int(r.Priority), DataCentre: r.DataCentre, ResultBytes: r.ResultBytes, InputsHoldMemory: r.Holding,
		Returned: r.Returned,
	})
	switch {
	case errors.Is(err, ErrMoved):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, ErrInputsGone):
		return &link.RunPiecesReply{InputsGone: true, Forecast: b.Dispatcher.encodeForecast(r.Service)}, nil
	case err != nil:
		reply := &link.RunPiecesReply{Refused: err.Error(), Forecast: b.Dispatcher.encodeForecast(r.Service)}
		if fault.Is(err) {
			reply.RetryAfterMs = fault.As(err).RetryAfterMS
		}
		return reply, nil
	}
	return &link.RunPiecesReply{Handles: handles, Forecast: b.Dispatcher.encodeForecast(r.Service)}, nil
}

// FreePieces frees results for another VM.
func (b *Broker) FreePieces(_ context.Context, r *link.FreePiecesRequest) (*link.FreePiecesReply, error) {
	b.Dispatcher.Free(r.Service, r.Handles)
	return &link.FreePiecesReply{}, nil
}
