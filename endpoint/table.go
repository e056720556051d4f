// Package endpoint keeps the endpoints that announce themselves, each under a lease.
package endpoint

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitplank"
)

// Source says how a VM learned of an announcement.
type Source int

// The sources of an announcement.
const (
	// Direct announcements came from the endpoint itself.
	Direct Source = iota
	// Relayed announcements came from another VM.
	Relayed
)

// Entry is what a VM knows of one endpoint.
type Entry struct {
	godwitplank.Announcement
	TokenSHA256 string
	Addr        netip.AddrPort
	// Heard is when the endpoint was last heard, by this VM's clock.
	Heard time.Time
	// Expires is the end of the lease, by this VM's clock.
	Expires time.Time
	Source  Source
	// Revision is the table's revision at the last change that a router sees.
	Revision uint64
	// Open entries belong to a service that admits every endpoint.
	Open bool
	// Claimant names another machine that announces the same id, or another id at the same address.
	Claimant string
	// ClaimedUntil is how long Claimant is shown, by this VM's clock.
	ClaimedUntil time.Time
}

// Verdict says what became of an announcement.
type Verdict int

// The verdicts on an announcement.
const (
	// Stale announcements are older than what is known.
	Stale Verdict = iota
	// Renewed announcements extend a lease.
	Renewed
	// Changed announcements are new, or change what a router sees.
	Changed
	// Clash announcements come from a second machine with the same id.
	Clash
)

// Table holds the newest announcement of each endpoint. The zero value is empty.
type Table struct {
	entries map[string]*Entry
	holders map[netip.AddrPort]string
	// revision grows with every change that a router sees.
	revision uint64
}

// Announce takes an announcement with what is left of its lease.
func (t *Table) Announce(now time.Time, next Entry, left time.Duration) Verdict {
	if t.entries == nil {
		t.entries = make(map[string]*Entry)
		t.holders = make(map[netip.AddrPort]string)
	}
	if holder := t.entries[t.holders[next.Addr]]; holder != nil && holder.EndpointID != next.EndpointID && now.Before(holder.Expires) && !holder.Leaving {
		switch {
		case !holder.Open:
			return t.clash(now, holder, next.EndpointID)
		case next.Incarnation < holder.Incarnation:
			return Stale
		}
		// The address was given to another endpoint, so that the one before it is gone.
		t.Leave(holder.EndpointID)
	}
	old := t.entries[next.EndpointID]
	if old != nil {
		if otherMachine(now, old, &next) {
			return t.clash(now, old, next.Address)
		}
		if stale(old, &next) {
			return Stale
		}
		next.Leaving = next.Leaving || (next.Incarnation == old.Incarnation && old.Leaving)
		next.Claimant, next.ClaimedUntil = old.Claimant, old.ClaimedUntil
		delete(t.holders, old.Addr)
	}
	next.Expires = now.Add(left)
	next.Heard = next.Expires.Add(-godwitplank.LeaseDuration)
	t.entries[next.EndpointID] = &next
	t.holders[next.Addr] = next.EndpointID
	if old != nil && now.Before(old.Expires) && sameToRouter(old, &next) {
		next.Revision = old.Revision
		return Renewed
	}
	t.revision++
	next.Revision = t.revision
	return Changed
}

// Leave marks an endpoint as leaving for its incarnation. It reports whether the endpoint is known, and whether that is news.
func (t *Table) Leave(id string) (known, changed bool) {
	old := t.entries[id]
	if old == nil || old.Leaving {
		return old != nil, false
	}
	next := *old
	next.Leaving = true
	// The mark has to be newer than the announcement that other VMs have.
	next.Sequence++
	next.Source = Direct
	t.revision++
	next.Revision = t.revision
	t.entries[id] = &next
	return true, true
}

// otherMachine reports whether next comes from a second live machine with the id of old.
// A newer incarnation is a restart; an older one that still announces itself is a second machine.
func otherMachine(now time.Time, old, next *Entry) bool {
	if next.Address == old.Address || next.Source != Direct || now.After(old.Expires) {
		return false
	}
	return next.Incarnation == old.Incarnation || (next.Incarnation < old.Incarnation && !next.Leaving)
}

// stale reports whether next brings nothing newer than old.
func stale(old, next *Entry) bool {
	if next.Incarnation != old.Incarnation {
		return next.Incarnation < old.Incarnation
	}
	if next.Sequence != old.Sequence {
		return next.Sequence < old.Sequence
	}
	return next.Source == Relayed || old.Source == Direct
}

func (t *Table) clash(now time.Time, held *Entry, claimant string) Verdict {
	shown := *held
	shown.Claimant = claimant
	shown.ClaimedUntil = now.Add(godwitplank.LeaseDuration)
	t.entries[held.EndpointID] = &shown
	return Clash
}

// sameToRouter reports whether only the lease and the load differ.
func sameToRouter(a, b *Entry) bool {
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Address == b.Address && a.Pool == b.Pool &&
		a.Slots == b.Slots && a.DataCentre == b.DataCentre && slices.Equal(a.Models, b.Models) &&
		a.TokenSHA256 == b.TokenSHA256 && a.Claimant == b.Claimant
}

// Revision grows with every change that a router sees.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Find returns an endpoint, or nil. It must not be changed.
func (t *Table) Find(id string) *Entry {
	return t.entries[id]
}

// Expire drops the entries whose lease ended longer ago than keep, and returns those whose lease ended since the last call.
func (t *Table) Expire(last, now time.Time, keep time.Duration) []*Entry {
	var ended []*Entry
	for id, e := range t.entries {
		if e.Expires.After(last) && !e.Expires.After(now) {
			ended = append(ended, e)
		}
		if now.Sub(e.Expires) > keep {
			delete(t.entries, id)
			if t.holders[e.Addr] == id {
				delete(t.holders, e.Addr)
			}
		}
	}
	return ended
}

// Entries returns all entries by id. They must not be changed.
func (t *Table) Entries() []*Entry {
	out := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Entry) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	return out
}
