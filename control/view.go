package control

import (
	"slices"
	"strings"
	"time"

	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/route"
	"godwitplank/spend"
	"godwitplank/timer"
	"godwitplank/vm"
)

// View is an immutable copy of the control state, for traffic and for operators.
type View struct {
	// Document is nil until the VM holds one.
	Document *document.Document
	// Canonical is the stored form of Document.
	Canonical []byte
	Digest    string
	// InForce is when this VM put the document in force.
	InForce time.Time
	// Pools has the admitted endpoints of each pool.
	Pools     map[string][]route.Candidate
	Endpoints []EndpointStatus
	VMs       []vm.Entry
	Group     *link.Group
	Replica   *raft.Status
	Stopping  bool
	// StopAt is when this VM has to begin its planned stop; zero if none is planned.
	StopAt time.Time
	// Spend is what each workspace used of each stage, over all VMs.
	Spend []spend.Total
	// Ready is true once the VM has a document and has heard the others.
	Ready bool
	At    time.Time
	// Entries names the VMs that take callers' requests and are alive, in order; this VM is among them if it does.
	Entries []string
	// Makers names those of them that make pieces for the others: the ones with the most capacity.
	Makers []string

	alive int // VMs that are alive, this one among them
}

// EndpointStatus is an endpoint as an operator sees it.
type EndpointStatus struct {
	*endpoint.Entry
	Admitted bool
	// InFlight is the number of this VM's calls at it.
	InFlight int64
	// Until is when it gets no new work any more.
	Until time.Time
}

// State returns the word for what the endpoint is in.
func (e EndpointStatus) State(now time.Time) string {
	switch {
	case e.Leaving:
		return "leaving"
	case now.After(e.Expires):
		return "lost"
	case !e.Admitted:
		return "not_admitted"
	case now.After(e.Until):
		return "planned_stop"
	}
	return "working"
}

// stopMargin is added to the longest deadline before an endpoint's planned stop.
const stopMargin = 3 * time.Second

// View returns the newest view.
func (c *Control) View() *View {
	return c.view.Load()
}

func (c *Control) publish() {
	now := c.Clock.Now()
	v := &View{
		Document: c.document, Canonical: c.stored.GetCanonical(), Digest: c.stored.GetDigest(), InForce: c.inForce,
		Pools: make(map[string][]route.Candidate), VMs: c.vms.Entries(), Group: c.groupView(),
		Stopping: c.stopping, At: now, alive: 1 + c.vms.Alive(now),
	}
	v.Entries, v.Makers = c.entryVMs(now)
	v.Spend = c.book.Totals()
	if c.replica != nil {
		status := c.replica.core.Status()
		v.Replica = &status
	}
	v.Ready = c.document != nil && !c.stopping && c.heardOthers(now)
	if begin, ok := c.plannedStop("", c.Name); ok && c.Incarnation < uint64(begin.UnixNano()) {
		v.StopAt = begin
	}
	for _, e := range c.endpoints.Entries() {
		c.publishEndpoint(v, e)
	}
	for pool := range v.Pools {
		slices.SortFunc(v.Pools[pool], func(a, b route.Candidate) int { return strings.Compare(a.ID, b.ID) })
	}
	c.view.Store(v)
	c.dirty = false
}

func (c *Control) publishEndpoint(v *View, e *endpoint.Entry) {
	stat := c.stat(e)
	s := EndpointStatus{Entry: e, Until: e.Expires, InFlight: stat.InFlight()}
	if e.Open {
		s.Until = e.Expires.Add(unconfirmedFor)
	}
	if c.document != nil {
		s.Admitted = c.document.Admits(e.Pool, e.EndpointID, e.TokenSHA256) || (e.Open && c.document.Service(e.Pool) != nil)
		if begin, ok := c.plannedStop(e.EndpointID, ""); ok && e.Incarnation < uint64(begin.UnixMilli()) {
			s.Until = timer.Earlier(s.Until, begin)
		}
	}
	v.Endpoints = append(v.Endpoints, s)
	if !s.Admitted || e.Leaving || !v.At.Before(s.Until) {
		return
	}
	vms := v.alive
	if e.Open {
		vms = len(v.Entries)
	}
	v.Pools[e.Pool] = append(v.Pools[e.Pool], route.Candidate{
		ID: e.EndpointID, Addr: e.Addr, DataCentre: e.DataCentre, Models: e.Models, Slots: e.Slots, VMs: vms,
		Until: s.Until, Stat: stat, Incarnation: e.Incarnation, Confirmed: v.At.Before(e.Expires),
	})
}

// makerShare is the part of the largest capacity of all from which a VM makes pieces for others.
const makerShare = 0.8

// entryVMs returns the VMs that take callers' requests and are alive, and those of them with the most capacity.
func (c *Control) entryVMs(now time.Time) (names, makers []string) {
	capacities := make(map[string]float64)
	if c.CallersAddr.IsValid() && !c.stopping {
		capacities[c.Name] = c.Capacity
	}
	for _, v := range c.vms.Entries() {
		if v.Name != c.Name && v.CallersAddr.IsValid() && v.Alive(now) && !v.Stopping {
			capacities[v.Name] = v.Capacity
		}
	}
	largest := 0.0
	for name, capacity := range capacities {
		names = append(names, name)
		largest = max(largest, capacity)
	}
	slices.Sort(names)
	for _, name := range names {
		if capacities[name] >= makerShare*largest {
			makers = append(makers, name)
		}
	}
	return names, makers
}

// plannedStop returns when the planned stop of an endpoint or a VM begins: early enough that what is in flight
// ends by the stop's time. A stop does not hold for those that started after it began.
func (c *Control) plannedStop(endpoint, vm string) (time.Time, bool) {
	if c.document == nil {
		return time.Time{}, false
	}
	for _, s := range c.document.PlannedStops {
		if s.Endpoint == endpoint && s.VM == vm {
			return s.At.Add(-c.document.LongestDeadline() - stopMargin), true
		}
	}
	return time.Time{}, false
}

func (c *Control) stat(e *endpoint.Entry) *route.Stat {
	k := statKey{e.EndpointID, e.Incarnation}
	if c.stats[k] == nil {
		c.stats[k] = &route.Stat{}
	}
	return c.stats[k]
}

// forgetStats drops what was learned of endpoints that are no longer known.
func (c *Control) forgetStats() {
	if len(c.stats) == 0 {
		return
	}
	live := make(map[statKey]bool, len(c.stats))
	for _, e := range c.endpoints.Entries() {
		live[statKey{e.EndpointID, e.Incarnation}] = true
	}
	for k := range c.stats {
		if !live[k] {
			delete(c.stats, k)
		}
	}
}
