package piece

import (
	"time"

	"godwitplank/connection"
	"godwitplank/route"
)

// Terms are what the dispatch of a stage depends on, as its VM sees it now.
type Terms struct {
	// DispatcherVM is the VM that dispatches the service's pieces. What follows is known only there.
	DispatcherVM string `json:"dispatcher_vm"`
	// Known is true if this VM dispatches the service.
	Known bool `json:"known"`
	// QueuedPieces is the number of pieces that wait already.
	QueuedPieces int             `json:"queued_pieces"`
	Endpoints    []EndpointTerms `json:"endpoints"`
}

// EndpointTerms are the terms of one endpoint of a stage's service.
type EndpointTerms struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	// Available is true if the endpoint takes a call now. Rank is its place in the order of the available ones, from 1.
	Available bool `json:"available"`
	Rank      int  `json:"rank,omitempty"`
	// Excluded says why the endpoint takes no call now.
	Excluded string `json:"excluded,omitempty"`
	InFlight int    `json:"in_flight"`
	// Slowdown is the time of its calls relative to the configured one.
	Slowdown  float64 `json:"slowdown"`
	HeldBytes int64   `json:"held_bytes"`
	Confirmed bool    `json:"confirmed"`
}

// Explain returns the terms of a service's dispatch. It changes nothing.
func (b *Broker) Explain(service string) Terms {
	t := Terms{DispatcherVM: b.owner(service)}
	t.Known = t.DispatcherVM == b.VM
	t.QueuedPieces, t.Endpoints = b.Dispatcher.explain(service)
	return t
}

func (d *Dispatcher) explain(service string) (int, []EndpointTerms) {
	s := d.Services.Service(service)
	if s == nil || s.Batch == nil {
		return 0, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	candidates := d.Services.Endpoints(service)
	defer d.forgetNew(candidates)()
	available, _ := d.availableEndpoints(now, s)
	rank := make(map[connection.Key]int, len(available))
	for i, c := range available {
		rank[endpointKey(c)] = i + 1
	}
	queued := 0
	if q := d.queues[service]; q != nil {
		queued = q.units
	}
	out := make([]EndpointTerms, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		state := d.endpoint(endpointKey(c))
		out[i] = EndpointTerms{
			Endpoint: c.ID, DataCentre: c.DataCentre, Rank: rank[endpointKey(c)], InFlight: state.inFlight,
			Slowdown: state.slowdown, HeldBytes: state.heldBytes, Confirmed: c.Confirmed,
		}
		if out[i].Available = out[i].Rank > 0; !out[i].Available {
			out[i].Excluded = d.exclusion(now, c, state)
		}
	}
	return queued, out
}

// forgetNew returns a function that removes the states of endpoints that have none now.
func (d *Dispatcher) forgetNew(candidates []route.Candidate) func() {
	var unknown []connection.Key
	for i := range candidates {
		if k := endpointKey(&candidates[i]); d.endpoints[k] == nil {
			unknown = append(unknown, k)
		}
	}
	return func() {
		for _, k := range unknown {
			delete(d.endpoints, k)
		}
	}
}

// exclusion returns why an endpoint is not available.
func (d *Dispatcher) exclusion(now time.Time, c *route.Candidate, state *endpointState) string {
	switch {
	case now.Before(state.backoffUntil):
		return "it gets no call for " + state.backoffUntil.Sub(now).Round(time.Millisecond).String() + " after a failed or refused one"
	case !now.Before(c.ExpiresAt):
		return "its lease ended or its planned stop is near"
	case !c.Stats.Accepts(now, int64(state.inFlight)):
		return "it leaves or asked for no calls"
	case d.Reach.Unreachable(now, c.DataCentre):
		return "its data centre is unreachable"
	}
	return "its call slots are in use"
}
