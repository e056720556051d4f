// Package rendezvous lets VMs that know the same members choose the same one for a key without asking each other: the
// member of the greatest weight. A member that comes or goes moves only its own keys.
package rendezvous

import "hash/fnv"

// Key returns the key of a text.
func Key(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// Weight returns the weight of a member for a key; it is above 0 but for one key in 2^64.
func Weight(key uint64, member string) uint64 {
	// FNV's high bits differ little between short names that end alike, so all bits are mixed.
	x := Key(member) ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
