package piece

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/rendezvous"
	"godwitplank/timer"
)

// Times of jobs that another VM makes.
const (
	// watchPause is how often a VM looks whether the VM that makes its job is still alive.
	watchPause = 250 * time.Millisecond
	// movePause is how often a VM looks whether it still makes the jobs that wait.
	movePause = 100 * time.Millisecond
	// moveAfter is longer than the time between two exchanges of the VMs, so that all know the new owner by then.
	moveAfter = 800 * time.Millisecond
	// suspectFor is how long a VM that failed to make a job gets no other.
	suspectFor = 2 * time.Second
)

// Links reaches the other VMs.
type Links interface {
	// Link returns a client of a VM, nil if the VM is not known.
	Link(ctx context.Context, vm string) link.LinkClient
	// Makers returns the VMs that are alive and may make jobs, in the same order everywhere.
	Makers() []string
}

// Broker gives each service's jobs to one VM, so that pieces of the requests of all VMs share calls. Where that VM
// fails, the job is made here.
type Broker struct {
	VM    string
	Links Links
	Maker *Maker
	Clock timer.Clock
	Log   event.Logger

	mu       sync.Mutex
	suspects map[string]time.Time
	frees    map[string][]string
	freed    chan struct{}
	// owned is when this VM last owned each service; it belongs to Serve.
	owned map[string]time.Time
	group sync.WaitGroup
}

// NewBroker returns a broker of a VM.
func NewBroker(vm string, links Links, maker *Maker, clock timer.Clock, log event.Logger) *Broker {
	return &Broker{VM: vm, Links: links, Maker: maker, Clock: clock, Log: log, freed: make(chan struct{}, 1), owned: make(map[string]time.Time)}
}

// mostOwners is how many VMs are asked for a job before it is made here.
const mostOwners = 6

// Run has a job made by the VM of its service, or here.
func (b *Broker) Run(ctx context.Context, j *Job) ([]string, error) {
	for range mostOwners {
		owner := b.owner(j.Service)
		handles, err := b.runAt(ctx, owner, j)
		if err == nil || (fault.Is(err) && !errors.Is(err, ErrMoved)) || ctx.Err() != nil {
			return handles, err
		}
		if moved(err) {
			// The views of the VMs differ until their next exchange.
			if timer.Wait(ctx, movePause) != nil {
				return nil, context.Cause(ctx)
			}
		} else {
			b.suspect(owner)
		}
		b.Log.Log(event.MakerFailed, "request_id", j.RequestID, "service", j.Service, "peer", owner, "error", err.Error())
	}
	here := *j
	here.Here = true
	return b.Maker.Run(ctx, &here)
}

// moved reports whether a VM answered that it no longer makes the service's pieces.
func moved(err error) bool {
	return errors.Is(err, ErrMoved) || status.Code(err) == codes.FailedPrecondition
}

func (b *Broker) runAt(ctx context.Context, owner string, j *Job) ([]string, error) {
	if owner == b.VM {
		return b.Maker.Run(ctx, j)
	}
	return b.ask(ctx, owner, j)
}

// owner returns the VM that makes a service's jobs by rendezvous hashing over the VMs that are alive.
func (b *Broker) owner(service string) string {
	best, bestScore := b.VM, uint64(0)
	key := rendezvous.Key(service)
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, vm := range b.Links.Makers() {
		if now.Before(b.suspects[vm]) {
			continue
		}
		if score := rendezvous.Weight(key, vm); score > bestScore {
			best, bestScore = vm, score
		}
	}
	return best
}

func (b *Broker) suspect(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects == nil {
		b.suspects = make(map[string]time.Time)
	}
	b.suspects[vm] = b.Clock.Now().Add(suspectFor)
}

// ask has another VM make a job, as long as that VM is alive.
func (b *Broker) ask(ctx context.Context, owner string, j *Job) ([]string, error) {
	client := b.Links.Link(ctx, owner)
	if client == nil {
		return nil, errGone
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.group.Go(func() { b.watch(ctx, cancel, owner) })
	now := b.Clock.Now()
	reply, err := client.RunPieces(ctx, &link.RunPiecesRequest{
		Service: j.Service, RequestId: j.RequestID, Stage: int32(j.Stage), Pieces: int32(j.Pieces), Key: j.Key, Inputs: j.Inputs,
		RemainingMs: j.Deadline.Sub(now).Milliseconds(), DueMs: j.Due.Sub(now).Milliseconds(), Priority: int32(j.Priority),
		DataCentre: j.DataCentre, ResultBytes: j.ResultBytes, Holding: j.Holding,
	})
	switch {
	case err != nil:
		return nil, err
	case reply.InputsGone:
		return nil, ErrInputsGone
	case reply.Refused != "":
		return nil, fault.New(fault.StageFailed, "%s", reply.Refused)
	}
	return reply.Handles, nil
}

var errGone = errors.New("the VM that makes the service's pieces is not alive")

func (b *Broker) watch(ctx context.Context, cancel context.CancelCauseFunc, owner string) {
	ticks := timer.Subscribe(ctx, watchPause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if !slices.Contains(b.Links.Makers(), owner) {
				cancel(errGone)
				return
			}
		}
	}
}

// Free gives results back by way of the VM that made them.
func (b *Broker) Free(service string, handles []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frees == nil {
		b.frees = make(map[string][]string)
	}
	b.frees[service] = append(b.frees[service], handles...)
	wake(b.freed)
}

// Serve sends what is given back, a little later so that results of several requests share a call, and has jobs moved
// that another VM makes now, until ctx ends.
func (b *Broker) Serve(ctx context.Context) {
	moves := timer.Subscribe(ctx, movePause)
	for {
		select {
		case <-ctx.Done():
			b.group.Wait()
			return
		case <-moves:
			b.moveAll()
		case <-b.freed:
			if timer.Wait(ctx, freePause) == nil {
				b.flush(ctx)
			}
		}
	}
}

// moveAll has the jobs moved of services that another VM has owned for some time.
func (b *Broker) moveAll() {
	now := b.Clock.Now()
	for _, service := range b.Maker.Known() {
		if b.owner(service) == b.VM {
			b.owned[service] = now
		} else if now.Sub(b.owned[service]) > moveAfter {
			b.Maker.Move(service)
		}
	}
}

// wake fills a channel of one place.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (b *Broker) flush(ctx context.Context) {
	b.mu.Lock()
	frees := b.frees
	b.frees = nil
	b.mu.Unlock()
	for service, handles := range frees {
		owner := b.owner(service)
		client := b.Links.Link(ctx, owner)
		if owner == b.VM || client == nil {
			b.Maker.Free(service, handles)
			continue
		}
		b.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callSlack)
			defer cancel()
			if _, err := client.FreePieces(ctx, &link.FreePiecesRequest{Service: service, Handles: handles}); err != nil {
				b.Maker.Free(service, handles)
			}
		})
	}
}

// RunPieces makes a job for another VM.
func (b *Broker) RunPieces(ctx context.Context, r *link.RunPiecesRequest) (*link.RunPiecesReply, error) {
	now := b.Clock.Now()
	handles, err := b.Maker.Run(ctx, &Job{
		Service: r.Service, RequestID: r.RequestId, Stage: int(r.Stage), Pieces: int(r.Pieces), Key: r.Key, Inputs: r.Inputs,
		Due: now.Add(time.Duration(r.DueMs) * time.Millisecond), Deadline: now.Add(time.Duration(r.RemainingMs) * time.Millisecond),
		Priority: int(r.Priority), DataCentre: r.DataCentre, ResultBytes: r.ResultBytes, Holding: r.Holding,
	})
	switch {
	case errors.Is(err, ErrMoved):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, ErrInputsGone):
		return &link.RunPiecesReply{InputsGone: true}, nil
	case err != nil:
		return &link.RunPiecesReply{Refused: err.Error()}, nil
	}
	return &link.RunPiecesReply{Handles: handles}, nil
}

// FreePieces gives results back for another VM.
func (b *Broker) FreePieces(_ context.Context, r *link.FreePiecesRequest) (*link.FreePiecesReply, error) {
	b.Maker.Free(r.Service, r.Handles)
	return &link.FreePiecesReply{}, nil
}
