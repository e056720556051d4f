package piece

import (
	"context"
	"net/http"
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
func (d *Dispatcher) trackResult(state *endpointState, handle string, bytes int64, expiresAt time.Time) {
	d.untrackResult(handle) // an endpoint may use a handle again after a restart, or for the same piece
	state.heldBytes += bytes
	d.held[handle] = &heldResult{endpoint: state, bytes: bytes, expiresAt: expiresAt}
}

// untrackResult no longer counts a result as memory of its endpoint.
func (d *Dispatcher) untrackResult(handle string) {
	if r := d.held[handle]; r != nil {
		r.endpoint.release(d.Clock.Now(), r.bytes)
		delete(d.held, handle)
	}
}

// expire drops results whose retention time is over, what is remembered of old answers, and the state of endpoints idle for longer
// than idleEndpointTTL.
func (d *Dispatcher) expire(now time.Time) {
	d.answers.rotate(now)
	for handle, r := range d.held {
		if now.After(r.expiresAt) {
			d.untrackResult(handle)
		}
	}
	for k, e := range d.endpoints {
		if e.inFlight == 0 && e.heldBytes == 0 && now.Sub(e.lastCall) > idleEndpointTTL {
			delete(d.endpoints, k)
		}
	}
}

// Free queues results to be freed at their endpoints.
func (d *Dispatcher) Free(_ string, handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handles {
		d.queueFree(h)
	}
}

// queueFree queues a result to be freed at its endpoint. The caller holds d.mu.
func (d *Dispatcher) queueFree(handle string) {
	if handle == "" {
		return
	}
	addr, err := d.Protocol.HolderAddr(handle)
	if err != nil {
		d.Log.Log(event.ResultNotReleased, "handle", handle, "error", err.Error())
		return
	}
	d.pendingFrees[addr] = append(d.pendingFrees[addr], handle)
	notify(d.flushSignal)
}

// flushFrees sends the queued frees, one call per endpoint. A result that cannot be freed expires at its endpoint, as do
// those at an endpoint that accepts no calls or states a limit.
func (d *Dispatcher) flushFrees(ctx context.Context) {
	d.mu.Lock()
	frees := d.pendingFrees
	if len(frees) == 0 {
		d.mu.Unlock()
		return
	}
	d.pendingFrees = make(map[netip.AddrPort][]string)
	var services []string
	for name := range d.queues {
		services = append(services, name)
	}
	d.mu.Unlock()
	for _, name := range services {
		s := d.Services.Service(name)
		for _, c := range d.Services.Holders(name) {
			if c.Stats.Quota.Limit() > 0 {
				continue // its permits are left to calls that run pieces
			}
			if handles := frees[c.Addr]; handles != nil && s != nil && c.Stats.Accepts(d.Clock.Now(), 0) && c.TakePermit(d.Clock.Now()) {
				d.group.Go(func() { d.sendFrees(ctx, s, &c, handles) })
			}
		}
	}
}

func (d *Dispatcher) sendFrees(ctx context.Context, s *document.Service, c *route.Candidate, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	err := d.roundTrip(ctx, s, c, d.Protocol.FreeCall(c.ID, c.Addr.String(), handles), baseResponseBytes, func(r *http.Response, body []byte) (reusable bool, err error) {
		// The copy of an answer with results may come where the response is expected.
		answer, err := d.Protocol.DecodeRunResponse(r.StatusCode, r.Header, body)
		return r.StatusCode == http.StatusOK && (err != nil || len(answer.Results) == 0), nil
	})
	if err != nil {
		d.handleMalformed(s, c, "", Response{}, err)
		d.Log.Log(event.ResultNotReleased, "handle", handles[0], "error", err.Error())
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handles {
		d.untrackResult(h)
	}
	d.dispatch(s.Name, d.queues[s.Name])
}
