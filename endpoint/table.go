// Package endpoint implements the table of announced endpoints, each of which holds a lease.
package endpoint

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitplank"
)

// Source says whether an announcement reached this VM directly or through another VM.
type Source int

// The sources of an announcement.
const (
	// Direct announcements were sent to this VM by the endpoint.
	Direct Source = iota
	// Relayed announcements were received from another VM.
	Relayed
)

// Entry holds the newest announcement of an endpoint and its lease.
type Entry struct {
	godwitplank.Announcement
	TokenSHA256 string
	Addr        netip.AddrPort
	// Expires is the end of the lease, by this VM's clock.
	Expires time.Time
	Source  Source
	// Revision is the table's revision at the endpoint's last change that affects routing, Renewal its count of renewals
	// at the last announcement.
	Revision uint64
	Renewal  uint64
	// ColdUntil is when the endpoint stops being cold as the newest announcement that stated it says, by this VM's clock; zero if
	// none of this incarnation did.
	ColdUntil time.Time
	// OfService is true for an endpoint of a service. Unlike pools, services admit every endpoint.
	OfService bool
	// ConflictWith is the address of another machine that announces the same id, or the other id that is announced at the
	// same address.
	ConflictWith string
	// ConflictUntil is the time until which operators are shown ConflictWith, by this VM's clock.
	ConflictUntil time.Time
}

// AnnounceResult is the outcome of Announce.
type AnnounceResult int

// The outcomes of Announce.
const (
	// Stale announcements are not newer than the known one and have no effect.
	Stale AnnounceResult = iota
	// Renewed announcements only update the lease and the load.
	Renewed
	// Changed announcements add an endpoint, revive an expired one or change what affects routing.
	Changed
	// Conflict announcements come from a second machine with the same id, or give another id for an address in use. They
	// are rejected.
	Conflict
)

// Table holds the newest announcement of each endpoint. The zero value is empty.
type Table struct {
	entries   map[string]*Entry
	idsByAddr map[netip.AddrPort]string
	revision  uint64
	renewals  uint64
	// sorted holds the entries by id; nil after a change.
	sorted []*Entry
}

// Announce merges an announcement whose lease has the given remaining time.
func (t *Table) Announce(now time.Time, update Entry, remaining time.Duration) AnnounceResult {
	if t.entries == nil {
		t.entries = make(map[string]*Entry)
		t.idsByAddr = make(map[netip.AddrPort]string)
	}
	if holder := t.entries[t.idsByAddr[update.Addr]]; holder != nil && holder.EndpointID != update.EndpointID && now.Before(holder.Expires) && !holder.Leaving {
		switch {
		case !holder.OfService:
			return t.recordConflict(now, holder, update.EndpointID)
		case update.Incarnation < holder.Incarnation:
			return Stale
		}
		// The address was reassigned to another endpoint, so its previous holder is gone.
		t.MarkLeaving(holder.EndpointID)
	}
	current := t.entries[update.EndpointID]
	if current != nil {
		if fromOtherMachine(now, current, &update) {
			return t.recordConflict(now, current, update.Address)
		}
		if isStale(current, &update) {
			// A departure is final for its incarnation, so its order among the announcements does not matter.
			if update.Leaving && update.Incarnation == current.Incarnation {
				if _, changed := t.MarkLeaving(update.EndpointID); changed {
					return Changed
				}
			}
			return Stale
		}
		update.Leaving = update.Leaving || (update.Incarnation == current.Incarnation && current.Leaving)
		update.ConflictWith, update.ConflictUntil = current.ConflictWith, current.ConflictUntil
		if update.Incarnation == current.Incarnation {
			update.ColdUntil = current.ColdUntil
		}
		if current.Addr != update.Addr {
			delete(t.idsByAddr, current.Addr)
		}
	}
	if update.ColdMS != nil {
		update.ColdUntil = now.Add(time.Duration(min(max(*update.ColdMS, 0), MaxCold.Milliseconds())) * time.Millisecond)
	}
	update.Expires = now.Add(remaining)
	t.renewals++
	update.Renewal = t.renewals
	t.put(&update)
	t.idsByAddr[update.Addr] = update.EndpointID
	if current != nil && now.Before(current.Expires) && sameRouting(current, &update) && !coldChanged(now, current, &update) {
		update.Revision = current.Revision
		return Renewed
	}
	t.revision++
	update.Revision = t.revision
	return Changed
}

// MarkLeaving marks an endpoint as draining (the field Leaving) until its next incarnation. It reports whether the
// endpoint is known, and whether it was not draining yet.
func (t *Table) MarkLeaving(id string) (known, changed bool) {
	current := t.entries[id]
	if current == nil || current.Leaving {
		return current != nil, false
	}
	marked := *current
	marked.Leaving = true
	// The mark has to be newer than the announcement that other VMs have.
	marked.Sequence++
	marked.Source = Direct
	t.revision++
	marked.Revision = t.revision
	t.put(&marked)
	return true, true
}

// RecordDeparture marks an endpoint as draining whose departure was recorded, with its last announcement. An endpoint that
// this table does not know is added, so that other VMs learn of its departure; a later incarnation is not affected. It
// reports whether the table changed.
func (t *Table) RecordDeparture(now time.Time, departed Entry, lease time.Duration) bool {
	current := t.entries[departed.EndpointID]
	if current != nil && current.Incarnation >= departed.Incarnation {
		if current.Incarnation > departed.Incarnation {
			return false
		}
		_, changed := t.MarkLeaving(departed.EndpointID)
		return changed
	}
	if holder := t.entries[t.idsByAddr[departed.Addr]]; holder != nil && holder.EndpointID != departed.EndpointID {
		return false // the address was reassigned
	}
	departed.Leaving, departed.Source = true, Direct
	return t.Announce(now, departed, lease) == Changed
}

// put stores an entry. Entries are replaced and never changed, since published views refer to them.
func (t *Table) put(e *Entry) {
	t.entries[e.EndpointID] = e
	t.sorted = nil
}

// fromOtherMachine reports whether update comes from a second machine with the same id while the lease of current is
// valid. A newer incarnation is a restart; an older one that still announces itself is a second machine.
func fromOtherMachine(now time.Time, current, update *Entry) bool {
	if update.Address == current.Address || update.Source != Direct || now.After(current.Expires) {
		return false
	}
	return update.Incarnation == current.Incarnation || (update.Incarnation < current.Incarnation && !update.Leaving)
}

// isStale reports whether update is not newer than current, by incarnation and sequence. With equal sequences, only a
// direct announcement replaces a relayed one.
func isStale(current, update *Entry) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation < current.Incarnation
	}
	if update.Sequence != current.Sequence {
		return update.Sequence < current.Sequence
	}
	return update.Source == Relayed || current.Source == Direct
}

// recordConflict stores the conflicting address or id in a copy of holder's entry, since published entries must not
// change.
func (t *Table) recordConflict(now time.Time, holder *Entry, conflictWith string) AnnounceResult {
	marked := *holder
	marked.ConflictWith = conflictWith
	marked.ConflictUntil = now.Add(godwitplank.LeaseDuration)
	t.put(&marked)
	return Conflict
}

// sameRouting reports whether nothing that affects routing differs, so that an update is a renewal.
func sameRouting(a, b *Entry) bool {
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Address == b.Address && a.Pool == b.Pool &&
		a.Slots == b.Slots && a.DataCentre == b.DataCentre && slices.Equal(a.Models, b.Models) &&
		a.TokenSHA256 == b.TokenSHA256 && a.ConflictWith == b.ConflictWith
}

// ColdLeft returns how long the endpoint stays cold, at least 0, and false if no announcement stated it.
func (e *Entry) ColdLeft(now time.Time) (time.Duration, bool) {
	return max(0, e.ColdUntil.Sub(now)), !e.ColdUntil.IsZero()
}

// coldTolerance is by how much the ends of a cold period differ that successive announcements of it give, since each is late by
// another time.
const coldTolerance = 250 * time.Millisecond

// coldChanged reports whether an update says that the endpoint is cold for longer or for less time than was known.
func coldChanged(now time.Time, current, update *Entry) bool {
	before, _ := current.ColdLeft(now)
	after, _ := update.ColdLeft(now)
	return (after - before).Abs() > coldTolerance
}

// Revision returns a number that grows with every change that affects routing.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Renewals returns the number of announcements that the table accepted.
func (t *Table) Renewals() uint64 {
	return t.renewals
}

// Find returns an endpoint by id, or nil. The caller must not modify the entry.
func (t *Table) Find(id string) *Entry {
	return t.entries[id]
}

// Expire returns the entries whose lease ended after last and not after now, and removes those whose lease ended more
// than retention ago.
func (t *Table) Expire(last, now time.Time, retention time.Duration) []*Entry {
	var expired []*Entry
	for id, e := range t.entries {
		if e.Expires.After(last) && !e.Expires.After(now) {
			expired = append(expired, e)
		}
		if now.Sub(e.Expires) > retention {
			delete(t.entries, id)
			t.sorted = nil
			if t.idsByAddr[e.Addr] == id {
				delete(t.idsByAddr, e.Addr)
			}
		}
	}
	return expired
}

// Entries returns all entries, sorted by id. The caller must not modify them.
func (t *Table) Entries() []*Entry {
	if t.sorted == nil {
		t.sorted = slices.SortedFunc(maps.Values(t.entries), func(a, b *Entry) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	}
	return t.sorted
}

// All returns the entries in no particular order. The caller must not modify them.
func (t *Table) All() iter.Seq[*Entry] {
	return maps.Values(t.entries)
}
