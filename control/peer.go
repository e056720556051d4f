package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/timer"
	"godwitplank/vm"
)

// Timing and sizes of the connections between VMs.
const (
	exchangeInterval = 500 * time.Millisecond
	// A VM without a data folder in a system of many VMs exchanges state with the hubs of other data centres less often:
	// every distantIntervalPerVM for each known VM, at most every maxDistantInterval. The maximum is half of the time
	// after which a VM counts as lost.
	distantIntervalPerVM = 4 * time.Millisecond
	maxDistantInterval   = vm.AliveTimeout / 2
	// Within startupPeriod after its start a VM exchanges state more often, to learn of all endpoints quickly.
	startupExchangeInterval = 150 * time.Millisecond
	startupPeriod           = 4 * time.Second
	exchangeTimeout         = 1 * time.Second
	maxExchangeTimeout      = 16 * time.Second
	deliverTimeout          = 1 * time.Second
	dialTimeout             = 500 * time.Millisecond
	maxReconnectDelay       = 500 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failed calls after which a connection is replaced: after a
	// network cut that sends no reset, the old connection may never work again.
	maxConsecutiveFailures = 2
	// keepaliveInterval is the minimum that gRPC accepts. keepaliveTimeout also closes connections whose data is not
	// acknowledged.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	outboxCapacity    = 256
	// MinKeepaliveInterval is the minimum interval between keepalive pings that a VM's server accepts from its clients.
	MinKeepaliveInterval = 5 * time.Second
	// MaxMessageBytes limits the size of a message between VMs; a snapshot is sent as one message.
	MaxMessageBytes = 256 << 20
)

// syncRevisions holds the revisions up to which another VM's state was received. They are valid for one incarnation of
// that VM.
type syncRevisions struct {
	incarnation, spend, endpoints, renewals, others, limits uint64
}

// fullListInterval is the time between two requests for a peer's full list of VMs. It refreshes VMs that are known only
// through others before vm.PruneAfter.
const fullListInterval = time.Minute

// peer is the connection to one address of another VM. The control goroutine owns its fields, except conn and
// consecutiveFailures, which mu guards.
type peer struct {
	addr netip.AddrPort
	// joined is true for peers from the settings; they are never removed by updatePeers.
	joined bool
	// name and advertised are the VM's name and link address as given in its own replies.
	name       string
	advertised netip.AddrPort
	replied    bool
	isSelf     bool
	// documentVersion is the version of the document that the peer last reported or sent.
	documentVersion  uint64
	transferFailedAt time.Time
	// aliveVMs names the VMs that the peer last reported as alive.
	aliveVMs map[string]bool
	// callsOnly peers are used for single calls, without state exchange or Raft messages.
	callsOnly bool
	// sentSpendRevision is the revision up to which this VM's own spend counters were sent to the peer.
	sentSpendRevision uint64
	// sentLimitsRevision is the revision up to which the limits that endpoints state were sent; 0 if the peer has restarted since.
	sentLimitsRevision uint64
	// pacesSentAt is when this VM last sent the paces that it observed.
	pacesSentAt time.Time
	// crashesSentAt is when this VM last sent the crashed runs that it observed; zero if the peer has restarted since.
	crashesSentAt time.Time
	lastReplyAt   time.Time
	// synced holds the revisions up to which the peer's state was received.
	synced              syncRevisions
	fullListRequestedAt time.Time
	cancel              context.CancelFunc
	outbox              chan *raft.Message
	// largeOutbox holds a large message beside the one that is being sent. Further ones are dropped: a replica that waits for a
	// large message rejects the heartbeats that follow it, and the leader then sends the message again.
	largeOutbox chan *raft.Message
	// exchangeLimit is the time limit of the next exchange. The exchange loop owns it.
	exchangeLimit time.Duration

	mu                  sync.Mutex
	conn                *grpc.ClientConn
	consecutiveFailures int
}

// addPeer starts the exchange and delivery loops of a peer at an address, unless the address is this VM's own or
// already has such a peer.
func (c *Control) addPeer(ctx context.Context, addr netip.AddrPort, joined bool) {
	if old := c.peers[addr]; addr == c.LinkAddr || (old != nil && !old.callsOnly) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{addr: addr, joined: joined, cancel: cancel, outbox: make(chan *raft.Message, outboxCapacity), largeOutbox: make(chan *raft.Message, 1), exchangeLimit: exchangeTimeout}
	if old := c.peers[addr]; old != nil {
		p.conn = old.handOverConn()
	}
	c.peers[addr] = p
	c.wg.Go(func() { c.exchangeLoop(ctx, p) })
	c.wg.Go(func() { c.deliverLoop(ctx, p) })
	c.wg.Go(func() { c.deliverLargeLoop(ctx, p) })
}

// updatePeers connects to known VMs that no joined address leads to, and removes the peers of VMs that are gone.
func (c *Control) updatePeers(ctx context.Context) {
	for _, v := range c.vms.Sorted() {
		if c.Discover && c.exchangesWith(v) && v.Name != c.Name && v.LinkAddr.IsValid() && c.exchangePeer(v.Name) == nil && c.joinedPeersIdentified() {
			c.addPeer(ctx, v.LinkAddr, false)
		}
	}
	for addr, p := range c.peers {
		if !p.joined && (p.isSelf || c.obsolete(p)) {
			p.cancel()
			if p.callsOnly {
				p.close()
			}
			delete(c.peers, addr)
		}
	}
}

// joinedPeersIdentified reports whether every joined peer replied, and so gave its VM's name, or joinIdentifyTimeout
// has passed. Connecting to discovered VMs earlier could open a second connection to a joined one.
func (c *Control) joinedPeersIdentified() bool {
	if c.Clock.Now().Sub(c.start) > joinIdentifyTimeout {
		return true
	}
	for _, p := range c.peers {
		if p.joined && !p.replied {
			return false
		}
	}
	return true
}

const joinIdentifyTimeout = 3 * time.Second

// obsolete reports whether a discovered peer is no longer needed: its address belongs to no known VM, or its VM is
// reached through another peer.
func (c *Control) obsolete(p *peer) bool {
	for _, v := range c.vms.Sorted() {
		if v.LinkAddr == p.addr && v.Name != c.Name {
			return c.peerFor(v.Name) != p
		}
	}
	return true
}

// peerFor returns the peer of a VM: the joined one that leads to it, else the one at the VM's own address. It returns
// nil if there is none.
func (c *Control) peerFor(name string) *peer {
	v := c.vms.Find(name)
	if v == nil {
		return nil
	}
	for _, p := range c.peers {
		if p.joined && p.name == name && p.advertised == v.LinkAddr {
			return p
		}
	}
	return c.peers[v.LinkAddr]
}

// exchangePeer returns the peer of a VM that this VM exchanges state with, or nil.
func (c *Control) exchangePeer(name string) *peer {
	if p := c.peerFor(name); p != nil && !p.callsOnly {
		return p
	}
	return nil
}

// callPeer returns a peer of a VM for single calls, and adds a callsOnly one if there is none. It returns nil if the
// VM's address is not known or is this VM's.
func (c *Control) callPeer(name string) *peer {
	if p := c.peerFor(name); p != nil {
		return p
	}
	v := c.vms.Find(name)
	if v == nil || !v.LinkAddr.IsValid() || v.LinkAddr == c.LinkAddr {
		return nil
	}
	p := &peer{addr: v.LinkAddr, name: name, callsOnly: true, cancel: func() {}, outbox: make(chan *raft.Message, 1), largeOutbox: make(chan *raft.Message, 1)}
	c.peers[v.LinkAddr] = p
	return p
}

func (c *Control) exchangeLoop(ctx context.Context, p *peer) {
	for {
		started := c.Clock.Now()
		pause := c.exchange(ctx, p)
		if timer.Wait(ctx, pause-c.Clock.Now().Sub(started)) != nil {
			p.close()
			return
		}
	}
}

// pauseBetweenExchanges returns the time between the starts of two exchanges with a peer.
func (c *Control) pauseBetweenExchanges(now time.Time, p *peer) time.Duration {
	starting := now.Sub(c.start) < startupPeriod
	if c.HubsOnly && c.Folder == nil && !c.nearPeer(p) {
		if starting {
			return exchangeInterval
		}
		return c.distantInterval()
	}
	if starting {
		return startupExchangeInterval
	}
	return exchangeInterval
}

// distantInterval returns the time between two exchanges of a VM without a data folder with a distant hub.
func (c *Control) distantInterval() time.Duration {
	return min(max(exchangeInterval, time.Duration(c.vms.Count())*distantIntervalPerVM), maxDistantInterval)
}

// nearPeer reports whether the VM of a peer is in this VM's data centre.
func (c *Control) nearPeer(p *peer) bool {
	v := c.vms.Find(p.name)
	return v != nil && v.DataCentre == c.DataCentre
}

// exchange requests the state changes of a VM and merges them. It starts the transfer of the VM's document if that is newer.
// It returns the time from the start of this exchange to the next one.
func (c *Control) exchange(ctx context.Context, p *peer) time.Duration {
	pause := exchangeInterval
	var request *link.ExchangeRequest
	var sentRevision, sentLimits uint64
	if c.do(ctx, func() {
		if c.Clock.Now().Sub(p.fullListRequestedAt) > fullListInterval {
			p.fullListRequestedAt = c.Clock.Now()
			p.synced.others = 0
		}
		request = &link.ExchangeRequest{
			Sender: c.describeSelf(), ReceiverIncarnation: p.synced.incarnation,
			SpendSince: p.synced.spend, EndpointsSince: p.synced.endpoints, RenewalsSince: p.synced.renewals, OthersSince: p.synced.others, LimitsSince: p.synced.limits,
		}
		c.recordStatedLimits()
		request.Limits, sentLimits = c.limitsSince(p.sentLimitsRevision)
		request.Spend, sentRevision = c.localSpendSince(p.sentSpendRevision)
		request.Paces = c.pacesSince(p.pacesSentAt)
		request.Departures = c.departures()
		request.EvacuationVersion = c.evacuations.set.Version
		c.addCrashEvidence(c.Clock.Now(), p, request)
	}) != nil {
		return pause
	}
	sentAt := c.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, p.exchangeLimit)
	defer cancel()
	reply, err := p.client().Exchange(callCtx, request)
	if err == nil {
		err = checkSender(reply.Sender)
	}
	p.adaptLimit(request, err)
	if p.recordResult(err) {
		c.Log.Log(event.ConnectionReset, "peer", p.addr.String())
	}
	if err != nil {
		return pause
	}
	_ = c.do(ctx, func() {
		pause = c.pauseBetweenExchanges(sentAt, p)
		p.crashesSentAt = sentAt
		p.sentLimitsRevision = sentLimits
		c.handleExchangeReply(p, sentAt, reply)
		p.sentSpendRevision, p.pacesSentAt = sentRevision, sentAt
		c.startTransfer()
	})
	return pause
}

// adaptLimit raises the time limit of the next exchange after a reply with the whole state of the peer took too long: it would
// take as long again.
func (p *peer) adaptLimit(r *link.ExchangeRequest, err error) {
	if status.Code(err) == codes.DeadlineExceeded && r.EndpointsSince == 0 {
		p.exchangeLimit = min(2*p.exchangeLimit, maxExchangeTimeout)
		return
	}
	p.exchangeLimit = exchangeTimeout
}

func (c *Control) handleExchangeReply(p *peer, sentAt time.Time, r *link.ExchangeReply) {
	now := c.Clock.Now()
	p.replied = true
	p.lastReplyAt = now
	p.name = r.Sender.GetName()
	p.advertised, _ = netip.ParseAddrPort(r.Sender.GetLinkAddr())
	if p.name == c.Name {
		p.isSelf = true
		return
	}
	p.documentVersion = r.Sender.GetDocumentVersion()
	c.recordVM(now, r.Sender, sentAt)
	for _, v := range r.Others {
		if v.Name != c.Name {
			c.recordVM(now, v, sentAt.Add(-time.Duration(v.AgeMs)*time.Millisecond))
		} else if v.Incarnation > c.Incarnation {
			// The clock stepped back between two starts: other VMs would ignore this VM as an older incarnation.
			c.raiseIncarnation(v.Incarnation + 1)
		}
	}
	p.recordAlive(r.Others, p.synced.others == 0 || p.synced.incarnation != r.Sender.GetIncarnation())
	c.markReportedAlive(now, p)
	c.mergeRelayedEndpoints(sentAt, r.Endpoints)
	c.updateKnownGroup(r.Group)
	c.mergeEvacuations(r)
	c.mergeSpend(r.Spend)
	c.Crashes.Watch(now, r.SuspectParts)
	c.Crashes.Adopt(now, decodeQuarantines(sentAt, r.Quarantines))
	c.mergeLimits(now, r.Limits)
	if p.synced.incarnation != r.Sender.GetIncarnation() {
		p.crashesSentAt, p.sentLimitsRevision = time.Time{}, 0
	}
	p.synced = syncRevisions{r.Sender.GetIncarnation(), r.SpendRevision, r.EndpointsRevision, r.RenewalsRevision, r.OthersRevision, r.LimitsRevision}
	if !c.applyRenewals(sentAt, r.Renewals) {
		p.synced.endpoints = 0
	}
}

// recordVM merges a description of a VM into the table. A description relayed by another VM, which has a non-zero age,
// keeps the VM known but does not count as a heartbeat.
func (c *Control) recordVM(now time.Time, v *link.VM, reportedAt time.Time) {
	e := vmEntry(v)
	e.LastReported = reportedAt
	if v.AgeMs == 0 {
		e.LastSeen = now
	}
	if c.vms.Merge(now, e) {
		c.viewStale = true
		c.Log.Log(event.VMAlive, "peer", e.Name, "data_centre", e.DataCentre, "incarnation", e.Incarnation)
	}
}

// warmedUp reports whether minWarmUp has passed and every joined peer replied, or maxWarmUp has passed.
func (c *Control) warmedUp(now time.Time) bool {
	if now.Sub(c.start) < minWarmUp {
		return false
	}
	if now.Sub(c.start) > maxWarmUp {
		return true
	}
	for _, p := range c.peers {
		if p.joined && !p.replied {
			return false
		}
	}
	return true
}

// A restarted VM is not ready before endpoints had time to announce themselves to it or to other VMs.
const (
	minWarmUp = 2 * time.Second
	maxWarmUp = 4 * time.Second
)
