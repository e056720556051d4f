package workspace

import "time"

// headroomFactor is the ratio of a grant to the VM's demand, if the limit suffices.
const headroomFactor = 1.25

// Broker divides the limits of workspaces among the VMs. It runs on the leader. Call Reset before RequestGrants. It is
// not safe for concurrent use.
type Broker struct {
	startedAt   time.Time
	lastRequest map[string]time.Time         // by VM
	leases      map[string]map[string]*lease // by workspace and VM
}

// lease is the part of a workspace's limits that a VM may be using.
type lease struct {
	amount    Amount
	demand    Demand
	grantedAt time.Time
}

// Reset drops all leases, since a new leader does not know what the previous one granted.
func (b *Broker) Reset(now time.Time) {
	*b = Broker{startedAt: now, lastRequest: make(map[string]time.Time), leases: make(map[string]map[string]*lease)}
}

// RequestGrants returns the grants of a VM: one for each demand, and one for each other workspace whose demand on other VMs
// requires this VM to give up its floor. vms are the VMs that may be using shares, including the requesting one. limits
// returns the limits of a workspace, zero if it does not exist.
func (b *Broker) RequestGrants(now time.Time, vm string, vms []string, limits func(workspace string) Amount, demands []Demand) []Grant {
	b.lastRequest[vm] = now
	leasesKnown := b.LeasesKnown(now, vms)
	grants := make([]Grant, 0, len(demands))
	requested := make(map[string]bool, len(demands))
	for _, d := range demands {
		requested[d.Workspace] = true
		grants = append(grants, b.grant(now, vm, vms, limits(d.Workspace), d, leasesKnown))
	}
	for name := range b.leases {
		limit := limits(name)
		if requested[name] {
			continue
		}
		delete(b.leases[name], vm) // without a demand, the VM uses its floor
		if b.oversubscribed(now, vm, name, limit) {
			d := Demand{Workspace: name, Held: floor(limit, len(vms))}
			grants = append(grants, b.grant(now, vm, vms, limit, d, leasesKnown))
		}
	}
	return grants
}

// grant returns the share of a VM for a demand and records its lease. Until all leases are known, the VM keeps what it
// holds, within the limit.
func (b *Broker) grant(now time.Time, vm string, vms []string, limit Amount, d Demand, leasesKnown bool) Grant {
	amount := minAmount(d.Held, limit)
	if leasesKnown {
		amount = b.allocate(now, vm, vms, limit, d)
	}
	b.record(vm, d.Workspace, &lease{amount: maxAmount(amount, d.Held), demand: d, grantedAt: now})
	return Grant{Workspace: d.Workspace, Amount: amount}
}

// LeasesKnown reports whether every grant of an earlier leader has expired or been reported by its VM since Reset.
func (b *Broker) LeasesKnown(now time.Time, vms []string) bool {
	return now.Sub(b.startedAt) > LeaseDuration+LeaseGrace || len(b.Unreported(vms)) == 0
}

// Unreported returns the VMs that have not requested their shares since Reset, so that what they hold of an earlier leader's grants
// is unknown.
func (b *Broker) Unreported(vms []string) []string {
	var out []string
	for _, vm := range vms {
		if _, ok := b.lastRequest[vm]; !ok {
			out = append(out, vm)
		}
	}
	return out
}

// Age returns the time since Reset.
func (b *Broker) Age(now time.Time) time.Duration {
	return now.Sub(b.startedAt)
}

// allocate returns the VM's demand with headroom, or its share in proportion to demand if the total demand exceeds the
// limit, and never more than what the other VMs leave.
func (b *Broker) allocate(now time.Time, vm string, vms []string, limit Amount, d Demand) Amount {
	vmFloor := floor(limit, len(vms))
	inUse, totalRate, totalConcurrency := Amount{}, d.Rate, d.Concurrency
	for _, other := range vms {
		if other == vm {
			continue
		}
		used, demand := b.usedBy(now, other, d.Workspace, vmFloor)
		inUse.Rate += used.Rate
		inUse.Slots += used.Slots
		totalRate += demand.Rate
		totalConcurrency += demand.Concurrency
	}
	target := maxAmount(vmFloor, Amount{Rate: d.Rate * headroomFactor, Slots: d.Concurrency + 1 + d.Concurrency/4})
	if totalRate*headroomFactor > limit.Rate-vmFloor.Rate {
		target.Rate = limit.Rate * d.Rate / totalRate
	}
	if totalConcurrency > limit.Slots-vmFloor.Slots {
		target.Slots = (limit.Slots*d.Concurrency + totalConcurrency - 1) / totalConcurrency
	}
	available := Amount{Rate: max(0, limit.Rate-inUse.Rate), Slots: max(0, limit.Slots-inUse.Slots)}
	return minAmount(target, available)
}

// oversubscribed reports whether the demand of the other VMs, with headroom, exceeds what the floors leave of the
// limit, so that idle VMs have to give up their floors.
func (b *Broker) oversubscribed(now time.Time, vm, workspace string, limit Amount) bool {
	rate, concurrency := 0.0, 0
	for other, l := range b.leases[workspace] {
		if other != vm && now.Sub(l.grantedAt) <= LeaseDuration+LeaseSlack {
			rate += l.demand.Rate
			concurrency += l.demand.Concurrency
		}
	}
	return rate*headroomFactor > limit.Rate*(1-FloorShare) || float64(concurrency)*headroomFactor > float64(limit.Slots)*(1-FloorShare)
}

// usedBy returns what another VM may be using: the amount of its lease until that expires, then its floor.
func (b *Broker) usedBy(now time.Time, vm, workspace string, floor Amount) (Amount, Demand) {
	l := b.leases[workspace][vm]
	if l == nil || now.Sub(l.grantedAt) > LeaseDuration+LeaseSlack {
		return floor, Demand{}
	}
	return l.amount, l.demand
}

// record stores the lease of a VM.
func (b *Broker) record(vm, workspace string, l *lease) {
	if b.leases[workspace] == nil {
		b.leases[workspace] = make(map[string]*lease)
	}
	b.leases[workspace][vm] = l
}
