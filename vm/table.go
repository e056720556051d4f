// Package vm implements the table of the VMs that a VM knows, with their liveness.
package vm

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// AliveTimeout is how long a VM counts as alive after its last message.
const AliveTimeout = 2 * time.Second

// PruneAfter is how long a lost VM stays in the table. It is not removed sooner because it may only be partitioned from
// this VM and still use its minimum share of the workspaces' limits.
const PruneAfter = 2 * time.Hour

// Entry describes one VM.
type Entry struct {
	Name            string
	Incarnation     uint64
	DataCentre      string
	LinkAddr        netip.AddrPort
	OperatorsAddr   netip.AddrPort
	CallersAddr     netip.AddrPort
	ReplicaID       string
	DocumentVersion uint64
	Stopping        bool
	// Capacity is the VM's CPU capacity in cores, 0 if unknown.
	Capacity float64
	// LastSeen is the time of the VM's own last message or of the last MarkAlive for it, by the clock of the VM that
	// holds the table.
	LastSeen time.Time
	// LastReported is when any VM last received a message from it, as far as this VM knows.
	LastReported time.Time

	// Revision is the table's revision at the last change of this entry that other VMs have to learn of.
	Revision uint64

	// wasAlive is whether the VM was alive when the table last checked or updated it.
	wasAlive bool
}

// Alive reports whether LastSeen is less than AliveTimeout ago.
func (e *Entry) Alive(now time.Time) bool {
	return now.Sub(e.LastSeen) < AliveTimeout
}

// Table holds the newest incarnation of each VM. The zero value is empty.
type Table struct {
	entries  map[string]*Entry
	revision uint64
	// sorted holds the entries by name; nil after a VM was added or removed.
	sorted []*Entry
}

// Revision returns a number that grows whenever a VM is added, restarts, begins to stop, becomes alive or is lost.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Merge adds a VM, or merges a description of it that the VM itself or another one sent. Older incarnations are ignored,
// and within an incarnation Stopping stays set. It reports whether the VM became alive.
func (t *Table) Merge(now time.Time, update Entry) bool {
	if t.entries == nil {
		t.entries = make(map[string]*Entry)
	}
	current := t.entries[update.Name]
	update.wasAlive = update.Alive(now)
	if current == nil {
		t.entries[update.Name] = &update
		t.sorted = nil
		t.recordChange(&update)
		return update.wasAlive
	}
	if update.Incarnation < current.Incarnation {
		return false
	}
	sameIncarnation := update.Incarnation == current.Incarnation
	if sameIncarnation && update.LastSeen.Before(current.LastSeen) {
		current.LastReported = later(current.LastReported, update.LastReported)
		if update.Stopping && !current.Stopping {
			current.Stopping = true
			t.recordChange(current)
		}
		return false
	}
	if sameIncarnation {
		update.DocumentVersion = max(update.DocumentVersion, current.DocumentVersion)
		update.Stopping = update.Stopping || current.Stopping
		update.LastReported = later(current.LastReported, update.LastReported)
	}
	changed := !sameIncarnation || update.wasAlive != current.wasAlive || update.Stopping != current.Stopping
	becameAlive := update.wasAlive && (!sameIncarnation || !current.wasAlive)
	update.Revision = current.Revision
	*current = update
	if changed {
		t.recordChange(current)
	}
	return becameAlive
}

// recordChange raises the revision of the table and of an entry.
func (t *Table) recordChange(e *Entry) {
	t.revision++
	e.Revision = t.revision
}

// MarkAlive marks a known VM as alive because another VM reports it as alive.
func (t *Table) MarkAlive(now time.Time, name string) {
	if e := t.entries[name]; e != nil && now.After(e.LastSeen) {
		e.LastSeen = now
		if !e.wasAlive {
			e.wasAlive = true
			t.recordChange(e)
		}
	}
}

// DetectLost returns the sorted names of the VMs that are no longer alive and were so when last checked or updated. It
// returns each loss once.
func (t *Table) DetectLost(now time.Time) []string {
	var lost []string
	for name, e := range t.entries {
		if e.wasAlive && !e.Alive(now) {
			e.wasAlive = false
			t.recordChange(e)
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Prune removes the VMs from which no VM received a message for PruneAfter.
func (t *Table) Prune(now time.Time) {
	for name, e := range t.entries {
		if now.Sub(e.LastReported) > PruneAfter {
			delete(t.entries, name)
			t.sorted = nil
		}
	}
}

// Find returns a VM by name, or nil. The caller must not modify the entry.
func (t *Table) Find(name string) *Entry {
	return t.entries[name]
}

// Count returns the number of known VMs.
func (t *Table) Count() int {
	return len(t.entries)
}

// CountAlive returns the number of alive VMs.
func (t *Table) CountAlive(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if e.Alive(now) {
			n++
		}
	}
	return n
}

// Sorted returns all entries by name. The caller must not modify the slice or the entries, and must not keep them: the
// next call of another method may change them.
func (t *Table) Sorted() []*Entry {
	if t.sorted == nil && len(t.entries) > 0 {
		t.sorted = slices.SortedFunc(maps.Values(t.entries), func(a, b *Entry) int { return strings.Compare(a.Name, b.Name) })
	}
	return t.sorted
}

// Entries returns copies of all entries, sorted by name.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.Sorted() {
		out = append(out, *e)
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
