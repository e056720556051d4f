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
)

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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &namelessServer{requests: make(chan struct{})}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, s)
	c := newControl(t, "vm-a", 1)
	c.Join = []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer server.Stop()
	defer cancel()
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = c.Run(ctx) })
	for range 3 {
		select {
		case <-s.requests:
		case <-time.After(5 * time.Second):
			t.Fatal("the VM asks no longer")
		}
	}
	is.NoErr(c.do(ctx, func() {}))
}
