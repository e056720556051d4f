package control

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"godwitplank/link"
	"godwitplank/timer"
	"godwitplank/vm"
)

// A control loop that ends by a fatal error ends Run, so that the process exits and is restarted. The goroutines of its
// peers once kept Run waiting: the VM stayed up without control, and was not replaced.
func TestFatalErrorEndsRun(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	c.Join = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	ended := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { ended <- c.Run(context.Background()) })
	failure := errors.New("the disk failed")
	is.NoErr(c.do(context.Background(), func() { c.fatalErr = failure }))
	select {
	case err := <-ended:
		is.True(errors.Is(err, failure))
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return")
	}
	group.Wait()
}

// formGroupServer ends the connection of the first call while the call is in progress.
type formGroupServer struct {
	link.UnimplementedLinkServer

	calls atomic.Int64
	first func()
}

func (s *formGroupServer) FormGroup(ctx context.Context, _ *link.FormGroupRequest) (*link.FormGroupReply, error) {
	if s.calls.Add(1) == 1 {
		s.first()
		<-ctx.Done()
	}
	return &link.FormGroupReply{}, nil
}

// A step of a group creation is repeated if another goroutine replaces the connection while the step is in progress.
func TestFormStepSurvivesReplacedConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	c := newControl(t, "vm-a", 1)
	p := &peer{addr: addr, name: "vm-b", callsOnly: true}
	s := &formGroupServer{first: func() {
		for range maxConsecutiveFailures {
			p.recordResult(errors.New("no reply"))
		}
	}}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, s)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer server.Stop()
	defer p.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group.Go(func() { _ = c.Run(ctx) })
	is.NoErr(c.do(ctx, func() {
		c.vms.Merge(timer.System.Now(), vm.Entry{Name: "vm-b", LinkAddr: addr, LastSeen: timer.System.Now()})
		c.peers[addr] = p
	}))
	_, err = c.sendFormStep(ctx, "vm-b", &link.FormGroupRequest{})
	is.NoErr(err)
	is.Equal(s.calls.Load(), int64(2))
	cancel()
}

// A peer that is added for the state exchange takes over the connection of a calls-only peer at its address, on which
// calls may be in progress.
func TestAddedPeerKeepsConnection(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	old := &peer{addr: addr, name: "vm-b", callsOnly: true}
	old.client()
	conn := old.conn
	c.peers[addr] = old
	ctx, cancel := context.WithCancel(context.Background())
	defer c.wg.Wait()
	defer close(c.done) // the control loop does not run
	defer cancel()
	c.addPeer(ctx, addr, true)
	is.Equal(c.peers[addr].conn, conn)
	is.Equal(old.conn, nil)
}
