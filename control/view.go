package control

import (
	"slices"
	"time"

	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/evacuation"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/route"
	"godwitplank/spend"
	"godwitplank/timer"
	"godwitplank/vm"
)

// View is an immutable snapshot of the control state, for request handling and for operators.
type View struct {
	// Document is the active document; nil until the VM has one.
	Document *document.Document
	// Canonical is the canonical encoding of Document, in which it is stored.
	Canonical []byte
	Digest    string
	// ActiveSince is when the document became active on this VM.
	ActiveSince time.Time
	// Pools holds the routable endpoints of each pool, sorted by id. It is empty until the VM has received the evacuations
	// after its start.
	Pools map[string][]route.Candidate
	// Evacuated holds the endpoints of each pool that would be routable if their data centres were not evacuated. They get
	// no new work; results that they hold may still be freed.
	Evacuated map[string][]route.Candidate
	// Evacuations is the set of evacuations that this VM knows.
	Evacuations evacuation.State
	Endpoints   []EndpointStatus
	VMs         []vm.Entry
	Group       *link.Group
	Replica     *raft.Status
	Stopping    bool
	// StopAt is when this VM must begin its planned stop; zero if none is planned.
	StopAt time.Time
	// DiskFullSince is when the disk began to refuse writes for a lack of space; zero while it takes them.
	DiskFullSince time.Time
	// Spend is the usage per workspace and stage, summed over all VMs.
	Spend []spend.Total
	// Ready is true while the VM has a document and the evacuations, is warmed up and is not stopping.
	Ready bool
	// PublishedAt is when the view was published.
	PublishedAt time.Time
	// EntryVMs names the alive VMs that accept callers' requests, sorted, including this VM if it does.
	EntryVMs []string
	// DispatcherVMs names those in EntryVMs that dispatch pieces for other VMs: the ones with the most capacity.
	DispatcherVMs []string
	// SettleTime is how long it takes until the other VMs know that a VM stops or is lost.
	SettleTime time.Duration

	aliveVMs int // number of alive VMs, including this one
}

// EndpointStatus is an endpoint as an operator sees it.
type EndpointStatus struct {
	*endpoint.Entry
	Admitted bool
	// Evacuated is true if the endpoint's data centre is evacuated.
	Evacuated bool
	// InFlight is the number of this VM's calls in progress on the endpoint.
	InFlight int64
	// RoutableUntil is when this VM stops routing new work to the endpoint.
	RoutableUntil time.Time
}

// State returns the endpoint's state at now: leaving, lost, not_admitted, planned_stop, evacuated or working.
func (e EndpointStatus) State(now time.Time) string {
	switch {
	case e.Leaving:
		return "leaving"
	case now.After(e.Expires):
		return "lost"
	case !e.Admitted:
		return "not_admitted"
	case now.After(e.RoutableUntil):
		return "planned_stop"
	case e.Evacuated:
		return "evacuated"
	}
	return "working"
}

// settleMargin is the part of View.SettleTime that does not depend on the number of VMs.
const settleMargin = 300 * time.Millisecond

// stopMargin is added to the longest deadline to find when to stop new work before a planned stop.
const stopMargin = 3 * time.Second

// View returns the latest published view. It is safe for concurrent use.
func (c *Control) View() *View {
	return c.view.Load()
}

// DocumentVersion returns the version of the active document, 0 if there is none.
func (v *View) DocumentVersion() uint64 {
	if v.Document == nil {
		return 0
	}
	return v.Document.Version
}

// NewestVersion returns the highest document version that this VM knows to be active on any VM.
func (v *View) NewestVersion() uint64 {
	newest := v.DocumentVersion()
	for i := range v.VMs {
		newest = max(newest, v.VMs[i].DocumentVersion)
	}
	return newest
}

// publishDue reports whether a stale view must be replaced now.
func (c *Control) publishDue() bool {
	return c.viewStale && (c.viewUrgent || c.Clock.Now().Sub(c.publishedAt) >= minPublishInterval)
}

// publish builds a new view from the control state and makes it the latest one.
func (c *Control) publish() {
	now := c.Clock.Now()
	v := &View{
		Document: c.document, Canonical: c.storedDocument.GetCanonical(), Digest: c.storedDocument.GetDigest(), ActiveSince: c.activeSince,
		Pools: make(map[string][]route.Candidate), Evacuated: make(map[string][]route.Candidate), Evacuations: c.evacuations.set, VMs: c.vms.Entries(), Group: c.currentGroup(),
		Stopping: c.stopping, PublishedAt: now, SettleTime: c.distantInterval() + settleMargin, aliveVMs: 1 + c.vms.CountAlive(now),
	}
	c.entryVMs.update(c, now)
	v.EntryVMs, v.DispatcherVMs = c.entryVMs.names, c.entryVMs.dispatchers
	v.Spend = c.spendCounters.Totals()
	v.DiskFullSince = c.diskFull.since
	if c.replica != nil {
		status := c.replica.core.Status()
		v.Replica = &status
	}
	v.Ready = c.document != nil && !c.stopping && c.warmedUp(now) && c.evacuationsKnown()
	c.wasReady = c.wasReady || v.Ready
	if begin, ok := c.plannedStopBegin("", c.Name); ok && c.Incarnation < uint64(begin.UnixNano()) {
		v.StopAt = begin
	}
	entries := c.endpoints.Entries()
	v.Endpoints = make([]EndpointStatus, 0, len(entries))
	for _, e := range entries {
		c.publishEndpoint(v, e)
	}
	c.view.Store(v)
	c.viewStale, c.viewUrgent, c.publishedAt = false, false, now
}

// publishEndpoint adds an endpoint's status to a view, and the endpoint to its pool if it is routable.
func (c *Control) publishEndpoint(v *View, e *endpoint.Entry) {
	stats := c.statsFor(e)
	s := EndpointStatus{Entry: e, RoutableUntil: e.Expires, InFlight: stats.InFlight(), Evacuated: c.evacuations.set.Active(e.DataCentre)}
	if e.OfService {
		s.RoutableUntil = e.Expires.Add(unconfirmedGracePeriod)
	}
	if c.document != nil {
		s.Admitted = c.document.Admits(e.Pool, e.EndpointID, e.TokenSHA256) || (e.OfService && c.document.Service(e.Pool) != nil)
		if begin, ok := c.plannedStopBegin(e.EndpointID, ""); ok && e.Incarnation < uint64(begin.UnixMilli()) {
			s.RoutableUntil = timer.Earlier(s.RoutableUntil, begin)
		}
	}
	v.Endpoints = append(v.Endpoints, s)
	if !s.Admitted || e.Leaving || !v.PublishedAt.Before(s.RoutableUntil) || !c.evacuationsKnown() {
		return
	}
	c.updateCold(v, e, stats)
	c.updateQuota(e, stats)
	pools := v.Pools
	if s.Evacuated {
		pools = v.Evacuated
	}
	vms := v.aliveVMs
	if e.OfService {
		vms = len(v.EntryVMs)
	}
	pools[e.Pool] = append(pools[e.Pool], route.Candidate{
		ID: e.EndpointID, Addr: e.Addr, DataCentre: e.DataCentre, Models: e.Models, Slots: e.Slots, SendingVMs: vms,
		ExpiresAt: s.RoutableUntil, Stats: stats, Incarnation: e.Incarnation, Confirmed: v.PublishedAt.Before(e.Expires),
	})
}

// dispatcherCapacityRatio is the minimum ratio of a VM's capacity to the largest one for it to dispatch pieces for
// other VMs.
const dispatcherCapacityRatio = 0.8

// entryVMs holds the alive VMs that accept callers' requests, and those of them that dispatch pieces for other VMs, at
// a revision of the VM table.
type entryVMs struct {
	names, dispatchers []string
	// since is when names or dispatchers last changed.
	since    time.Time
	revision uint64
	stopping bool // whether this VM was stopping
}

// update determines the VMs again if the table has changed. Earlier slices are not modified, since views refer to them.
func (l *entryVMs) update(c *Control, now time.Time) {
	if l.names != nil && l.revision == c.vms.Revision() && l.stopping == c.stopping {
		return
	}
	previous := *l
	*l = entryVMs{names: []string{}, since: now, revision: c.vms.Revision(), stopping: c.stopping}
	capacities := make(map[string]float64)
	if c.CallersAddr.IsValid() && !c.stopping {
		capacities[c.Name] = c.Capacity
	}
	for _, v := range c.vms.Sorted() {
		if v.Name != c.Name && v.CallersAddr.IsValid() && v.Alive(now) && !v.Stopping {
			capacities[v.Name] = v.Capacity
		}
	}
	largest := 0.0
	for name, capacity := range capacities {
		l.names = append(l.names, name)
		largest = max(largest, capacity)
	}
	slices.Sort(l.names)
	for _, name := range l.names {
		if capacities[name] >= dispatcherCapacityRatio*largest {
			l.dispatchers = append(l.dispatchers, name)
		}
	}
	if previous.names != nil && slices.Equal(l.names, previous.names) && slices.Equal(l.dispatchers, previous.dispatchers) {
		l.since = previous.since
	}
}

// plannedStopBegin returns when an endpoint or a VM must stop accepting new work before its planned stop, so that
// requests in flight end in time. An incarnation that started after that time is not stopped; publish and
// publishEndpoint check this.
func (c *Control) plannedStopBegin(endpoint, vm string) (time.Time, bool) {
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

func (c *Control) statsFor(e *endpoint.Entry) *route.Stats {
	k := statsKey{e.EndpointID, e.Incarnation}
	if c.stats[k] == nil {
		c.stats[k] = &route.Stats{}
	}
	return c.stats[k]
}

// pruneStats removes the statistics of endpoint incarnations that are no longer known.
func (c *Control) pruneStats() {
	if len(c.stats) == 0 {
		return
	}
	live := make(map[statsKey]bool, len(c.stats))
	for e := range c.endpoints.All() {
		live[statsKey{e.EndpointID, e.Incarnation}] = true
	}
	for k := range c.stats {
		if !live[k] {
			delete(c.stats, k)
			delete(c.coldShares, k)
		}
	}
	c.pruneLimits(live)
}
