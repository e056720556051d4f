package control

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/disk"
	"godwitplank/fault"
	"godwitplank/timer"
)

func parseAddrPorts(texts ...string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range texts {
		out = append(out, netip.MustParseAddrPort(t))
	}
	return out
}

var threeSeeds = parseAddrPorts("10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1")

// openControl initializes a Control on a data folder as the daemon does.
func openControl(t *testing.T, dir string, linkAddr netip.AddrPort, bootstrap bool) *Control {
	t.Helper()
	return openSeededControl(t, dir, linkAddr, bootstrap, threeSeeds)
}

func openSeededControl(t *testing.T, dir string, linkAddr netip.AddrPort, bootstrap bool, seeds []netip.AddrPort) *Control {
	t.Helper()
	id := "random"
	if bootstrap && IsSeed(linkAddr, seeds) {
		id = SeedReplicaID(linkAddr)
	}
	folder, err := disk.OpenWithReplicaID(dir, linkAddr.Addr().String(), id)
	if err != nil {
		t.Fatal(err)
	}
	c := &Control{Name: linkAddr.Addr().String(), LinkAddr: linkAddr, Join: seeds, Bootstrap: bootstrap, Folder: folder, Clock: timer.System}
	if err := c.Init(); err != nil {
		t.Fatal(err)
	}
	return c
}

// All initial voters create the same group without contacting each other, whatever the order of the joined addresses.
func TestBootstrap(t *testing.T) {
	is := is.New(t)
	groups := make(map[string]bool)
	for _, linkAddr := range threeSeeds {
		c := openControl(t, t.TempDir(), linkAddr, true)
		is.Equal(len(c.replica.core.Status().Membership.Replicas), 3)
		groups[c.replica.core.Group] = true
	}
	is.Equal(len(groups), 1)
	is.Equal(initialMembership(parseAddrPorts("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")).Group, initialMembership(threeSeeds).Group)
}

// A VM that is not an initial voter, or that starts without Bootstrap, creates no group. A restart keeps the group.
func TestNoSecondGroup(t *testing.T) {
	is := is.New(t)
	is.Equal(openControl(t, t.TempDir(), netip.MustParseAddrPort("10.0.0.4:1"), true).replica, nil)
	is.Equal(openControl(t, t.TempDir(), threeSeeds[0], false).replica, nil) // its disk was lost
	dir := filepath.Join(t.TempDir(), "data")
	first := openControl(t, dir, threeSeeds[0], true)
	is.NoErr(first.replica.log.Close())
	restarted := openControl(t, dir, threeSeeds[0], false)
	is.Equal(restarted.replica.core.Group, first.replica.core.Group)
	is.Equal(restarted.Folder.Identity.ReplicaID, SeedReplicaID(threeSeeds[0]))
}

// An even number of addresses gives an odd number of voters, and duplicates count once.
func TestInitialVoters(t *testing.T) {
	is := is.New(t)
	is.Equal(len(initialVoters(threeSeeds[:2])), 1)
	is.Equal(len(initialVoters(threeSeeds)), 3)
	is.Equal(len(initialVoters(append(threeSeeds, threeSeeds[0]))), 3)
}

// startControl runs the control loop of a VM without a group.
func startControl(t *testing.T) *Control {
	t.Helper()
	c := newControl(t, "vm-a", 1)
	runLoop(t, c)
	return c
}

// startGroupOfOne runs the control loop of a VM that is the only voter of its group.
func startGroupOfOne(t *testing.T, dir string) (c *Control, stop func()) {
	t.Helper()
	c = openSeededControl(t, dir, threeSeeds[0], true, threeSeeds[:1])
	return c, runLoop(t, c)
}

// runLoop runs a control loop until the test ends or the returned function is called.
func runLoop(t *testing.T, c *Control) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.wg.Go(func() { c.loop(ctx) })
	stop = func() {
		cancel()
		c.wg.Wait()
	}
	t.Cleanup(stop)
	return stop
}

func announcement(id string, incarnation, sequence uint64, address string) godwitplank.Announcement {
	return godwitplank.Announcement{EndpointID: id, Incarnation: incarnation, Sequence: sequence, Address: address, Pool: "s"}
}

func TestRegister(t *testing.T) {
	is := is.New(t)
	c, _ := startGroupOfOne(t, t.TempDir())
	leaving := func(id string) bool {
		result := false
		is.NoErr(c.do(t.Context(), func() { result = c.endpoints.Find(id).Leaving }))
		return result
	}
	is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 1, "10.0.0.9:80")))
	is.Equal(fault.As(c.Register(t.Context(), announcement("e-1", 10, 2, "nowhere"))).Kind, fault.BadRequest)

	// An endpoint stays draining for its whole incarnation, also if announcements arrive later.
	is.NoErr(c.Deregister(t.Context(), "e-1"))
	is.NoErr(c.Deregister(t.Context(), "e-1")) // a retry
	is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 3, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.NoErr(c.Register(t.Context(), announcement("e-1", 11, 1, "10.0.0.9:80")))
	is.True(!leaving("e-1"))
	is.Equal(fault.As(c.Deregister(t.Context(), "e-9")).Kind, fault.EndpointUnknown)

	// The address moves to another endpoint, and a late announcement of the previous one arrives.
	is.NoErr(c.Register(t.Context(), announcement("e-2", 20, 1, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.NoErr(c.Register(t.Context(), announcement("e-1", 11, 2, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.True(!leaving("e-2"))
}

// A departure is acknowledged only once it is recorded, whichever way the endpoint announces it. It takes effect before that.
func TestDepartureNeedsMajority(t *testing.T) {
	for name, depart := range map[string]func(*Control) error{
		"delete": func(c *Control) error { return c.Deregister(t.Context(), "e-1") },
		"draining announcement": func(c *Control) error {
			a := announcement("e-1", 10, 2, "10.0.0.9:80")
			a.Leaving = true
			return c.Register(t.Context(), a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startControl(t)
			is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 1, "10.0.0.9:80")))
			is.Equal(fault.As(depart(c)).Kind, fault.NoQuorum)
			is.NoErr(c.do(t.Context(), func() { is.True(c.endpoints.Find("e-1").Leaving) }))
		})
	}
}

// An acknowledged departure is known after a restart, also from a snapshot. It does not outlive the incarnation.
func TestDepartureSurvivesRestart(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data")
	c, stop := startGroupOfOne(t, dir)
	is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 1, "10.0.0.9:80")))
	is.NoErr(c.Deregister(t.Context(), "e-1"))
	for range 2 {
		stop()
		is.NoErr(c.replica.log.Close())
		c, stop = startGroupOfOne(t, dir)
		is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 7, "10.0.0.9:80")))
		for leaving := false; !leaving; time.Sleep(time.Millisecond) { // the replica applies its log once it leads
			is.True(t.Context().Err() == nil)
			is.NoErr(c.do(t.Context(), func() { leaving = c.endpoints.Find("e-1").Leaving }))
		}
		is.NoErr(c.do(t.Context(), func() {
			snapshot := c.replica.core.Compact(c.replica.applied, c.replica.machine.Image())
			is.NoErr(c.replica.log.Compact(snapshot, c.replica.core.HardState(), c.replica.core.StoredEntries()))
		}))
	}
	is.NoErr(c.Register(t.Context(), announcement("e-1", 11, 1, "10.0.0.9:80")))
	is.NoErr(c.do(t.Context(), func() { is.True(!c.endpoints.Find("e-1").Leaving) }))
}

// That an endpoint is draining reaches VMs that know the endpoint only through other VMs.
func TestLeavingIsRelayed(t *testing.T) {
	is := is.New(t)
	a, b, p := newControl(t, "vm-a", 1), newControl(t, "vm-b", 1), &peer{}
	e := testEndpoint(1, 5, "")
	e.OfService = true
	b.endpoints.Announce(b.Clock.Now(), e, time.Second)
	runExchange(a, b, p)
	is.True(!a.endpoints.Find("e-1").Leaving)
	b.endpoints.MarkLeaving("e-1")
	runExchange(a, b, p)
	is.True(a.endpoints.Find("e-1").Leaving)
	is.True(a.endpoints.Find("e-1").OfService)
}

// A VM whose clock stepped back before a restart raises its incarnation above the one that other VMs know.
func TestIncarnationAfterClockStepBack(t *testing.T) {
	is := is.New(t)
	before, other := newControl(t, "vm-a", 100), newControl(t, "vm-b", 1)
	runExchange(before, other, &peer{})
	restarted := newControl(t, "vm-a", 50)
	runExchange(restarted, other, &peer{})
	is.True(restarted.Incarnation > 100)
	runExchange(restarted, other, &peer{})
	is.Equal(other.vms.Find("vm-a").Incarnation, restarted.Incarnation)
}
