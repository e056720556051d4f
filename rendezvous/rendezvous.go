// Package rendezvous implements rendezvous (highest random weight) hashing: VMs with the same list of members select
// the same member for a key without coordination, the one with the highest weight. When a member joins or leaves, only
// the keys assigned to it move.
package rendezvous

import "hash/fnv"

// Key hashes text to a key.
func Key(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// First returns the member with the highest weight for a key, empty if there are no members.
func First(key uint64, members []string) string {
	best, bestWeight := "", uint64(0)
	for _, m := range members {
		if weight := Weight(key, m); best == "" || weight > bestWeight {
			best, bestWeight = m, weight
		}
	}
	return best
}

// Weight returns the weight of a member for a key. It is 0 for only one key in 2^64.
func Weight(key uint64, member string) uint64 {
	// The high bits of FNV differ little between short names with the same ending, so all bits are mixed.
	x := Key(member) ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank returns the number of members with a higher weight for a key than a member has, -1 if it is no member.
func Rank(key uint64, members []string, member string) int {
	own := Weight(key, member)
	rank, found := 0, false
	for _, m := range members {
		if m == member {
			found = true
			continue
		}
		if weight := Weight(key, m); weight > own || (weight == own && m < member) {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}
