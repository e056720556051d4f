// Package quota keeps the calls of all VMs to an endpoint within the rate that the endpoint states. The VMs send no messages for
// each call: a few VMs share the rate, and each derives its part from the VMs that it knows. The package performs no I/O and
// reads no clock.
package quota

import (
	"math"
	"strconv"

	"godwitplank/rendezvous"
)

const (
	// callsPerSender is the number of calls per second of each VM that sends. A larger number gives fewer VMs a call, a smaller one
	// delays each of them more.
	callsPerSender = 5
	// During a network partition two groups of VMs have different views, and each group sends the whole rate. Both together
	// stay within one and a half times the limit if that is the rate up to smallLimit, and a part of what is above it.
	smallLimit = 1.25
	partAbove  = 0.7
)

// Rate returns the number of calls per second that the VMs with the same view send together to an endpoint with a limit.
func Rate(limit float64) float64 {
	return min(limit, smallLimit) + partAbove*max(0, limit-smallLimit)
}

// Share returns the number of calls per second that a VM may send to an endpoint with a limit, 0 if it may send none. The shares of
// all members add up to Rate. The first members by rendezvous hashing get one, in equal parts.
func Share(limit float64, endpointID string, incarnation uint64, members []string, self string) float64 {
	senders := min(len(members), max(1, int(math.Ceil(min(limit, math.MaxInt32)/callsPerSender))))
	key := rendezvous.Key(endpointID + "/" + strconv.FormatUint(incarnation, 10))
	if rank := rendezvous.Rank(key, members, self); rank < 0 || rank >= senders {
		return 0
	}
	return Rate(limit) / float64(senders)
}
