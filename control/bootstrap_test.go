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

func seeds(texts ...string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range texts {
		out = append(out, netip.MustParseAddrPort(t))
	}
	return out
}

var three = seeds("10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1")

// startedVM returns a control on a folder, as the daemon opens it.
func startedVM(t *testing.T, dir string, link netip.AddrPort, bootstrap bool) *Control {
	t.Helper()
	id := "random"
	if bootstrap && IsSeed(link, three) {
		id = SeedReplica(link)
	}
	folder, err := disk.OpenAs(dir, link.Addr().String(), id)
	if err != nil {
		t.Fatal(err)
	}
	c := &Control{Name: link.Addr().String(), LinkAddr: link, Join: three, Bootstrap: bootstrap, Folder: folder, Clock: timer.System}
	if err := c.Init(); err != nil {
		t.Fatal(err)
	}
	return c
}

// All first voters make the same group without hearing of each other, in whatever order the addresses come.
func TestBootstrap(t *testing.T) {
	is := is.New(t)
	groups := make(map[string]bool)
	for _, link := range three {
		c := startedVM(t, t.TempDir(), link, true)
		is.Equal(len(c.replica.core.Status().Membership.Replicas), 3)
		groups[c.replica.core.Group] = true
	}
	is.Equal(len(groups), 1)
	is.Equal(firstMembership(seeds("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")).Group, firstMembership(three).Group)
}

// A VM that is no first voter, or that starts later, makes no group; one that restarts keeps the one it has.
func TestNoSecondGroup(t *testing.T) {
	is := is.New(t)
	is.Equal(startedVM(t, t.TempDir(), netip.MustParseAddrPort("10.0.0.4:1"), true).replica, nil)
	is.Equal(startedVM(t, t.TempDir(), three[0], false).replica, nil) // its disk was lost
	dir := filepath.Join(t.TempDir(), "data")
	first := startedVM(t, dir, three[0], true)
	is.NoErr(first.replica.log.Close())
	again := startedVM(t, dir, three[0], false)
	is.Equal(again.replica.core.Group, first.replica.core.Group)
	is.Equal(again.Folder.Identity.ReplicaID, SeedReplica(three[0]))
}

// An even number of addresses makes an odd number of voters.
func TestFirstVoters(t *testing.T) {
	is := is.New(t)
	is.Equal(len(firstVoters(three[:2])), 1)
	is.Equal(len(firstVoters(three)), 3)
	is.Equal(len(firstVoters(append(three, three[0]))), 3)
}

// startControl runs a control without a group.
func startControl(t *testing.T) *Control {
	t.Helper()
	c := newControl(t, "vm-a", 1)
	ctx, cancel := context.WithCancel(context.Background())
	c.group.Go(func() { c.loop(ctx) })
	t.Cleanup(func() { cancel(); c.group.Wait() })
	return c
}

func announcement(id string, born, sequence uint64, address string) godwitplank.Announcement {
	return godwitplank.Announcement{EndpointID: id, Incarnation: born, Sequence: sequence, Address: address, Pool: "s"}
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

	// A goodbye counts for an incarnation, whatever comes late.
	is.NoErr(c.Deregister(t.Context(), "e-1"))
	is.NoErr(c.Deregister(t.Context(), "e-1")) // a resend
	is.NoErr(c.Register(t.Context(), announcement("e-1", 10, 3, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.NoErr(c.Register(t.Context(), announcement("e-1", 11, 1, "10.0.0.9:80")))
	is.True(!leaving("e-1"))
	is.Equal(fault.As(c.Deregister(t.Context(), "e-9")).Kind, fault.EndpointUnknown)

	// The address goes to another endpoint; what the one before sent comes late.
	is.NoErr(c.Register(t.Context(), announcement("e-2", 20, 1, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.NoErr(c.Register(t.Context(), announcement("e-1", 11, 2, "10.0.0.9:80")))
	is.True(leaving("e-1"))
	is.True(!leaving("e-2"))
}

// A goodbye reaches VMs that heard the endpoint by way of others.
func TestGoodbyeSpreads(t *testing.T) {
	is := is.New(t)
	a, b, p := newControl(t, "vm-a", 1), newControl(t, "vm-b", 1), &peer{}
	e := crowd(1, 5, "")
	e.Open = true
	b.endpoints.Announce(b.Clock.Now(), e, time.Second)
	ask(a, b, p)
	is.True(!a.endpoints.Find("e-1").Leaving)
	b.endpoints.Leave("e-1")
	ask(a, b, p)
	is.True(a.endpoints.Find("e-1").Leaving)
	is.True(a.endpoints.Find("e-1").Open)
}

// A VM whose clock went back takes an incarnation above the one that others know of it.
func TestClockWentBack(t *testing.T) {
	is := is.New(t)
	old, other := newControl(t, "vm-a", 100), newControl(t, "vm-b", 1)
	ask(old, other, &peer{})
	again := newControl(t, "vm-a", 50)
	ask(again, other, &peer{})
	is.True(again.Incarnation > 100)
	ask(again, other, &peer{})
	is.Equal(other.vms.Find("vm-a").Incarnation, again.Incarnation)
}
