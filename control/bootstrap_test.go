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
	id := "random"
	if bootstrap && IsSeed(linkAddr, threeSeeds) {
		id = SeedReplicaID(linkAddr)
	}
	folder, err := disk.OpenWithReplicaID(dir, linkAddr.Addr().String(), id)
	if err != nil {
		t.Fatal(err)
	}
	c := &Control{Name: linkAddr.Addr().String(), LinkAddr: linkAddr, Join: threeSeeds, Bootstrap: bootstrap, Folder: folder, Clock: timer.System}
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
	ctx, cancel := context.WithCancel(context.Background())
	c.wg.Go(func() { c.loop(ctx) })
	t.Cleanup(func() { cancel(); c.wg.Wait() })
	return c
}

func announcement(id string, incarnation, sequence uint64, address string) godwitplank.Announcement {
	return godwitplank.Announcement{EndpointID: id, Incarnation: incarnation, Sequence: sequence, Address: address, Pool: "s"}
}

func TestRegister(t *testing.T) {
	is := is.New(t)
	c := startControl(t)
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
