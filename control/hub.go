package control

import (
	"time"

	"godwitplank/link"
	"godwitplank/vm"
)

// exchangesWith reports whether this VM exchanges state with VM v: with HubsOnly, only if v has a data folder.
func (c *Control) exchangesWith(v *vm.Entry) bool {
	return !c.HubsOnly || v.ReplicaID != ""
}

// recordAlive records which VMs the peer reports as alive: all of them if complete is true, else those that changed.
func (p *peer) recordAlive(others []*link.VM, complete bool) {
	if complete || p.aliveVMs == nil {
		p.aliveVMs = make(map[string]bool, len(others))
	}
	for _, v := range others {
		if time.Duration(v.AgeMs)*time.Millisecond < vm.AliveTimeout {
			p.aliveVMs[v.Name] = true
		} else {
			delete(p.aliveVMs, v.Name)
		}
	}
}

// markReportedAlive marks the VMs alive that a hub reports as alive and that this VM does not exchange state with.
func (c *Control) markReportedAlive(now time.Time, p *peer) {
	if !c.HubsOnly {
		return
	}
	for name := range p.aliveVMs {
		if v := c.vms.Find(name); v != nil && !c.exchangesWith(v) {
			c.vms.MarkAlive(now, name)
		}
	}
}

// holdLiveness keeps the last reported VMs alive while no hub replies: a hub outage must not make other VMs look lost.
func (c *Control) holdLiveness(now time.Time) {
	if !c.HubsOnly {
		return
	}
	for _, p := range c.peers {
		if !p.callsOnly && now.Sub(p.lastReplyAt) < vm.AliveTimeout {
			return
		}
	}
	for _, p := range c.peers {
		c.markReportedAlive(now, p)
	}
}

// localSpendSince returns this VM's own counters that changed after a revision, and the current revision. It returns
// none if other VMs poll this one for them.
func (c *Control) localSpendSince(since uint64) ([]*link.SpendLine, uint64) {
	if !c.HubsOnly || c.Folder != nil {
		return nil, since
	}
	c.mergeLocalSpend()
	lines, revision := c.spendCounters.ChangedSince(since)
	local := lines[:0]
	for _, l := range lines {
		if l.VM == c.Name {
			local = append(local, l)
		}
	}
	return encodeSpend(local), revision
}
