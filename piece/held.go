package piece

import (
	"context"
	"net/netip"
	"time"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/route"
)

// heldResult is a result in the memory of an endpoint.
type heldResult struct {
	endpoint  *endpointState
	bytes     int64
	expiresAt time.Time
}

// trackResult counts a result as memory of its endpoint until it is freed or expires.
func (m *Maker) trackResult(state *endpointState, handle string, bytes int64, expiresAt time.Time) {
	state.heldBytes += bytes
	m.held[handle] = &heldResult{endpoint: state, bytes: bytes, expiresAt: expiresAt}
}

// untrackResult no longer counts a result as memory of its endpoint.
func (m *Maker) untrackResult(handle string) {
	if r := m.held[handle]; r != nil {
		r.endpoint.heldBytes -= r.bytes
		delete(m.held, handle)
	}
}

// expire drops results whose retention time is over, and the state of endpoints idle for longer than idleEndpointTTL.
func (m *Maker) expire(now time.Time) {
	for handle, r := range m.held {
		if now.After(r.expiresAt) {
			m.untrackResult(handle)
		}
	}
	for k, e := range m.endpoints {
		if e.inFlight == 0 && e.heldBytes == 0 && now.Sub(e.lastCall) > idleEndpointTTL {
			delete(m.endpoints, k)
		}
	}
}

// Free queues results to be freed at their endpoints.
func (m *Maker) Free(_ string, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.queueFree(h)
	}
}

// queueFree queues a result to be freed at its endpoint. The caller holds m.mu.
func (m *Maker) queueFree(handle string) {
	if handle == "" {
		return
	}
	addr, err := m.Protocol.Holder(handle)
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handle, "error", err.Error())
		return
	}
	m.pendingFrees[addr] = append(m.pendingFrees[addr], handle)
	notify(m.flushSignal)
}

// flushFrees sends the queued frees, one call per endpoint. A result that cannot be freed expires at its endpoint.
func (m *Maker) flushFrees(ctx context.Context) {
	m.mu.Lock()
	frees := m.pendingFrees
	if len(frees) == 0 {
		m.mu.Unlock()
		return
	}
	m.pendingFrees = make(map[netip.AddrPort][]string)
	var services []string
	for name := range m.queues {
		services = append(services, name)
	}
	m.mu.Unlock()
	for _, name := range services {
		s := m.Services.Service(name)
		for _, c := range m.Services.Endpoints(name) {
			if handles := frees[c.Addr]; handles != nil && s != nil {
				m.group.Go(func() { m.sendFrees(ctx, s, &c, handles) })
			}
		}
	}
}

func (m *Maker) sendFrees(ctx context.Context, s *document.Service, c *route.Candidate, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	_, _, err := m.roundTrip(ctx, s, c, m.Protocol.FreeCall(c.ID, c.Addr.String(), handles))
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handles[0], "error", err.Error())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.untrackResult(h)
	}
	m.dispatch(s.Name, m.queues[s.Name])
}
