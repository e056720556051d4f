package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"

	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/timer"
)

// Timing of the links between VMs.
const (
	exchangeInterval = 500 * time.Millisecond
	// A VM that has just started asks more often, until it has heard of all endpoints once.
	startInterval   = 150 * time.Millisecond
	startSpan       = 4 * time.Second
	exchangeTimeout = 1 * time.Second
	deliverTimeout  = 1 * time.Second
	dialTimeout     = 500 * time.Millisecond
	redialMost      = 500 * time.Millisecond
	// resetAfter is the number of calls in a row without an answer after which a connection is made
	// anew: after a silent cut it may never carry anything again.
	resetAfter = 2
	// probeAfter is the least that the library takes; probeTimeout also ends connections whose bytes are not acknowledged.
	probeAfter   = 10 * time.Second
	probeTimeout = 2 * time.Second
	outboxLength = 256
	// ProbeMinimum is the least time between two probes of a connection that a VM puts up with.
	ProbeMinimum = 5 * time.Second
	// MaxMessageBytes bounds a message between VMs; a snapshot travels in one.
	MaxMessageBytes = 256 << 20
)

// seen is the revisions that were taken of an incarnation of a VM.
type seen struct {
	incarnation, spend, endpoints, others uint64
}

// listInterval is the time between two whole lists of VMs, so that those mentioned are not forgotten.
const listInterval = time.Minute

// peer is the link to one address of another VM. Its fields but conn and misses belong to the control goroutine.
type peer struct {
	addr netip.AddrPort
	// joined peers come from the settings and are kept for good.
	joined bool
	// name and advertised are what the VM at the address says of itself.
	name       string
	advertised netip.AddrPort
	answered   bool
	self       bool
	// alive names the VMs that it says are alive.
	alive []string
	// talkOnly peers get calls but no exchanges and no replication messages.
	talkOnly bool
	// toldSpend is the revision of the own spend that it was told.
	toldSpend uint64
	// heard is when it last answered.
	heard time.Time
	// seen is what was taken of the VM's incarnation.
	seen seen
	// listed is when the whole list of VMs was last asked for.
	listed time.Time
	cancel context.CancelFunc
	outbox chan *raft.Message

	mu     sync.Mutex
	conn   *grpc.ClientConn
	misses int
}

func (c *Control) addPeer(ctx context.Context, addr netip.AddrPort, joined bool) {
	if old := c.peers[addr]; addr == c.LinkAddr || (old != nil && !old.talkOnly) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{addr: addr, joined: joined, cancel: cancel, outbox: make(chan *raft.Message, outboxLength)}
	c.peers[addr] = p
	c.group.Go(func() { c.exchangeLoop(ctx, p) })
	c.group.Go(func() { c.deliverLoop(ctx, p) })
}

// discoverPeers links to VMs that were mentioned but are not reached by a joined address, and drops links to VMs gone.
func (c *Control) discoverPeers(ctx context.Context) {
	for _, v := range c.vms.Entries() {
		if c.Discover && v.Name != c.Name && v.LinkAddr.IsValid() && c.exchanges(&v) && c.exchanging(v.Name) == nil && c.triedJoined() {
			c.addPeer(ctx, v.LinkAddr, false)
		}
	}
	for addr, p := range c.peers {
		if !p.joined && (p.self || c.unwanted(p)) {
			p.cancel()
			if p.talkOnly {
				p.close()
			}
			delete(c.peers, addr)
		}
	}
}

// triedJoined reports whether the joined addresses had time to say who they are.
func (c *Control) triedJoined() bool {
	if c.Clock.Now().Sub(c.start) > joinPatience {
		return true
	}
	for _, p := range c.peers {
		if p.joined && !p.answered {
			return false
		}
	}
	return true
}

const joinPatience = 3 * time.Second

// unwanted reports whether a discovered address no longer leads to a VM that needs it.
func (c *Control) unwanted(p *peer) bool {
	for _, v := range c.vms.Entries() {
		if v.LinkAddr == p.addr && v.Name != c.Name {
			return c.peerOf(v.Name) != p
		}
	}
	return true
}

// peerOf returns the link to a VM: a joined address that leads to it, else its own address.
func (c *Control) peerOf(name string) *peer {
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

// exchanging returns the link to a VM that news is exchanged with, or nil.
func (c *Control) exchanging(name string) *peer {
	if p := c.peerOf(name); p != nil && !p.talkOnly {
		return p
	}
	return nil
}

// talk returns a link to a VM for calls.
func (c *Control) talk(name string) *peer {
	if p := c.peerOf(name); p != nil {
		return p
	}
	v := c.vms.Find(name)
	if v == nil || !v.LinkAddr.IsValid() || v.LinkAddr == c.LinkAddr {
		return nil
	}
	p := &peer{addr: v.LinkAddr, name: name, talkOnly: true, cancel: func() {}, outbox: make(chan *raft.Message, 1)}
	c.peers[v.LinkAddr] = p
	return p
}

func (c *Control) exchangeLoop(ctx context.Context, p *peer) {
	for {
		begun := c.Clock.Now()
		c.exchange(ctx, p)
		pause := exchangeInterval
		if begun.Sub(c.start) < startSpan {
			pause = startInterval
		}
		if timer.Wait(ctx, pause-c.Clock.Now().Sub(begun)) != nil {
			p.close()
			return
		}
	}
}

// exchange asks a VM for its news and takes them.
func (c *Control) exchange(ctx context.Context, p *peer) {
	var request *link.ExchangeRequest
	var told uint64
	if c.do(ctx, func() {
		if c.Clock.Now().Sub(p.listed) > listInterval {
			p.listed = c.Clock.Now()
			p.seen.others = 0
		}
		request = &link.ExchangeRequest{
			Sender: c.self(), ReceiverIncarnation: p.seen.incarnation,
			SpendSince: p.seen.spend, EndpointsSince: p.seen.endpoints, OthersSince: p.seen.others,
		}
		request.Spend, told = c.ownSpend(p.toldSpend)
	}) != nil {
		return
	}
	asked := c.Clock.Now()
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := p.client().Exchange(call, request)
	if p.count(err) {
		c.Log.Log(event.LinkReset, "peer", p.addr.String())
	}
	if err != nil {
		return
	}
	newer := false
	err = c.do(ctx, func() {
		c.takeReply(p, asked, reply)
		p.toldSpend = told
		newer = reply.Sender.GetDocumentVersion() > c.stored.GetVersion()
	})
	if err == nil && newer {
		c.fetchDocument(call, p)
	}
}

func (c *Control) fetchDocument(ctx context.Context, p *peer) {
	reply, err := p.client().FetchDocument(ctx, &link.FetchDocumentRequest{})
	if err != nil || reply.Document == nil {
		return
	}
	_ = c.do(ctx, func() { c.adopt(reply.Document) })
}

func (c *Control) takeReply(p *peer, asked time.Time, r *link.ExchangeReply) {
	now := c.Clock.Now()
	p.answered = true
	p.heard = now
	p.name = r.Sender.GetName()
	p.advertised, _ = netip.ParseAddrPort(r.Sender.GetLinkAddr())
	if p.name == c.Name {
		p.self = true
		return
	}
	c.hear(now, r.Sender, asked)
	for _, v := range r.Others {
		if v.Name != c.Name {
			c.hear(now, v, asked.Add(-time.Duration(v.AgeMs)*time.Millisecond))
		} else if v.Incarnation > c.Incarnation {
			// The clock went back between two starts; the others would ignore this one as the older.
			c.Incarnation = v.Incarnation + 1
		}
	}
	p.noteAlive(r.Others)
	c.confirm(now, p)
	c.takeRelayed(asked, r.Endpoints)
	c.takeGroup(r.Group)
	c.mergeSpend(r.Spend)
	p.seen = seen{r.Sender.GetIncarnation(), r.SpendRevision, r.EndpointsRevision, r.OthersRevision}
	if !c.takeRenewals(asked, r.Renewals) {
		p.seen.endpoints = 0
	}
}

// hear takes news of a VM. News by way of another VM keep it known but do not count as hearing it.
func (c *Control) hear(now time.Time, v *link.VM, at time.Time) {
	e := vmEntry(v)
	e.Mentioned = at
	if v.AgeMs == 0 {
		e.Heard = now
	}
	if c.vms.Hear(now, e) {
		c.dirty = true
		c.Log.Log(event.VMHeard, "peer", e.Name, "data_centre", e.DataCentre, "incarnation", e.Incarnation)
	}
}

// heardOthers reports whether every joined address answered, or had time enough to.
func (c *Control) heardOthers(now time.Time) bool {
	if now.Sub(c.start) < minimumWarmUp {
		return false
	}
	if now.Sub(c.start) > maximumWarmUp {
		return true
	}
	for _, p := range c.peers {
		if p.joined && !p.answered {
			return false
		}
	}
	return true
}

// A restarted VM is ready only once endpoints had time to announce themselves, to it or to others.
const (
	minimumWarmUp = 2 * time.Second
	maximumWarmUp = 4 * time.Second
)
