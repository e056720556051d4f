package endpoint

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
)

func newEntry(incarnation, sequence uint64, port uint16, source Source) Entry {
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	return Entry{
		Announcement: godwitplank.Announcement{EndpointID: "e", Incarnation: incarnation, Sequence: sequence, Address: addr.String(), Pool: "p"},
		Addr:         addr, Source: source,
	}
}

func withLeaving(e Entry) Entry {
	e.Leaving = true
	return e
}

func withID(e Entry, id string) Entry {
	e.EndpointID = id
	return e
}

func TestAnnounce(t *testing.T) {
	type step struct {
		delay time.Duration
		entry Entry
		want  AnnounceResult
	}
	for _, c := range []struct {
		name    string
		steps   []step
		leaving bool
		address string
	}{
		{"a renewal", []step{{0, newEntry(1, 1, 1, Direct), Changed}, {1, newEntry(1, 2, 1, Direct), Renewed}}, false, "127.0.0.1:1"},
		{"an older sequence", []step{{0, newEntry(1, 2, 1, Direct), Changed}, {1, newEntry(1, 1, 1, Direct), Stale}}, false, "127.0.0.1:1"},
		{"the same announcement relayed by another VM", []step{{0, newEntry(1, 2, 1, Direct), Changed}, {1, newEntry(1, 2, 1, Relayed), Stale}}, false, "127.0.0.1:1"},
		{"a restart elsewhere", []step{{0, newEntry(1, 9, 1, Direct), Changed}, {1, newEntry(2, 1, 2, Direct), Changed}}, false, "127.0.0.1:2"},
		{"draining continues within an incarnation", []step{{0, withLeaving(newEntry(1, 1, 1, Direct)), Changed}, {1, newEntry(1, 2, 1, Direct), Renewed}}, true, "127.0.0.1:1"},
		{"draining ends with the incarnation", []step{{0, withLeaving(newEntry(1, 1, 1, Direct)), Changed}, {1, newEntry(2, 1, 1, Direct), Changed}}, false, "127.0.0.1:1"},
		{"a late draining announcement of an older incarnation", []step{{0, newEntry(2, 1, 1, Direct), Changed}, {1, withLeaving(newEntry(1, 99, 1, Direct)), Stale}}, false, "127.0.0.1:1"},
		{"a second machine with the same incarnation", []step{{0, newEntry(1, 1, 1, Direct), Changed}, {1, newEntry(1, 9, 2, Direct), Conflict}}, false, "127.0.0.1:1"},
		{"a second machine with an older incarnation", []step{{0, newEntry(2, 1, 1, Direct), Changed}, {1, newEntry(1, 9, 2, Direct), Conflict}}, false, "127.0.0.1:1"},
		{"another id at the same address", []step{{0, newEntry(1, 1, 1, Direct), Changed}, {1, withID(newEntry(1, 1, 1, Direct), "f"), Conflict}}, false, "127.0.0.1:1"},
		{"another id at the same address after the lease expired", []step{{0, newEntry(1, 1, 1, Direct), Changed}, {4 * time.Second, withID(newEntry(1, 1, 1, Direct), "f"), Changed}}, false, "127.0.0.1:1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{}
			now := time.Unix(1000, 0)
			for _, s := range c.steps {
				now = now.Add(s.delay)
				is.Equal(table.Announce(now, s.entry, godwitplank.LeaseDuration), s.want)
			}
			e := table.Entries()[0]
			is.Equal(e.Leaving, c.leaving)
			is.Equal(e.Address, c.address)
		})
	}
}

// A conflict is recorded with the second machine's address, and ends once that machine stops announcing itself.
func TestConflictIsRecorded(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	now := time.Unix(1000, 0)
	table.Announce(now, newEntry(1, 1, 1, Direct), godwitplank.LeaseDuration)
	table.Announce(now, newEntry(1, 5, 2, Direct), godwitplank.LeaseDuration)
	table.Announce(now.Add(time.Second), newEntry(1, 2, 1, Direct), godwitplank.LeaseDuration)
	e := table.Entries()[0]
	is.Equal(e.ConflictWith, "127.0.0.1:2")
	is.True(now.Add(2 * time.Second).Before(e.ConflictUntil))
	is.True(now.Add(4 * time.Second).After(e.ConflictUntil))
}

// A relayed endpoint gets the remaining lease time that the sending VM gave. Its expiry is returned once, and its entry
// is removed after the retention time.
func TestRelayedLease(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	now := time.Unix(1000, 0)
	table.Announce(now, newEntry(1, 1, 1, Relayed), 500*time.Millisecond)
	is.Equal(table.Entries()[0].Expires, now.Add(500*time.Millisecond))
	is.Equal(len(table.Expire(now, now.Add(time.Second), time.Minute)), 1)
	is.Equal(len(table.Expire(now.Add(time.Second), now.Add(2*time.Second), time.Minute)), 0)
	is.Equal(len(table.Entries()), 1)
	table.Expire(now.Add(2*time.Second), now.Add(2*time.Minute), time.Minute)
	is.Equal(len(table.Entries()), 0)
}

// A departure that crossed a later announcement on its way was dropped, since its sequence was not newer.
func TestDepartureCrossesAnnouncement(t *testing.T) {
	for _, sequence := range []uint64{4, 5, 6} {
		is := is.New(t)
		now := time.Now()
		table := &Table{}
		e := Entry{
			Announcement: godwitplank.Announcement{EndpointID: "e-1", Incarnation: 1, Sequence: 5, Address: "10.0.0.1:80", Pool: "s"},
			Addr:         netip.MustParseAddrPort("10.0.0.1:80"), Source: Relayed, OfService: true,
		}
		is.Equal(table.Announce(now, e, time.Second), Changed)
		before := table.Revision()
		departed := e
		departed.Sequence, departed.Leaving = sequence, true
		is.Equal(table.Announce(now, departed, time.Second), Changed)
		is.True(table.Find("e-1").Leaving)
		is.True(table.Find("e-1").Sequence >= 5)
		is.True(table.Revision() > before) // other VMs learn of it
		is.Equal(table.Announce(now, departed, time.Second), Stale)
		old := departed
		old.Incarnation = 0
		is.Equal(table.Announce(now, old, time.Second), Stale)
	}
}
