package placement

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/rendezvous"
	"godwitplank/route"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// Timing of calls to the VM that places the prompts of a service.
const (
	// placeTimeout is the longest time that a prompt waits for another VM's decision; the VM then selects by itself.
	placeTimeout = 60 * time.Millisecond
	// suspectPeriod is how long a VM that failed to place a prompt is asked for no others.
	suspectPeriod = 2 * time.Second
	// reportInterval is how long reports are collected before they are sent in one call. It is part of reportDelay.
	reportInterval = 25 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// maxReports bounds the reports that wait for a VM, so that one that does not respond takes no memory.
	maxReports = 1000
)

// Links provides the connections to other VMs.
type Links interface {
	// LinkClient returns a client for a VM, or nil if the VM is unknown.
	LinkClient(ctx context.Context, vm string) link.LinkClient
	// DispatcherVMs returns the VMs that are alive and may place prompts, in the same order on every VM.
	DispatcherVMs() []string
}

// Services provides the endpoints and the active document.
type Services interface {
	Endpoints(service string) []route.Candidate
	Document() *document.Document
}

// Broker has the prompts of a service placed by the service's owner, one VM for all. If the owner does not respond, the
// caller of Place selects by itself, and the next VM becomes the owner.
type Broker struct {
	VM string
	// Tight holds the services of routes whose objective calls for it. With a longer objective, a prompt may wait for others
	// that its VM does not know.
	Tight    *document.TightServices
	Links    Links
	Services Services
	Reach    *route.Reachability
	Clock    timer.Clock
	Meter    *telemetry.Meter
	Log      event.Logger

	mu          sync.Mutex
	trackers    map[string]*Tracker                   // by service
	suspects    map[string]time.Time                  // by VM, until when it is asked for no placement
	reports     map[reportTarget][]*link.PromptReport // waiting to be sent, with the time of the event in age_us
	flushSignal chan struct{}
	group       sync.WaitGroup
}

type reportTarget struct {
	vm, service string
}

// NewBroker returns the broker of a VM.
func NewBroker(vm string, tight *document.TightServices, links Links, services Services, reach *route.Reachability, clock timer.Clock, meter *telemetry.Meter, log event.Logger) *Broker {
	return &Broker{
		VM: vm, Tight: tight, Links: links, Services: services, Reach: reach, Clock: clock, Meter: meter, Log: log,
		trackers: make(map[string]*Tracker), suspects: make(map[string]time.Time), reports: make(map[reportTarget][]*link.PromptReport),
		flushSignal: make(chan struct{}, 1),
	}
}

// Request is a prompt to place.
type Request struct {
	ID         string
	Service    string
	Model      string
	Parts      []route.PromptPart
	Tried      []string
	DataCentre string
	InputBytes map[string]int64
}

// Placement is the engine of a prompt. Its methods report the progress of the prompt to the VM that selected the engine. The
// zero value and nil report nothing.
type Placement struct {
	EndpointID  string
	Incarnation uint64
	Uncached    int
	Wait        time.Duration

	broker  *Broker
	target  reportTarget
	ticket  uint64
	started bool
}

// Places reports whether the prompts of a service are placed by one VM.
func (b *Broker) Places(service string) bool {
	if b == nil {
		return false
	}
	d := b.Services.Document()
	if !b.Tight.Contains(d, service) {
		return false
	}
	s := d.Service(service)
	return s != nil && s.Engine != nil
}

// Place has the owner of the service select an engine. It returns nil if the caller has to select by itself: the owner did
// not respond in time, or knows no usable engine, or the model is a text that VMs cannot send each other.
func (b *Broker) Place(ctx context.Context, r *Request) *Placement {
	if !utf8.ValidString(r.Model) {
		return nil
	}
	owner := b.Owner(r.Service)
	encoded := &link.PlacePromptRequest{Service: r.Service, Model: r.Model, Tried: r.Tried, DataCentre: r.DataCentre, InputBytes: r.InputBytes}
	for _, p := range r.Parts {
		encoded.Parts = append(encoded.Parts, &link.PromptPart{Id: p.ID, Tokens: int32(p.Tokens)})
	}
	var reply *link.PlacePromptReply
	var err error
	started := b.Clock.Now()
	if owner == b.VM {
		reply, err = b.PlacePrompt(ctx, encoded)
	} else {
		reply, err = b.placeRemote(ctx, owner, encoded)
	}
	b.Meter.RecordAttempt(r.Service, "placement", placementResult(reply, err), b.Clock.Now().Sub(started))
	if err != nil {
		if ctx.Err() == nil {
			b.markSuspect(owner)
			b.Log.Log(event.PlacementFailed, "request_id", r.ID, "service", r.Service, "peer", owner, "error", err.Error())
		}
		return nil
	}
	if reply.EndpointId == "" {
		return nil
	}
	return &Placement{
		EndpointID: reply.EndpointId, Incarnation: reply.Incarnation, Uncached: int(reply.UncachedTokens), Wait: time.Duration(reply.WaitUs) * time.Microsecond,
		broker: b, target: reportTarget{owner, r.Service}, ticket: reply.Ticket,
	}
}

// placementResult returns the result of a placement as a metric label: done, none for no usable engine, or failed.
func placementResult(reply *link.PlacePromptReply, err error) string {
	switch {
	case err != nil:
		return "failed"
	case reply.EndpointId == "":
		return "none"
	}
	return "done"
}

func (b *Broker) placeRemote(ctx context.Context, owner string, r *link.PlacePromptRequest) (*link.PlacePromptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	client := b.Links.LinkClient(ctx, owner)
	if client == nil {
		return nil, status.Error(codes.Unavailable, "the VM that places the service's prompts is not known")
	}
	return client.PlacePrompt(ctx, r)
}

// Owner returns the VM that places a service's prompts, by rendezvous hashing over the VMs that are alive and not suspected.
func (b *Broker) Owner(service string) string {
	best, bestScore := b.VM, uint64(0)
	key := rendezvous.Key("placement/" + service)
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

func (b *Broker) markSuspect(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[vm] = b.Clock.Now().Add(suspectPeriod)
}

// PlacePrompt selects an engine for a prompt of any VM.
func (b *Broker) PlacePrompt(_ context.Context, r *link.PlacePromptRequest) (*link.PlacePromptReply, error) {
	d := b.Services.Document()
	if d == nil {
		return nil, status.Error(codes.FailedPrecondition, "this VM has no document yet")
	}
	s := d.Service(r.Service)
	if s == nil || s.Engine == nil {
		return nil, status.Errorf(codes.FailedPrecondition, "service %q of this VM's document has no engines", r.Service)
	}
	p := Prompt{CacheTokens: s.Engine.CacheTokens}
	for _, part := range r.Parts {
		p.Parts = append(p.Parts, route.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	q := route.Query{Now: b.Clock.Now(), DataCentre: r.DataCentre, Model: r.Model, Tried: r.Tried, InputBytes: r.InputBytes, Reach: b.Reach}
	candidates := b.Services.Endpoints(r.Service)
	b.mu.Lock()
	defer b.mu.Unlock()
	decision := b.tracker(r.Service).Place(q, candidates, p)
	if decision.Candidate < 0 {
		return &link.PlacePromptReply{}, nil
	}
	c := &candidates[decision.Candidate]
	return &link.PlacePromptReply{
		EndpointId: c.ID, Incarnation: c.Incarnation, UncachedTokens: int32(decision.Uncached), WaitUs: decision.Wait.Microseconds(), Ticket: decision.Ticket,
	}, nil
}

func (b *Broker) tracker(service string) *Tracker {
	t := b.trackers[service]
	if t == nil {
		t = &Tracker{}
		b.trackers[service] = t
	}
	return t
}

// ReportPrompts records the progress of prompts that this VM placed.
func (b *Broker) ReportPrompts(_ context.Context, r *link.ReportPromptsRequest) (*link.ReportPromptsReply, error) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.trackers[r.Service]
	if t == nil {
		return &link.ReportPromptsReply{}, nil
	}
	for _, report := range r.Reports {
		if report.Ended {
			t.End(now, report.Ticket, report.Failed)
		} else {
			t.First(report.Ticket, now.Add(-time.Duration(report.AgeUs)*time.Microsecond))
		}
	}
	return &link.ReportPromptsReply{}, nil
}

// ExpectedWait returns the expected time until the engine begins to prefill the prompt, 0 if it was not placed.
func (p *Placement) ExpectedWait() time.Duration {
	if p == nil {
		return 0
	}
	return p.Wait
}

// First reports the first event of the prompt's response. Only the first call has an effect.
func (p *Placement) First() {
	if p == nil || p.started {
		return
	}
	p.started = true
	p.broker.report(p.target, &link.PromptReport{Ticket: p.ticket}, true)
}

// End reports that the prompt has left its engine. Failed is true if the engine is to blame.
func (p *Placement) End(failed bool) {
	if p == nil {
		return
	}
	p.broker.report(p.target, &link.PromptReport{Ticket: p.ticket, Ended: true, Failed: failed}, failed || !p.started)
}

// report records a report here, or queues it for the VM that placed the prompt. An urgent one is sent after reportInterval, others with
// the next urgent one.
func (b *Broker) report(target reportTarget, r *link.PromptReport, urgent bool) {
	if target.vm == b.VM {
		_, _ = b.ReportPrompts(context.Background(), &link.ReportPromptsRequest{Service: target.service, Reports: []*link.PromptReport{r}})
		return
	}
	r.AgeUs = b.Clock.Now().UnixMicro() // replaced by the age when it is sent
	b.mu.Lock()
	if len(b.reports[target]) < maxReports {
		b.reports[target] = append(b.reports[target], r)
	}
	urgent = urgent || len(b.reports[target]) >= maxReports/10
	b.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case b.flushSignal <- struct{}{}:
	default:
	}
}

// Serve sends the queued reports until ctx ends, and returns when its calls have finished.
func (b *Broker) Serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			b.group.Wait()
			return
		case <-b.flushSignal:
			if timer.Wait(ctx, reportInterval) == nil {
				b.flush(ctx)
			}
		}
	}
}

func (b *Broker) flush(ctx context.Context) {
	now := b.Clock.Now().UnixMicro()
	b.mu.Lock()
	reports := b.reports
	b.reports = make(map[reportTarget][]*link.PromptReport)
	b.mu.Unlock()
	for target, list := range reports {
		for _, r := range list {
			r.AgeUs = max(0, now-r.AgeUs)
		}
		client := b.Links.LinkClient(ctx, target.vm)
		if client == nil {
			continue
		}
		b.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			_, _ = client.ReportPrompts(ctx, &link.ReportPromptsRequest{Service: target.service, Reports: list})
		})
	}
}
