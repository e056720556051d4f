package placement

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/route"
	"godwitplank/timer"
)

// vms are the brokers of VMs that reach each other directly. A VM that is down does not respond.
type vms struct {
	brokers map[string]*Broker
	down    map[string]bool
	calls   int
}

type client struct {
	link.LinkClient
	vms  *vms
	name string
}

var errDown = errors.New("the VM does not respond")

func (c client) PlacePrompt(ctx context.Context, r *link.PlacePromptRequest, _ ...grpc.CallOption) (*link.PlacePromptReply, error) {
	c.vms.calls++
	if _, err := proto.Marshal(r); err != nil {
		return nil, err
	}
	if c.vms.down[c.name] {
		return nil, errDown
	}
	return c.vms.brokers[c.name].PlacePrompt(ctx, r)
}

func (c client) ReportPrompts(ctx context.Context, r *link.ReportPromptsRequest, _ ...grpc.CallOption) (*link.ReportPromptsReply, error) {
	if c.vms.down[c.name] {
		return nil, errDown
	}
	return c.vms.brokers[c.name].ReportPrompts(ctx, r)
}

func (v *vms) LinkClient(_ context.Context, vm string) link.LinkClient {
	return client{vms: v, name: vm}
}

func (v *vms) DispatcherVMs() []string { return []string{"vm-a", "vm-b", "vm-c"} }

type services struct {
	candidates []route.Candidate
	document   *document.Document
}

func (s services) Endpoints(string) []route.Candidate { return s.candidates }
func (s services) Document() *document.Document       { return s.document }

func startVMs(objective time.Duration) *vms {
	d := &document.Document{
		Version:  1,
		Services: []document.Service{{Name: "llm", Engine: &document.Engine{Slots: 8, CacheTokens: 100_000}}, {Name: "plain"}},
		Routes: []document.Route{
			{Name: "tight", Host: "a.example", PathPrefix: "/", Kind: document.Stream, TimeoutMS: 5000, MaxAttempts: 1, TargetLatencyMS: 700, Services: []document.WeightedService{{Service: "llm", Weight: 1}}},
			{Name: "plain", Host: "b.example", PathPrefix: "/", Kind: document.Repeatable, TimeoutMS: 5000, MaxAttempts: 1, TargetLatencyMS: 100, Services: []document.WeightedService{{Service: "plain", Weight: 1}}},
		},
	}
	if err := d.Check(); err != nil {
		panic(err)
	}
	v := &vms{brokers: make(map[string]*Broker), down: make(map[string]bool)}
	for _, name := range v.DispatcherVMs() {
		candidates := engines(4)
		for i := range candidates {
			candidates[i].ExpiresAt = timer.System.Now().Add(time.Hour)
		}
		v.brokers[name] = NewBroker(name, &document.TightServices{Limit: objective}, v, services{candidates, d}, &route.Reachability{}, timer.System, nil, event.Logger{})
	}
	return v
}

func request(session string) *Request {
	return &Request{Service: "llm", Parts: prompt(session, 2000, 500).Parts, DataCentre: "dc-a"}
}

// Only services of engines with a route that has a tight objective are placed by one VM; other deployments are served as before.
func TestServicesThatCallForPlacement(t *testing.T) {
	is := is.New(t)
	v := startVMs(time.Second)
	is.True(v.brokers["vm-a"].Places("llm"))
	is.True(!v.brokers["vm-a"].Places("plain"))
	is.True(!startVMs(500 * time.Millisecond).brokers["vm-a"].Places("llm"))
	is.True(!startVMs(0).brokers["vm-a"].Places("llm"))
	is.True(!(*Broker)(nil).Places("llm"))
}

// All VMs ask the same owner, so that the prompts of a session meet the engine that has its parts.
func TestOneOwner(t *testing.T) {
	is := is.New(t)
	v := startVMs(time.Second)
	first := v.brokers["vm-a"].Place(t.Context(), request("s"))
	first.First()
	first.End(false)
	v.brokers["vm-a"].flush(t.Context())
	v.brokers["vm-a"].group.Wait()
	second := v.brokers["vm-b"].Place(t.Context(), request("s"))
	is.Equal(second.EndpointID, first.EndpointID)
	is.Equal(second.Uncached, 500)
}

// If the owner does not respond, the prompt is not held up: its VM selects by itself, and the next VM becomes the owner.
func TestOwnerFails(t *testing.T) {
	is := is.New(t)
	v := startVMs(time.Second)
	b := v.brokers["vm-a"]
	var asking *Broker
	for _, candidate := range v.brokers {
		if candidate.VM != b.Owner("llm") {
			asking = candidate
		}
	}
	owner := asking.Owner("llm")
	v.down[owner] = true
	is.Equal(asking.Place(t.Context(), request("s")), nil)
	is.Equal(v.calls, 1)
	next := asking.Place(t.Context(), request("s"))
	is.True(next != nil)
	is.True(next.target.vm != owner)
	next.First()
	next.End(true)
	asking.flush(t.Context())
	asking.group.Wait()
}

// A model that is not UTF-8 cannot be sent to the owner. Such prompts made the VM take one owner after the other for failed.
func TestModelThatIsNotUTF8(t *testing.T) {
	is := is.New(t)
	v := startVMs(time.Second)
	for name, b := range v.brokers {
		owner := b.Owner("llm")
		r := request("s")
		r.Model = "m\xff"
		is.Equal(b.Place(t.Context(), r), nil)
		is.Equal(b.Owner("llm"), owner)
		is.True(v.brokers[name].Place(t.Context(), request("s")) != nil)
	}
}
