package workspace

import "time"

// Timing of shares. Without a grant a VM uses its floor. A grant is valid for LeaseDuration from the time of its request,
// and may be less than the floor if another VM needs more. If no newer one arrives, the VM uses the lower of grant and
// floor for LeaseGrace, and then its floor. By then the broker has deducted the floor from the shares of the other VMs.
const (
	LeaseDuration = 3 * time.Second
	LeaseGrace    = 2 * time.Second
	// LeaseSlack is how much longer than LeaseDuration the broker counts a grant as used.
	LeaseSlack = 500 * time.Millisecond
	// RequestInterval is the interval at which a VM requests its shares.
	RequestInterval = 500 * time.Millisecond
)

// FloorShare is the fraction of a limit that all VMs together may use without a grant, divided into equal floors.
const FloorShare = 0.5

// Amount is an amount of a workspace's limits.
type Amount struct {
	// Rate is in requests per second.
	Rate float64
	// Slots is the number of concurrent requests.
	Slots int
}

// Demand is a VM's request for its share of a workspace's limits.
type Demand struct {
	Workspace string
	// Rate is the number of requests that arrive per second, Concurrency the peak of concurrent ones, admitted or not.
	Rate        float64
	Concurrency int
	// Held is what the VM may use until it has the grant. Held.Slots is at least the number of running requests.
	Held Amount
}

// Grant is the share of a workspace's limits that a VM may use.
type Grant struct {
	Workspace string
	Amount
}

// floor returns what each of n VMs may use without a grant.
func floor(limit Amount, n int) Amount {
	n = max(n, 1)
	return Amount{Rate: limit.Rate * FloorShare / float64(n), Slots: int(float64(limit.Slots) * FloorShare / float64(n))}
}

// minAmount returns the minimum of each field.
func minAmount(a, b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Slots: min(a.Slots, b.Slots)}
}

// maxAmount returns the maximum of each field.
func maxAmount(a, b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Slots: max(a.Slots, b.Slots)}
}
