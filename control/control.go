// Package control implements the control plane of a VM. One goroutine owns all control state and publishes immutable
// views of it. The VMs exchange their state with each other over gRPC. A Raft group of control VMs, which have a data
// folder, replicates the document and the ledger of non-idempotent calls, which are called orders.
package control

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitplank/crash"
	"godwitplank/difference"
	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/route"
	"godwitplank/spend"
	"godwitplank/state"
	"godwitplank/telemetry"
	"godwitplank/timer"
	"godwitplank/vm"
	"godwitplank/workspace"
)

// Timer intervals of the control goroutine.
const (
	raftTickInterval     = 50 * time.Millisecond
	housekeepingInterval = 200 * time.Millisecond
	// pruneInterval is how often state that is no longer needed is removed.
	pruneInterval = time.Second
	// viewRefreshInterval is how often the view is published without a change, for what depends on the time only.
	viewRefreshInterval = 500 * time.Millisecond
	// minPublishInterval is the minimum time between two views, except for a new document or the begin of a stop: many
	// endpoints and VMs that change at the same time share a view.
	minPublishInterval = 50 * time.Millisecond
)

// Control holds the control state of one VM. Set the exported fields, call Init, then Run.
type Control struct {
	link.UnimplementedLinkServer

	Name          string
	DataCentre    string
	Incarnation   uint64
	LinkAddr      netip.AddrPort
	OperatorsAddr netip.AddrPort
	CallersAddr   netip.AddrPort
	// DataCentres names the deployment's data centres, which may be evacuated; empty accepts any valid name.
	// EvacuationsOptional lets this VM route requests after its start before it has received the evacuations.
	EvacuationsOptional bool
	DataCentres         []string
	// Join lists the link addresses of other VMs. This VM's own address is skipped.
	Join []netip.AddrPort
	// Discover also connects to VMs that are known only through other VMs.
	Discover bool
	// Bootstrap creates the initial Raft group from the VMs in Join, if this VM is an initial voter and its folder
	// has no group yet.
	Bootstrap bool
	// SpareAfter is how long a voter's VM may be silent before a spare VM replaces it. 0 means DefaultSpareAfter.
	SpareAfter time.Duration
	// DiskLosses is the number of simultaneous disk losses that the group tolerates: it grows to 2*DiskLosses+1
	// voters. 0 keeps the current number of voters.
	DiskLosses int
	// Capacity is this VM's CPU capacity in cores, 0 if it is unknown.
	Capacity float64
	// ColdExcess and ColdSlack limit the calls of all VMs together to a cold endpoint; see cold.Limit.
	ColdExcess float64
	ColdSlack  float64
	// HubsOnly exchanges state only with hubs, the VMs that have a data folder (control VMs), so that the cost per VM
	// does not grow with the total number of VMs. The liveness of all other VMs is taken from the hubs' replies.
	HubsOnly bool
	// Folder is the data folder; nil on a VM without a disk.
	Folder *disk.Folder
	Clock  timer.Clock
	// Limiter enforces this VM's shares of the workspaces' limits; nil requests no shares.
	Limiter *workspace.Limiter
	// Tally counts the stage calls of this VM's requests; may be nil.
	Tally *spend.Tally
	// Meter measures the durations of commits and disk syncs; nil measures nothing.
	Meter *telemetry.Meter
	// Crashes finds the prompts that crash endpoints; Init sets it if it is nil.
	Crashes *crash.Tracker
	// Pieces dispatches pieces for other VMs; nil on a VM that accepts no callers' requests.
	Pieces PieceServer
	// Placements places prompts for other VMs; nil on a VM that accepts no callers' requests.
	Placements PlacementServer
	Log        event.Logger

	calls  chan func()
	done   chan struct{}
	view   atomic.Pointer[View]
	wg     sync.WaitGroup
	cancel context.CancelFunc
	// runCtx is the context of Run; the goroutines of peers that are added while it runs use it.
	runCtx context.Context

	start          time.Time
	stopping       bool
	viewStale      bool
	viewUrgent     bool // publish without waiting for minPublishInterval
	publishedAt    time.Time
	entryVMs       entryVMs
	document       *document.Document
	storedDocument *state.DocumentChange
	activeSince    time.Time
	transfer       transfer
	history        difference.History // versions that transfers to other VMs may refer to
	endpoints      endpoint.Table
	stats          map[statsKey]*route.Stats
	coldShares     map[statsKey]coldShare
	limits         map[statsKey]*knownLimit
	limitsRevision uint64
	wasReady       bool // whether a view was ready since the start
	vms            vm.Table
	lastExpiry     time.Time
	prunedAt       time.Time
	peers          map[netip.AddrPort]*peer
	knownGroup     *link.Group // newest state of the group that was received or, on the leader, built
	replica        *replica
	broker         workspace.Broker
	// replyTo is the replica whose messages are being answered, replies the answers for the reply to its call.
	replyTo            string
	replies            []*raft.Message
	sharesLoggedTerm   uint64 // Raft term of the last event about shares
	brokerTerm         uint64 // Raft term in which broker was last reset; 0 forces a reset
	lastTick           time.Time
	spendCounters      spend.Counters
	spendSavedRevision uint64
	spendSavedAt       time.Time
	evacuations        knownEvacuations
	diskFull           fullDisk
	learnerContacts    map[string]time.Time // when this VM, as leader, last heard of each learner, by replica id
	fatalErr           error
}

// statsKey identifies the statistics of one incarnation of an endpoint.
type statsKey struct {
	id          string
	incarnation uint64
}

// Init prepares c for calls. It loads the spend counters, the document and the replica from the data folder, and
// bootstraps the initial group.
func (c *Control) Init() error {
	c.calls = make(chan func(), 256)
	c.done = make(chan struct{})
	c.stats = make(map[statsKey]*route.Stats)
	c.peers = make(map[netip.AddrPort]*peer)
	if c.Crashes == nil {
		c.Crashes = &crash.Tracker{}
	}
	c.Crashes.OnQuarantine = c.logQuarantine
	c.Crashes.Follower = c.HubsOnly && c.Folder == nil
	c.start = c.Clock.Now()
	c.lastExpiry = c.start
	c.view.Store(&View{})
	if err := c.loadSpend(); err != nil {
		return err
	}
	if err := c.loadDocument(); err != nil {
		return err
	}
	if c.SpareAfter == 0 {
		c.SpareAfter = DefaultSpareAfter
	}
	if err := c.openReplica(); err != nil {
		return err
	}
	if c.Folder != nil && !c.Folder.Stored() {
		c.handleJoinError(disk.ErrFull)
	} else {
		c.handleJoinError(c.bootstrap())
	}
	return c.fatalErr
}

// Run runs the control loop until ctx ends or a fatal error occurs, such as a failed disk write, which it returns.
func (c *Control) Run(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.runCtx = ctx
	for _, addr := range c.Join {
		c.addPeer(ctx, addr, true)
	}
	c.wg.Go(func() { c.shareLoop(ctx) })
	c.loop(ctx)
	c.cancel() // the loop may have ended by a fatal error; the goroutines of the peers run until ctx ends
	close(c.done)
	c.wg.Wait()
	if c.mergeLocalSpend(); c.Folder != nil {
		c.saveSpend(c.Clock.Now())
	}
	if c.replica != nil {
		return c.replica.close(c.fatalErr)
	}
	return c.fatalErr
}

func (c *Control) loop(ctx context.Context) {
	var ticks <-chan time.Time
	if c.Folder != nil {
		ticks = timer.Subscribe(ctx, raftTickInterval)
	}
	housekeepingTicks := timer.Subscribe(ctx, housekeepingInterval)
	for c.fatalErr == nil {
		select {
		case <-ctx.Done():
			return
		case call := <-c.calls:
			call()
			c.drainCalls()
		case <-ticks:
			c.tick()
		case <-housekeepingTicks:
			c.housekeep(ctx)
		}
		c.flushReplica()
		if c.publishDue() {
			c.publish()
		}
	}
}

// tick advances the replica's Raft clock. After a long gap since the last tick, the process may have been paused while
// another VM led and granted shares, so the share broker is reset before its next use.
func (c *Control) tick() {
	now := c.Clock.Now()
	if now.Sub(c.lastTick) > pauseThreshold {
		c.brokerTerm = 0
	}
	c.lastTick = now
	if c.replica != nil && !c.diskFull.suspended {
		c.replica.core.Tick()
	}
}

// pauseThreshold is the gap between two ticks above which the process counts as having been paused.
const pauseThreshold = 10 * raftTickInterval

// drainCalls runs the queued calls, so that one disk sync covers many proposals (group commit).
func (c *Control) drainCalls() {
	for range cap(c.calls) {
		select {
		case call := <-c.calls:
			call()
		default:
			return
		}
	}
}

// housekeep does the periodic work of the control goroutine, such as expiring leases, updating peers and repairing the
// group.
func (c *Control) housekeep(ctx context.Context) {
	now := c.Clock.Now()
	for _, e := range c.endpoints.Expire(c.lastExpiry, now, endpointRetention) {
		if !e.Leaving {
			c.Log.Log(event.EndpointLost, "endpoint", e.EndpointID)
		}
		c.viewStale = true
	}
	c.lastExpiry = now
	c.holdLiveness(now)
	for _, name := range c.vms.DetectLost(now) {
		c.Log.Log(event.VMLost, "peer", name, "data_centre", c.vms.Find(name).DataCentre)
	}
	if now.Sub(c.prunedAt) >= pruneInterval {
		c.prunedAt = now
		c.vms.Prune(now)
		c.pruneStats()
	}
	c.updatePeers(ctx)
	c.repair(now)
	c.discardLostGroup()
	c.updateSpend(now)
	c.retryWrites(now)
	c.viewStale = c.viewStale || now.Sub(c.publishedAt) >= viewRefreshInterval
}

// endpointRetention is how long an endpoint is kept after the end of its lease, so that late announcements of it are
// still recognized as stale.
const endpointRetention = 10 * time.Minute

// do runs call on the control goroutine and waits until it returns, ctx ends or the control stops. After an error the
// call may still run.
func (c *Control) do(ctx context.Context, call func()) error {
	finished := make(chan struct{})
	task := func() {
		call()
		close(finished)
	}
	select {
	case c.calls <- task:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errStopped
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errStopped
	}
}

// applyDocument stores and activates a document if it is newer than the active one. An older version is never restored. On
// a full disk the document is stored later: a majority has it already.
func (c *Control) applyDocument(d *state.DocumentChange) {
	if d.GetVersion() <= c.storedDocument.GetVersion() {
		return
	}
	parsed, err := document.ParseCanonical(d.Canonical)
	if err != nil {
		c.Log.Log(event.DocumentRefused, "document_version", d.Version, "kind", err.Error())
		return
	}
	if err := c.persistDocument(d); err != nil {
		c.handleDocumentError(err)
		if c.fatalErr != nil {
			return
		}
	}
	c.document = parsed
	c.storedDocument = proto.CloneOf(d)
	c.activeSince = c.Clock.Now()
	if c.Folder != nil || !c.HubsOnly {
		c.history.Add(d.Digest, c.storedDocument.Canonical)
	}
	c.viewStale, c.viewUrgent = true, true
	c.Log.Log(event.DocumentActivated, "document_version", d.Version, "digest", d.Digest)
}

// BeginStop marks this VM as stopping, for other VMs and its own view, and transfers Raft leadership to another voter.
func (c *Control) BeginStop(ctx context.Context) error {
	return c.do(ctx, func() {
		c.stopping = true
		c.viewStale, c.viewUrgent = true, true
		c.transferLeadership()
	})
}
