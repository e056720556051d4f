// Package cold limits the calls to endpoints that have just started and tolerate few of them. The VMs send no messages for that:
// each derives its share from the VMs that it knows. The package performs no I/O and reads no clock.
package cold

import (
	"math"
	"strconv"

	"godwitplank/rendezvous"
)

// Limit is the number of calls that a cold endpoint may get in any one second: PerSecond x Excess + Slack.
type Limit struct {
	// PerSecond is the number of calls per second that the endpoint tolerates.
	PerSecond float64
	Excess    float64
	Slack     float64
}

// views is the number of different views that VMs may have at the same time, for example during a network partition. The VMs of
// each view send up to Rate calls.
const views = 2

// maxRate bounds Rate, so that it fits an int on every platform.
const maxRate = 1 << 20

// Bound returns the largest number of calls in any one second.
func (l Limit) Bound() float64 {
	return l.PerSecond*l.Excess + l.Slack
}

// Rate returns the number of calls per second that all VMs with the same view send together. It is 0 if not even one call is
// permitted.
func (l Limit) Rate() int {
	rate := min(l.PerSecond, l.Bound()/views, maxRate)
	if math.IsNaN(rate) || rate < 1 {
		return 0
	}
	return int(rate)
}

// callsPerSender is the number of calls per second of each VM that may send. A larger number gives fewer VMs a call, a smaller one
// delays each of them more.
const callsPerSender = 3

// Endpoint identifies an incarnation of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
}

// Share returns how many of rate calls per second a VM may send to a cold endpoint, 0 if it may send none. The shares of all members
// add up to rate. The first members by rendezvous hashing get one, in equal parts, whatever their data centre.
func Share(rate int, e Endpoint, members []string, self string) int {
	if rate <= 0 || len(members) == 0 {
		return 0
	}
	// Few members get more each, so that their shares still add up to rate.
	each := max(callsPerSender, (rate+len(members)-1)/len(members))
	key := rendezvous.Key(e.ID + "/" + strconv.FormatUint(e.Incarnation, 10))
	own := rendezvous.Weight(key, self)
	rank, member := 0, false
	for _, name := range members {
		if name == self {
			member = true
			continue
		}
		weight := rendezvous.Weight(key, name)
		if weight > own || (weight == own && name < self) {
			rank++
		}
		if rank*each >= rate {
			return 0
		}
	}
	if !member {
		return 0
	}
	return min(each, rate-rank*each)
}
