package control

import (
	"time"

	"godwitplank/link"
	"godwitplank/vm"
)

// exchanges reports whether this VM exchanges news with another one.
func (c *Control) exchanges(v *vm.Entry) bool {
	return !c.HubsOnly || v.ReplicaID != ""
}

// noteAlive keeps which VMs a hub says are alive.
func (p *peer) noteAlive(others []*link.VM) {
	if len(others) == 0 {
		return
	}
	p.alive = p.alive[:0]
	for _, v := range others {
		if time.Duration(v.AgeMs)*time.Millisecond < vm.AliveFor {
			p.alive = append(p.alive, v.Name)
		}
	}
}

// confirm takes a hub's word for the VMs that this one exchanges no news with.
func (c *Control) confirm(now time.Time, p *peer) {
	if !c.HubsOnly {
		return
	}
	for _, name := range p.alive {
		if v := c.vms.Find(name); v != nil && !c.exchanges(v) {
			c.vms.Confirm(now, name)
		}
	}
}

// keepAlive holds on to what was known while no hub answers: the other VMs are not lost only because the hubs are.
func (c *Control) keepAlive(now time.Time) {
	if !c.HubsOnly {
		return
	}
	for _, p := range c.peers {
		if !p.talkOnly && now.Sub(p.heard) < vm.AliveFor {
			return
		}
	}
	for _, p := range c.peers {
		c.confirm(now, p)
	}
}

// ownSpend returns the counters of this VM that changed since a revision, where nobody asks for them.
func (c *Control) ownSpend(since uint64) ([]*link.SpendLine, uint64) {
	if !c.HubsOnly || c.Folder != nil {
		return nil, since
	}
	c.countOwn()
	lines, revision := c.book.Since(since)
	own := lines[:0]
	for _, l := range lines {
		if l.VM == c.Name {
			own = append(own, l)
		}
	}
	return spendLines(own), revision
}
