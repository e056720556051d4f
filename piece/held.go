package piece

import (
	"context"
	"net/netip"
	"time"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/route"
)

// result is a result that an endpoint keeps.
type result struct {
	holder  *caller
	bytes   int64
	expires time.Time
}

// hold counts a result until it is given back or expires.
func (m *Maker) hold(known *caller, handle string, bytes int64, expires time.Time) {
	known.used += bytes
	m.held[handle] = &result{holder: known, bytes: bytes, expires: expires}
}

// release takes a result off the count of its endpoint.
func (m *Maker) release(handle string) {
	if r := m.held[handle]; r != nil {
		r.holder.used -= r.bytes
		delete(m.held, handle)
	}
}

// expire forgets results that their endpoints no longer keep, and endpoints that were not called for long.
func (m *Maker) expire(now time.Time) {
	for handle, r := range m.held {
		if now.After(r.expires) {
			m.release(handle)
		}
	}
	for k, c := range m.calls {
		if c.busy == 0 && c.used == 0 && now.Sub(c.called) > forgetAfter {
			delete(m.calls, k)
		}
	}
}

// Free gives results back soon.
func (m *Maker) Free(_ string, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.freeOne(h)
	}
}

func (m *Maker) freeOne(handle string) {
	if handle == "" {
		return
	}
	addr, err := m.Protocol.Holder(handle)
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handle, "error", err.Error())
		return
	}
	m.frees[addr] = append(m.frees[addr], handle)
	wake(m.freed)
}

// flushFrees sends what is to be given back, one call an endpoint. A result that cannot be given back expires by itself.
func (m *Maker) flushFrees(ctx context.Context) {
	m.mu.Lock()
	frees := m.frees
	if len(frees) == 0 {
		m.mu.Unlock()
		return
	}
	m.frees = make(map[netip.AddrPort][]string)
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
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	_, _, err := m.roundTrip(ctx, s, c, m.Protocol.FreeCall(c.ID, c.Addr.String(), handles))
	if err != nil {
		m.Log.Log(event.ResultNotFreed, "handle", handles[0], "error", err.Error())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.release(h)
	}
	m.dispatch(s.Name, m.queues[s.Name])
}
