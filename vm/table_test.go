package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A newer incarnation or a stop replaces the known state, whichever VM reports it. Every such change raises the
// revision; without that, other VMs would not receive it.
func TestMerge(t *testing.T) {
	now := time.Unix(1000, 0)
	direct := func(incarnation uint64, stopping bool) Entry {
		return Entry{Name: "vm-b", Incarnation: incarnation, Stopping: stopping, LastSeen: now, LastReported: now}
	}
	relayed := func(incarnation uint64, stopping bool) Entry {
		return Entry{Name: "vm-b", Incarnation: incarnation, Stopping: stopping, LastReported: now}
	}
	for _, c := range []struct {
		name        string
		first       Entry
		update      Entry
		changed     bool
		stopping    bool
		incarnation uint64
	}{
		{"no change", direct(1, false), direct(1, false), false, false, 1},
		{"a restart", direct(1, true), direct(2, false), true, false, 2},
		{"an older incarnation", direct(2, false), direct(1, true), false, false, 2},
		{"a stop", direct(1, false), direct(1, true), true, true, 1},
		{"a stop relayed by another VM", direct(1, false), relayed(1, true), true, true, 1},
		{"a relayed entry does not undo a stop", direct(1, true), relayed(1, false), false, true, 1},
		{"a restart relayed by another VM", direct(1, true), relayed(2, false), true, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{}
			table.Merge(now, c.first)
			before := table.Revision()
			table.Merge(now, c.update)
			is.Equal(table.Revision() > before, c.changed)
			is.Equal(table.Find("vm-b").Stopping, c.stopping)
			is.Equal(table.Find("vm-b").Incarnation, c.incarnation)
		})
	}
}

// A VM is reported as lost once, when no VM confirms it any more, and becomes alive again with the next confirmation.
func TestLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := &Table{}
	table.Merge(now, Entry{Name: "vm-b", LastSeen: now, LastReported: now})
	now = now.Add(AliveTimeout)
	table.MarkAlive(now, "vm-b")
	is.Equal(len(table.DetectLost(now)), 0)
	now = now.Add(AliveTimeout)
	before := table.Revision()
	is.Equal(table.DetectLost(now), []string{"vm-b"})
	is.Equal(len(table.DetectLost(now)), 0)
	is.True(table.Revision() > before)
	table.MarkAlive(now, "vm-b")
	is.Equal(table.CountAlive(now), 1)
	table.MarkAlive(now, "vm-c") // not a known VM
	is.Equal(table.Find("vm-c"), nil)
}
