package control

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/telemetry"
)

// deliverLoop sends replication messages; what waits goes in one call.
func (c *Control) deliverLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outbox:
			batch := append([]*raft.Message{m}, p.waiting()...)
			call, cancel := context.WithTimeout(ctx, deliverTimeout)
			_, err := p.client().Deliver(call, &link.DeliverRequest{Messages: batch})
			cancel()
			if p.count(err) {
				c.Log.Log(event.LinkReset, "peer", p.addr.String())
			}
		}
	}
}

func (p *peer) waiting() []*raft.Message {
	var out []*raft.Message
	for range outboxLength / 4 {
		select {
		case m := <-p.outbox:
			out = append(out, m)
		default:
			return out
		}
	}
	return out
}

// post queues a replication message; a full queue drops it, and the replicas make up for the loss.
func (p *peer) post(m *raft.Message) {
	select {
	case p.outbox <- m:
	default:
	}
}

// client returns a client on the present connection.
func (p *peer) client() link.LinkClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		p.conn = dial(p.addr)
	}
	return link.NewLinkClient(p.conn)
}

func dial(addr netip.AddrPort) *grpc.ClientConn {
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(telemetry.ClientTracing()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeAfter, Timeout: probeTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: redialMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	if err != nil {
		panic("a checked address does not dial: " + err.Error())
	}
	return conn
}

// count notes the end of a call and drops a connection that no longer answers; it reports whether it did.
func (p *peer) count(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.misses = 0
		return false
	}
	p.misses++
	if p.misses < resetAfter || p.conn == nil {
		return false
	}
	_ = p.conn.Close()
	p.conn = nil
	p.misses = 0
	return true
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
