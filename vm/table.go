// Package vm keeps the VMs of the system that a VM has heard of.
package vm

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// AliveFor is how long a VM counts as alive after it was last heard.
const AliveFor = 2 * time.Second

// ForgetAfter is how long a lost VM stays in the table. It may be cut off and use its floor of the limits meanwhile.
const ForgetAfter = 2 * time.Hour

// Entry is what is known of one VM.
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
	// Capacity is the VM's processor share, 0 where it is not told.
	Capacity float64
	// Heard is when the VM itself was last heard, by the clock of the table's VM.
	Heard time.Time
	// Mentioned is when any VM last heard of it.
	Mentioned time.Time

	// live is whether it counted as alive at the last look.
	live bool
}

// Alive reports whether the VM was heard lately.
func (e *Entry) Alive(now time.Time) bool {
	return now.Sub(e.Heard) < AliveFor
}

// Table holds the newest incarnation of each VM. The zero value is empty.
type Table struct {
	entries map[string]*Entry
	// revision grows with every VM that is new, starts, begins to stop, comes to life or is lost.
	revision uint64
}

// Revision grows with every VM that is new, starts, begins to stop, comes to life or is lost.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Hear takes what a VM says of itself, or what another one mentions of it. It reports whether the VM came to life.
func (t *Table) Hear(now time.Time, next Entry) bool {
	if t.entries == nil {
		t.entries = make(map[string]*Entry)
	}
	old := t.entries[next.Name]
	next.live = next.Alive(now)
	if old == nil {
		t.revision++
		t.entries[next.Name] = &next
		return next.live
	}
	if next.Incarnation < old.Incarnation {
		return false
	}
	same := next.Incarnation == old.Incarnation
	if same && next.Heard.Before(old.Heard) {
		old.Mentioned = later(old.Mentioned, next.Mentioned)
		if next.Stopping && !old.Stopping {
			old.Stopping = true
			t.revision++
		}
		return false
	}
	if same {
		next.DocumentVersion = max(next.DocumentVersion, old.DocumentVersion)
		next.Stopping = next.Stopping || old.Stopping
		next.Mentioned = later(old.Mentioned, next.Mentioned)
	}
	if !same || next.live != old.live || next.Stopping != old.Stopping {
		t.revision++
	}
	t.entries[next.Name] = &next
	return next.live && (!same || !old.live)
}

// Confirm takes the word of another VM that a VM is alive.
func (t *Table) Confirm(now time.Time, name string) {
	if e := t.entries[name]; e != nil && now.After(e.Heard) {
		e.Heard = now
		if !e.live {
			e.live = true
			t.revision++
		}
	}
}

// Lost returns the VMs that were alive at the last look and are so no more.
func (t *Table) Lost(now time.Time) []string {
	var lost []string
	for name, e := range t.entries {
		if e.live && !e.Alive(now) {
			e.live = false
			t.revision++
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Forget drops the VMs that nobody has heard of for ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for name, e := range t.entries {
		if now.Sub(e.Mentioned) > ForgetAfter {
			delete(t.entries, name)
		}
	}
}

// Find returns a VM by name, or nil. It must not be changed.
func (t *Table) Find(name string) *Entry {
	return t.entries[name]
}

// Alive returns the number of VMs that were heard lately.
func (t *Table) Alive(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if e.Alive(now) {
			n++
		}
	}
	return n
}

// Entries returns copies of all entries by name.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
