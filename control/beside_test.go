package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"godwitplank/link"
	"godwitplank/timer"
	"godwitplank/vm"
	"godwitplank/workspace"
)

// runBeside runs the control loop of a VM until the end of the test, beside another VM that serves its calls. prepare gets the other
// VM's address.
func runBeside(t *testing.T, c *Control, other link.LinkServer, prepare func(addr netip.AddrPort)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, other)
	prepare(netip.MustParseAddrPort(listener.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		server.Stop()
		group.Wait()
	})
}

// shareServer passes on the requests for shares.
type shareServer struct {
	link.UnimplementedLinkServer
	requests chan *link.ShareRequest
}

func (s *shareServer) Share(ctx context.Context, r *link.ShareRequest) (*link.ShareReply, error) {
	select {
	case s.requests <- r:
	case <-ctx.Done():
	}
	return &link.ShareReply{Taken: true}, nil
}

// A VM that has no document yet asks for its shares, of which it holds none: a new leader grants the others nothing more until it has
// heard all VMs.
func TestVMWithoutDocumentRequestsShares(t *testing.T) {
	is := is.New(t)
	s := &shareServer{requests: make(chan *link.ShareRequest)}
	c := newControl(t, "vm-a", 1)
	c.Limiter = &workspace.Limiter{Started: time.Now()}
	c.knownGroup = &link.Group{LeaderVm: "vm-b"}
	runBeside(t, c, s, func(addr netip.AddrPort) {
		c.vms.Merge(timer.System.Now(), vm.Entry{Name: "vm-b", LinkAddr: addr, LastSeen: timer.System.Now()})
		c.peers[addr] = &peer{addr: addr, name: "vm-b", joined: true, callsOnly: true}
		t.Cleanup(c.peers[addr].close)
	})
	select {
	case r := <-s.requests:
		is.Equal(r.Vm, "vm-a")
		is.Equal(len(r.Demands), 0)
	case <-time.After(10 * workspace.RequestInterval):
		t.Fatal("no request for shares")
	}
}

// namelessServer answers exchanges without a sender.
type namelessServer struct {
	link.UnimplementedLinkServer
	requests chan struct{}
}

func (s *namelessServer) Exchange(ctx context.Context, _ *link.ExchangeRequest) (*link.ExchangeReply, error) {
	select {
	case s.requests <- struct{}{}:
	case <-ctx.Done():
	}
	return &link.ExchangeReply{}, nil
}

// A reply without a sender is a failed call: it ended the VM that asked.
func TestReplyWithoutSender(t *testing.T) {
	is := is.New(t)
	s := &namelessServer{requests: make(chan struct{})}
	c := newControl(t, "vm-a", 1)
	runBeside(t, c, s, func(addr netip.AddrPort) { c.Join = []netip.AddrPort{addr} })
	for range 3 {
		select {
		case <-s.requests:
		case <-time.After(5 * time.Second):
			t.Fatal("the VM asks no longer")
		}
	}
	is.NoErr(c.do(t.Context(), func() {}))
}
