// Package control owns all control state of a VM on one goroutine and publishes immutable views of it.
package control

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/route"
	"godwitplank/spend"
	"godwitplank/state"
	"godwitplank/telemetry"
	"godwitplank/timer"
	"godwitplank/vm"
	"godwitplank/workspace"
)

// Intervals of the control goroutine.
const (
	raftTick     = 50 * time.Millisecond
	housekeeping = 100 * time.Millisecond
)

// Control is the control state of one VM. Set the exported fields, then call Run.
type Control struct {
	link.UnimplementedLinkServer

	Name          string
	DataCentre    string
	Incarnation   uint64
	LinkAddr      netip.AddrPort
	OperatorsAddr netip.AddrPort
	CallersAddr   netip.AddrPort
	// Join lists link addresses of other VMs; the own one among them is skipped.
	Join []netip.AddrPort
	// Discover links also to VMs that others mention.
	Discover bool
	// Bootstrap makes the first group of the VMs in Join, if this VM is one of them and its folder is empty.
	Bootstrap bool
	// SpareAfter is how long a voter's VM is silent before another VM takes its place.
	SpareAfter time.Duration
	// DiskLosses is how many disks may be lost at once: the group grows to twice that plus one voters. 0 keeps its number.
	DiskLosses int
	// Capacity is this VM's processor share, 0 if it is not known.
	Capacity float64
	// HubsOnly exchanges news only with VMs that have a data folder, so that a VM's cost does not grow with the number
	// of all VMs. The hubs' word tells which of the others are alive.
	HubsOnly bool
	// Folder is nil on a VM without a disk.
	Folder *disk.Folder
	Clock  timer.Clock
	// Limiter gets this VM's shares of the workspaces' limits.
	Limiter *workspace.Limiter
	// Tally has what this VM's requests use.
	Tally *spend.Tally
	// Meter counts commits and syncs; nil counts nothing.
	Meter *telemetry.Meter
	// Pieces makes pieces for other VMs; nil on a VM that takes no callers' requests.
	Pieces PieceServer
	Log    event.Logger

	calls  chan func()
	done   chan struct{}
	view   atomic.Pointer[View]
	group  sync.WaitGroup
	cancel context.CancelFunc
	// running ends with Run.
	running context.Context

	start       time.Time
	stopping    bool
	dirty       bool
	document    *document.Document
	stored      *state.DocumentChange
	inForce     time.Time
	endpoints   endpoint.Table
	stats       map[statKey]*route.Stat
	vms         vm.Table
	lastExpiry  time.Time
	peers       map[netip.AddrPort]*peer
	known       *link.Group
	replica     *replica
	broker      workspace.Broker
	brokerTerm  uint64
	lastTick    time.Time
	book        spend.Book
	bookSaved   uint64
	bookSavedAt time.Time
	failure     error
}

// statKey names what is learned of one incarnation of an endpoint.
type statKey struct {
	id          string
	incarnation uint64
}

// Init makes the control ready for calls; it opens the replica of the data folder.
func (c *Control) Init() error {
	c.calls = make(chan func(), 256)
	c.done = make(chan struct{})
	c.stats = make(map[statKey]*route.Stat)
	c.peers = make(map[netip.AddrPort]*peer)
	c.start = c.Clock.Now()
	c.lastExpiry = c.start
	c.view.Store(&View{})
	if err := c.openBook(); err != nil {
		return err
	}
	if err := c.openDocument(); err != nil {
		return err
	}
	if c.SpareAfter == 0 {
		c.SpareAfter = DefaultSpareAfter
	}
	if err := c.openReplica(); err != nil {
		return err
	}
	return c.bootstrap()
}

// Run serves until ctx ends or the disk fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	c.running = ctx
	for _, addr := range c.Join {
		c.addPeer(ctx, addr, true)
	}
	c.group.Go(func() { c.shareLoop(ctx) })
	c.loop(ctx)
	close(c.done)
	c.group.Wait()
	if c.countOwn(); c.Folder != nil {
		c.saveBook(c.Clock.Now())
	}
	if c.replica != nil {
		return c.replica.close(c.failure)
	}
	return c.failure
}

func (c *Control) loop(ctx context.Context) {
	ticks := timer.Subscribe(ctx, raftTick)
	chores := timer.Subscribe(ctx, housekeeping)
	for c.failure == nil {
		select {
		case <-ctx.Done():
			return
		case call := <-c.calls:
			call()
			c.drainCalls()
		case <-ticks:
			c.tick()
		case <-chores:
			c.housekeep(ctx)
		}
		c.flushReplica()
		if c.dirty {
			c.publish()
		}
	}
}

// tick moves the replica's time on. After a gap this VM may have been frozen while another one led and granted shares.
func (c *Control) tick() {
	now := c.Clock.Now()
	if now.Sub(c.lastTick) > frozenAfter {
		c.brokerTerm = 0
	}
	c.lastTick = now
	if c.replica != nil {
		c.replica.core.Tick()
	}
}

// frozenAfter is a gap between ticks that tells of a freeze.
const frozenAfter = 10 * raftTick

// drainCalls takes what else waits, so that one sync serves many proposals.
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

func (c *Control) housekeep(ctx context.Context) {
	now := c.Clock.Now()
	for _, e := range c.endpoints.Expire(c.lastExpiry, now, endpointMemory) {
		if !e.Leaving {
			c.Log.Log(event.EndpointLost, "endpoint", e.EndpointID)
		}
		c.dirty = true
	}
	c.lastExpiry = now
	c.vms.Forget(now)
	c.keepAlive(now)
	for _, name := range c.vms.Lost(now) {
		c.Log.Log(event.VMLost, "peer", name, "data_centre", c.vms.Find(name).DataCentre)
	}
	c.forgetStats()
	c.discoverPeers(ctx)
	c.repair(now)
	c.forgetGroup()
	c.keepBook(now)
	c.dirty = true
}

// endpointMemory is how long an endpoint is remembered after its lease, so that late announcements stay stale.
const endpointMemory = 10 * time.Minute

// do runs a call on the control goroutine and waits for it.
func (c *Control) do(ctx context.Context, call func()) error {
	ran := make(chan struct{})
	wrapped := func() {
		call()
		close(ran)
	}
	select {
	case c.calls <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errStopped
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errStopped
	}
}

// adopt puts a document in force if it is newer. A document never reverts.
func (c *Control) adopt(d *state.DocumentChange) {
	if d.GetVersion() <= c.stored.GetVersion() {
		return
	}
	parsed, err := document.ParseCanonical(d.Canonical)
	if err != nil {
		c.Log.Log(event.DocumentRefused, "document_version", d.Version, "kind", err.Error())
		return
	}
	if err := c.keepDocument(d); err != nil {
		c.failure = fmt.Errorf("cannot store the document: %w; mend the disk and start the VM again", err)
		return
	}
	c.document = parsed
	c.stored = proto.CloneOf(d)
	c.inForce = c.Clock.Now()
	c.dirty = true
	c.Log.Log(event.DocumentInForce, "document_version", d.Version, "digest", d.Digest)
}

// BeginStop makes the VM report that it is stopping, and hands leadership over.
func (c *Control) BeginStop(ctx context.Context) error {
	return c.do(ctx, func() {
		c.stopping = true
		c.dirty = true
		c.handOver()
	})
}
