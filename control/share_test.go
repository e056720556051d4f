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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	s := &shareServer{requests: make(chan *link.ShareRequest)}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, s)
	c := newControl(t, "vm-a", 1)
	c.Limiter = &workspace.Limiter{Started: time.Now()}
	c.vms.Merge(timer.System.Now(), vm.Entry{Name: "vm-b", LinkAddr: addr, LastSeen: timer.System.Now()})
	c.knownGroup = &link.Group{LeaderVm: "vm-b"}
	p := &peer{addr: addr, name: "vm-b", joined: true, callsOnly: true}
	c.peers[addr] = p
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer p.close()
	defer server.Stop()
	defer cancel()
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = c.Run(ctx) })
	select {
	case r := <-s.requests:
		is.Equal(r.Vm, "vm-a")
		is.Equal(len(r.Demands), 0)
	case <-time.After(10 * workspace.RequestInterval):
		t.Fatal("no request for shares")
	}
}
