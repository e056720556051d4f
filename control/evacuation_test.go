package control

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/document"
	"godwitplank/evacuation"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/state"
	"godwitplank/timer"
)

// voter is a VM of a group of three with its link server.
type voter struct {
	*Control

	dir    string
	addr   netip.AddrPort
	seeds  []netip.AddrPort
	cancel context.CancelFunc
	group  sync.WaitGroup
	// dies makes the VM stop after it has committed the next proposal and before it replies.
	dies, died atomic.Bool
	// transferFault replaces the transfers of the document by this VM, unless nil.
	transferFault atomic.Pointer[func(stream grpc.ServerStream) error]
}

// startVoters starts a group of three VMs on loopback addresses.
func startVoters(t *testing.T) []*voter {
	t.Helper()
	return startVotersOn(t, func(l net.Listener) net.Listener { return l })
}

// startVotersOn is like startVoters, with the listeners of the VMs wrapped.
func startVotersOn(t *testing.T, wrap func(net.Listener) net.Listener) []*voter {
	t.Helper()
	var voters []*voter
	var listeners []net.Listener
	var seeds []netip.AddrPort
	for _, ip := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} { // the group names its VMs by their IPs
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, seeds = append(listeners, l), append(seeds, netip.MustParseAddrPort(l.Addr().String()))
	}
	for i, l := range listeners {
		v := &voter{dir: filepath.Join(t.TempDir(), "data"), addr: seeds[i], seeds: seeds}
		v.start(t, wrap(l))
		t.Cleanup(v.stop)
		voters = append(voters, v)
	}
	return voters
}

func (v *voter) start(t *testing.T, l net.Listener) {
	t.Helper()
	c := openSeededControl(t, v.dir, v.addr, true, v.seeds)
	server := grpc.NewServer(grpc.UnaryInterceptor(v.intercept), grpc.StreamInterceptor(v.interceptTransfer), grpc.MaxRecvMsgSize(MaxMessageBytes))
	link.RegisterLinkServer(server, c)
	ctx, cancel := context.WithCancel(context.Background())
	v.Control, v.cancel = c, cancel
	v.group.Go(func() { _ = server.Serve(l) })
	v.group.Go(func() {
		_ = c.Run(ctx)
		server.Stop()
	})
}

func (v *voter) stop() {
	v.cancel()
	v.group.Wait()
}

func (v *voter) restart(t *testing.T) {
	t.Helper()
	v.stop()
	var l net.Listener
	// A connection of another process may have the port as its source for a moment.
	waitUntil(t, "a free port", func() bool {
		var err error
		l, err = net.Listen("tcp", v.addr.String())
		return err == nil
	})
	v.start(t, l)
}

func (v *voter) intercept(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	reply, err := handler(ctx, request)
	if p, ok := reply.(*link.ProposeReply); ok && p.Taken && v.dies.Load() {
		v.died.Store(true)
		v.cancel()
		return nil, status.Error(codes.Unavailable, "killed")
	}
	return reply, err
}

func (v *voter) interceptTransfer(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if replace := v.transferFault.Load(); replace != nil {
		return (*replace)(stream)
	}
	return handler(server, stream)
}

// evacuated returns the evacuated data centres of a published view.
func evacuated(c *Control) []string {
	return c.View().Evacuations.DataCentres()
}

// waitUntil fails the test if a condition is not met within 10 s.
func waitUntil(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// waitForLeader returns the voter that leads, and the others.
func waitForLeader(t *testing.T, voters []*voter) (leader *voter, others []*voter) {
	t.Helper()
	waitUntil(t, "a leader", func() bool {
		leader, others = nil, nil
		for _, v := range voters {
			if r := v.View().Replica; r != nil && r.Role == raft.Leader {
				leader = v
			} else {
				others = append(others, v)
			}
		}
		return leader != nil && len(others) == len(voters)-1
	})
	return leader, others
}

// An evacuation is acknowledged although the leader is killed between commit and reply, a later withdrawal wins over the
// retried command at all VMs, and the killed VM has the newest set after its restart.
func TestEvacuationWithLeaderKilled(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	leader, others := waitForLeader(t, voters)
	is.NoErr(leader.Evacuate(t.Context(), "dc-a"))
	for _, v := range voters {
		waitUntil(t, "dc-a evacuated", func() bool { return slices.Equal(evacuated(v.Control), []string{"dc-a"}) })
	}
	leader.dies.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(others[0].Evacuate(ctx, "dc-b"))
	is.True(leader.died.Load())
	is.NoErr(others[1].EndEvacuation(ctx, "dc-b"))
	is.NoErr(others[0].EndEvacuation(ctx, "dc-b")) // a retried command
	is.NoErr(others[0].Evacuate(ctx, "dc-c"))
	leader.dies.Store(false)
	leader.restart(t)
	for _, v := range voters {
		waitUntil(t, "dc-a and dc-c evacuated", func() bool { return slices.Equal(evacuated(v.Control), []string{"dc-a", "dc-c"}) })
	}
	is.NoErr(others[1].do(ctx, func() { is.True(!others[1].evacuationEndedAt("dc-b").IsZero()) }))
}

// An acknowledged evacuation survives the stop of all VMs right after it, and a snapshot.
func TestEvacuationSurvivesRestart(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data")
	c, stop := startGroupOfOne(t, dir)
	is.NoErr(c.Evacuate(t.Context(), "dc-a"))
	for range 2 {
		stop()
		is.NoErr(c.replica.log.Close())
		c, stop = startGroupOfOne(t, dir)
		waitUntil(t, "dc-a evacuated", func() bool { return slices.Equal(evacuated(c), []string{"dc-a"}) })
		is.NoErr(c.do(t.Context(), func() {
			snapshot := c.replica.core.Compact(c.replica.applied, c.replica.machine.Image())
			is.NoErr(c.replica.log.Compact(snapshot, c.replica.core.HardState(), c.replica.core.StoredEntries()))
		}))
	}
	is.NoErr(c.EndEvacuation(t.Context(), "dc-a"))
	waitUntil(t, "dc-a no longer evacuated", func() bool { return len(evacuated(c)) == 0 })
}

// A data centre that the deployment does not have, an invalid name and a missing majority are refused, each with its own
// status. An evacuation of a data centre that was removed from the settings can still be withdrawn.
func TestEvacuationRefused(t *testing.T) {
	is := is.New(t)
	c, _ := startGroupOfOne(t, t.TempDir())
	is.NoErr(c.Evacuate(t.Context(), "dc-old"))
	is.NoErr(c.do(t.Context(), func() { c.DataCentres = []string{"dc-a", "dc-b"} }))
	err := fault.As(c.Evacuate(t.Context(), "dc-z"))
	is.Equal(err.Status(), 404)
	for _, name := range []string{`"dc-z"`, "dc-a, dc-b"} {
		is.True(strings.Contains(err.Message, name))
	}
	is.Equal(fault.As(c.EndEvacuation(t.Context(), "dc-z")).Kind, fault.UnknownDataCentre)
	is.Equal(fault.As(c.Evacuate(t.Context(), "a b")).Kind, fault.BadRequest)
	is.NoErr(c.EndEvacuation(t.Context(), "dc-old"))
	is.NoErr(c.EndEvacuation(t.Context(), "dc-old"))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	is.Equal(fault.As(startControl(t).Evacuate(ctx, "dc-a")).Kind, fault.NoQuorum)
}

// newHub returns a VM with a data folder whose replica has not caught up, since the loop does not run.
func newHub(t *testing.T) *Control {
	t.Helper()
	return openSeededControl(t, t.TempDir(), threeSeeds[0], true, threeSeeds)
}

// newEntryVM returns a VM without a disk that has a document with a service, and an endpoint of that service in a data centre.
func newEntryVM(t *testing.T, dataCentre string) *Control {
	t.Helper()
	c := newControl(t, "vm-e", 1)
	c.HubsOnly = true
	c.start = c.start.Add(-2 * maxWarmUp)
	c.applyDocument(documentChange((&document.Document{Version: 1, Services: []document.Service{{Name: "s"}}}).Canonical()))
	a := announcement("e-1", 10, 1, "10.0.0.9:80")
	a.DataCentre = dataCentre
	c.endpoints.Announce(c.Clock.Now(), registered(t, a), time.Minute)
	return c
}

func evacuations(version uint64, changes ...evacuation.Change) evacuation.State {
	return evacuation.State{Version: version, Changes: changes}
}

// A VM that joins during an evacuation is not ready and routes nothing before it has received the evacuations from a
// replica that has caught up: a replica that has just restarted may not know the newest ones yet.
func TestJoinDuringEvacuation(t *testing.T) {
	is := is.New(t)
	hub, vm, p := newHub(t), newEntryVM(t, "dc-a"), &peer{}
	runExchange(vm, hub, p)
	vm.publish()
	is.True(!vm.View().Ready)
	is.Equal(len(vm.View().Pools["s"]), 0)

	hub.adoptEvacuations(evacuations(7, evacuation.Change{DataCentre: "dc-a", Active: true, TimeMS: 1}))
	runExchange(vm, hub, p) // passed on with its version, but perhaps not the newest one
	vm.publish()
	is.True(!vm.View().Ready)
	is.Equal(evacuated(vm), []string{"dc-a"})

	hub.evacuations.replicaCurrent = true
	runExchange(vm, hub, p)
	vm.publish()
	is.True(vm.View().Ready)
	is.Equal(len(vm.View().Pools["s"]), 0)
	is.Equal(len(vm.View().Evacuated["s"]), 1) // its results may still be freed
	is.Equal(vm.View().Endpoints[0].State(vm.Clock.Now()), "evacuated")

	hub.adoptEvacuations(evacuations(8, evacuation.Change{DataCentre: "dc-a", TimeMS: vm.Clock.Now().UnixMilli()}))
	before := vm.Clock.Now()
	reply := runExchange(vm, hub, p)
	is.True(reply.EvacuationState.Evacuations != nil)
	vm.publish()
	is.Equal(len(vm.View().Pools["s"]), 1)
	is.True(!vm.evacuationEndedAt("dc-a").Before(before))
	is.Equal(runExchange(vm, hub, p).EvacuationState.Evacuations, nil) // an unchanged set is not sent again
}

// An old set that arrives late, for example from a VM that returns from a network partition, changes nothing. The end of
// an evacuation that a VM has not observed is dated by the log.
func TestLateEvacuations(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	end := c.Clock.Now().Add(-time.Minute).UnixMilli()
	c.adoptEvacuations(evacuations(9, evacuation.Change{DataCentre: "dc-a", TimeMS: end}))
	is.Equal(c.evacuationEndedAt("dc-a").UnixMilli(), end)
	c.adoptEvacuations(evacuations(8, evacuation.Change{DataCentre: "dc-a", Active: true, TimeMS: end - 1}))
	is.True(!c.evacuations.set.Active("dc-a"))
	is.True(c.evacuationEndedAt("dc-b").IsZero())
}

// During a rolling replacement a VM whose peers are all of a build without evacuations becomes ready as before.
func TestEvacuationsUnknownToPeers(t *testing.T) {
	is := is.New(t)
	hub, vm, p := newHub(t), newEntryVM(t, "dc-a"), &peer{}
	reply := hub.buildExchangeReply(newExchangeRequest(vm, p))
	reply.EvacuationState = nil
	vm.handleExchangeReply(p, timer.System.Now(), reply)
	vm.publish()
	is.True(vm.View().Ready)
	is.Equal(len(vm.View().Pools["s"]), 1)
}

// An evacuation that is given while the leader is paused is acknowledged within the 5 s that an operator tries. An attempt at
// the paused leader ends before the second after which the operator asks another VM: it once took that whole second, also if
// the others had a new leader by then.
func TestEvacuationWithLeaderPaused(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	leader, others := waitForLeader(t, voters)
	for _, v := range voters {
		waitUntil(t, "the leader is known", func() bool { return v.View().Group.GetLeaderVm() == leader.Name })
	}
	resume := make(chan struct{})
	leader.calls <- func() { <-resume }
	defer close(resume)
	started := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	command := &state.Command{Id: "c-1", Change: &state.Command_Evacuation{Evacuation: &state.Evacuation{DataCentre: "dc-a", Active: true}}}
	result, _ := others[0].proposeOnce(ctx, command, leader.Name)
	is.Equal(result, nil)
	is.True(time.Since(started) < time.Second)
	is.NoErr(others[0].Evacuate(ctx, "dc-a"))
	t.Logf("acknowledged after %v", time.Since(started).Round(time.Millisecond))
}
