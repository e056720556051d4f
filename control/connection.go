package control

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// reconnectPause is the time before a call is repeated on a new connection.
const reconnectPause = 20 * time.Millisecond

// largeMessageBytes is the size from which a Raft message is sent beside the others: heartbeats behind it would come too late
// and cost the leader its followers.
const largeMessageBytes = 64 << 10

// minBulkRate is the bandwidth between hubs, in bytes per second, that the time limits of large calls allow for.
const minBulkRate = 2 << 20

// sizedTimeout returns the time limit of a call that carries a number of bytes.
func sizedTimeout(limit time.Duration, bytes int) time.Duration {
	return limit + time.Duration(bytes)*time.Second/minBulkRate
}

// deliverLoop sends Raft messages, the queued ones batched into one call.
func (c *Control) deliverLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outbox:
			c.deliver(ctx, p, deliverTimeout, append([]*raft.Message{m}, p.drainOutbox()...))
		}
	}
}

// deliverLargeLoop sends large Raft messages.
func (c *Control) deliverLargeLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.largeOutbox:
			c.deliver(ctx, p, sizedTimeout(deliverTimeout, contentBytes(m)), []*raft.Message{m})
		}
	}
}

func (c *Control) deliver(ctx context.Context, p *peer, timeout time.Duration, messages []*raft.Message) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := p.client().Deliver(callCtx, &link.DeliverRequest{Messages: messages, TakesReplies: true})
	if p.recordResult(err) {
		c.Log.Log(event.ConnectionReset, "peer", p.addr.String())
	}
	if len(reply.GetMessages()) == 0 {
		return
	}
	_ = c.do(ctx, func() {
		for _, m := range reply.Messages {
			c.handleMessage(m)
		}
	})
}

// contentBytes returns the size of the entries and the snapshot of a message.
func contentBytes(m *raft.Message) int {
	total := len(m.Snapshot.GetData())
	for _, e := range m.Entries {
		total += len(e.Data)
	}
	return total
}

// drainOutbox returns up to a quarter of the outbox's capacity of queued messages without waiting.
func (p *peer) drainOutbox() []*raft.Message {
	var out []*raft.Message
	for range outboxCapacity / 4 {
		select {
		case m := <-p.outbox:
			out = append(out, m)
		default:
			return out
		}
	}
	return out
}

// enqueue queues a Raft message. A full outbox drops it; the Raft replicas recover from lost messages.
func (p *peer) enqueue(m *raft.Message) {
	outbox := p.outbox
	if contentBytes(m) >= largeMessageBytes {
		outbox = p.largeOutbox
	}
	select {
	case outbox <- m:
	default:
	}
}

// client returns a gRPC client on the current connection, which it opens if there is none.
func (p *peer) client() link.LinkClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		p.conn = dial(p.addr)
	}
	return link.NewLinkClient(p.conn)
}

// callWithReconnect sends a call that may be repeated. It repeats the call if another goroutine replaced the connection
// while the call was in progress.
func callWithReconnect[T any](ctx context.Context, p *peer, call func(client link.LinkClient) (T, error)) (T, error) {
	for {
		reply, err := call(p.client())
		if status.Code(err) != codes.Canceled || ctx.Err() != nil {
			return reply, err
		}
		if err := timer.Wait(ctx, reconnectPause); err != nil {
			return reply, err
		}
	}
}

func dial(addr netip.AddrPort) *grpc.ClientConn {
	options := append(telemetry.ClientTracing(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), options...)
	if err != nil {
		panic("cannot create a gRPC client for a validated address: " + err.Error())
	}
	return conn
}

// recordResult counts consecutive failed calls and closes the connection at maxConsecutiveFailures, so that the next
// call opens a new one. It reports whether it closed the connection.
func (p *peer) recordResult(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.consecutiveFailures = 0
		return false
	}
	p.consecutiveFailures++
	if p.consecutiveFailures < maxConsecutiveFailures || p.conn == nil {
		return false
	}
	_ = p.conn.Close()
	p.conn = nil
	p.consecutiveFailures = 0
	return true
}

// handOverConn returns the connection and removes it from the peer, since calls on it may be in progress.
func (p *peer) handOverConn() *grpc.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conn
	p.conn = nil
	return conn
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
