package piece

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"godwitplank"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/timer"
)

// ownerLinks connects to one other VM, which owns all services.
type ownerLinks struct {
	client link.LinkClient
}

func (l ownerLinks) LinkClient(context.Context, string) link.LinkClient { return l.client }
func (ownerLinks) DispatcherVMs() []string                              { return []string{"vm-other"} }
func (ownerLinks) SettleTime() time.Duration                            { return 0 }

// fixedOwner answers each job with the same results.
type fixedOwner struct {
	link.LinkClient
	handles []string
	calls   int
}

func (o *fixedOwner) RunPieces(_ context.Context, r *link.RunPiecesRequest, _ ...grpc.CallOption) (*link.RunPiecesReply, error) {
	o.calls++
	if _, err := proto.Marshal(r); err != nil {
		return nil, err
	}
	return &link.RunPiecesReply{Handles: o.handles}, nil
}

// Results from another VM, perhaps of an earlier build, go into a list in the head of a call, one for each piece. Wrong ones are not
// used: the job is dispatched elsewhere.
func TestResultsOfAnotherVM(t *testing.T) {
	for name, c := range map[string]struct {
		handles []string
		used    bool
	}{
		"as they should be": {[]string{"10.0.0.1:1/a b", "10.0.0.1:1/ü"}, true},
		"a line break":      {[]string{"10.0.0.1:1/a", "10.0.0.1:1/b\r\nX-Other: c"}, false},
		"a comma":           {[]string{"10.0.0.1:1/a", "10.0.0.1:1/b,c"}, false},
		"an empty one":      {[]string{"10.0.0.1:1/a", ""}, false},
		"too few":           {[]string{"10.0.0.1:1/a"}, false},
		"too many":          {[]string{"10.0.0.1:1/a", "10.0.0.1:1/b", "10.0.0.1:1/c"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner := &fixedOwner{handles: c.handles}
			b := NewBroker("vm", ownerLinks{owner}, startDispatcher(t, 20, newEndpoint(t, "e-1")), timer.System, event.Logger{})
			handles, err := b.Run(t.Context(), newJob("r", 2))
			is.NoErr(err)
			is.Equal(owner.calls, 1)
			is.Equal(len(handles), 2)
			is.Equal(handles[0] == c.handles[0], c.used)
			if !c.used {
				is.True(strings.Contains(handles[1], "/r-1-"))
			}
		})
	}
}

// A job whose texts are not UTF-8 cannot be sent to the owner, nor to an endpoint as JSON. It made the VM take one owner after the
// other for failed, and the endpoint got another id. The job is refused at once, and the next one goes to the same owner.
func TestJobThatIsNotUTF8(t *testing.T) {
	for name, change := range map[string]func(*Job){
		"request id": func(j *Job) { j.RequestID = "r\xff" },
		"key":        func(j *Job) { j.Key = "\xe9" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner := &fixedOwner{handles: []string{"10.0.0.1:1/a"}}
			b := NewBroker("vm", ownerLinks{owner}, startDispatcher(t, 20, newEndpoint(t, "e-1")), timer.System, event.Logger{})
			j := newJob("r", 1)
			change(j)
			_, err := b.Run(t.Context(), j)
			is.True(fault.Is(err))
			is.Equal(fault.As(err).Kind, fault.BadRequest)
			is.Equal(owner.calls, 0)
			_, err = b.Dispatcher.Run(t.Context(), j) // a job that another VM sent
			is.True(fault.Is(err))
			j = newJob("r-ü", 1)
			j.Key = "k-€"
			handles, err := b.Run(t.Context(), j)
			is.NoErr(err)
			is.Equal(handles, owner.handles)
		})
	}
}

// ownerVMs connects to several VMs.
type ownerVMs struct {
	clients map[string]link.LinkClient
}

func (l ownerVMs) LinkClient(_ context.Context, vm string) link.LinkClient { return l.clients[vm] }
func (l ownerVMs) DispatcherVMs() []string                                 { return slices.Sorted(maps.Keys(l.clients)) }
func (ownerVMs) SettleTime() time.Duration                                 { return 0 }

// failingOwner breaks the connection of each job: it ends, or only its connection was reset, or it cannot be reached.
type failingOwner struct {
	link.LinkClient
	received, ends bool
	jobs           *int
}

func (o *failingOwner) RunPieces(_ context.Context, _ *link.RunPiecesRequest, options ...grpc.CallOption) (*link.RunPiecesReply, error) {
	*o.jobs++
	for _, option := range options {
		if p, ok := option.(grpc.PeerCallOption); ok && o.received {
			p.PeerAddr.Addr = &net.TCPAddr{}
		}
	}
	return nil, status.Error(codes.Unavailable, "connection reset by peer")
}

func (o *failingOwner) FreePieces(context.Context, *link.FreePiecesRequest, ...grpc.CallOption) (*link.FreePiecesReply, error) {
	if o.ends {
		return nil, status.Error(codes.Unavailable, "connection refused")
	}
	return &link.FreePiecesReply{}, nil
}

// A job with which the VMs end that dispatch it is given to one more only: it may be what ends them. It is served if the VMs cannot be
// reached, so that they never got it, and if only their connections were reset.
func TestJobThatEndsItsOwner(t *testing.T) {
	for name, c := range map[string]struct {
		received, ends bool
		jobs           int
		served         bool
	}{
		"the owners end":              {received: true, ends: true, jobs: 2},
		"the owners can't be reached": {ends: true, jobs: 4, served: true},
		"the connections are reset":   {received: true, jobs: 4, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			jobs := 0
			links := ownerVMs{clients: make(map[string]link.LinkClient)}
			for i := range 4 {
				links.clients[fmt.Sprint("vm-", i)] = &failingOwner{received: c.received, ends: c.ends, jobs: &jobs}
			}
			b := NewBroker("vm", links, startDispatcher(t, 20, newEndpoint(t, "e-1")), timer.System, event.Logger{})
			handles, err := b.Run(t.Context(), newJob("r", 2))
			is.Equal(jobs, c.jobs)
			is.Equal(err == nil, c.served)
			if c.served {
				is.Equal(len(handles), 2)
				return
			}
			is.Equal(fault.As(err).Kind, fault.StageFailed)
			is.Equal(fault.As(err).Outcome, godwitplank.NotRun)
		})
	}
}
