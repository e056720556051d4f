package control

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"godwitplank/disk"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/spend"
	"godwitplank/timer"
	"godwitplank/vm"
)

func refuse(err error) func(int) (int, error) {
	return func(int) (int, error) { return 0, err }
}

// refuseAfter lets a number of bytes pass before it refuses writes, so that a record is torn.
func refuseAfter(bytes int) func(int) (int, error) {
	return func(n int) (int, error) {
		allowed := min(n, bytes)
		bytes -= allowed
		return allowed, syscall.ENOSPC
	}
}

// eventually fails the test unless the condition holds within 10 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begin := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// runGroup runs three VMs that are the voters of a group, connected over loopback.
func runGroup(t *testing.T, options ...grpc.ServerOption) []*Control {
	t.Helper()
	var listeners []net.Listener
	var seeds []netip.AddrPort
	for _, ip := range []string{"127.0.0.1:0", "127.0.0.2:0", "127.0.0.3:0"} {
		l, err := net.Listen("tcp", ip)
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		seeds = append(seeds, netip.MustParseAddrPort(l.Addr().String()))
	}
	var group []*Control
	for i, l := range listeners {
		c := openSeededControl(t, t.TempDir(), seeds[i], true, seeds)
		server := grpc.NewServer(options...)
		link.RegisterLinkServer(server, c)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(l) })
		running.Go(func() {
			if err := c.Run(ctx); err != nil {
				t.Errorf("the control loop of %s ended: %v", c.Name, err)
			}
		})
		t.Cleanup(func() {
			server.Stop()
			cancel()
			running.Wait()
		})
		group = append(group, c)
	}
	return group
}

func leaderOf(group []*Control) *Control {
	for _, c := range group {
		if v := c.View(); v.Replica != nil && v.Replica.Role == raft.Leader {
			return c
		}
	}
	return nil
}

// limit sets the limit of a VM's data folder.
func limit(t *testing.T, c *Control, refusal func(int) (int, error)) {
	t.Helper()
	if err := c.do(t.Context(), func() { c.Folder.Limit = refusal }); err != nil {
		t.Fatal(err)
	}
}

// submit commits a document through a VM.
func submit(t *testing.T, c *Control, version uint64) {
	t.Helper()
	d := documentOfVersion(t, version)
	d.Highest = true
	if result, err := c.ChangeDocument(t.Context(), d); err != nil || !result.Accepted {
		t.Fatalf("document %d is not committed: %v, %v", version, result, err)
	}
}

// A leader whose disk fills hands over instead of ending, and another VM commits. Once there is space, the VM catches up
// without a restart, and its log has no record of what it could not store.
func TestFullLeaderHandsOver(t *testing.T) {
	is := is.New(t)
	group := runGroup(t)
	eventually(t, "a leader", func() bool { return leaderOf(group) != nil })
	full := leaderOf(group)
	submit(t, full, 1)
	limit(t, full, refuseAfter(5))
	submit(t, full, 2) // also through the VM that cannot store it
	eventually(t, "another leader", func() bool { l := leaderOf(group); return l != nil && l != full })
	eventually(t, "the end of the leadership", func() bool { return full.View().Replica.Role != raft.Leader })
	is.True(!full.View().DiskFullSince.IsZero())
	for _, c := range group {
		eventually(t, "the document at every VM", func() bool { v := c.View(); return v.Document != nil && v.Document.Version == 2 })
	}
	// On a busy machine the group may be between two leaders for a moment.
	eventually(t, "a leader whose log is ahead of the full VM's", func() bool {
		l := leaderOf(group)
		return l != nil && l != full && full.View().Replica.Last < l.View().Replica.Last
	})

	limit(t, full, nil)
	eventually(t, "the end of the condition", func() bool { return full.View().DiskFullSince.IsZero() })
	submit(t, full, 3)
	eventually(t, "the whole log at the VM", func() bool {
		var last, newest uint64
		var stored *disk.Stored
		is.NoErr(full.do(t.Context(), func() { last = full.replica.core.Status().Commit; stored, _ = full.replica.log.Stored() }))
		leader := leaderOf(group)
		if leader == nil {
			return false
		}
		is.NoErr(leader.do(t.Context(), func() { newest = leader.replica.core.Status().Commit }))
		return last == newest && stored.Snapshot.GetIndex()+uint64(len(stored.Entries)) == last
	})
}

// A voter on a full disk sends no vote and no acknowledgement, and forgets what it could not store: a vote that was refused by
// the disk goes to another candidate of the same term later.
func TestFullVoterCountsForNothing(t *testing.T) {
	is := is.New(t)
	c := openControl(t, t.TempDir(), threeSeeds[1], true)
	var outbox []chan *raft.Message
	var others []string
	for _, addr := range []netip.AddrPort{threeSeeds[0], threeSeeds[2]} {
		name := addr.Addr().String()
		c.vms.Merge(c.Clock.Now(), vm.Entry{Name: name, LinkAddr: addr, ReplicaID: SeedReplicaID(addr), LastSeen: c.Clock.Now()})
		c.peers[addr] = &peer{addr: addr, name: name, outbox: make(chan *raft.Message, 8)}
		outbox, others = append(outbox, c.peers[addr].outbox), append(others, SeedReplicaID(addr))
	}
	step := func(m *raft.Message) {
		m.Group, m.To = c.replica.core.Group, c.Folder.Identity.ReplicaID
		c.handleMessage(m)
		c.flushReplica()
	}
	vote := func(from string) *raft.Message {
		return &raft.Message{Kind: raft.MessageKind_VOTE, From: from, Term: 2, Index: 1, LogTerm: 1}
	}
	c.Folder.Limit = refuseAfter(20)
	step(vote(others[0]))
	step(&raft.Message{Kind: raft.MessageKind_APPEND, From: others[0], Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []*raft.Entry{{Index: 2, Term: 2}}})
	c.tick()
	is.Equal(len(outbox[0]), 0)
	is.Equal(c.replica.core.Status().Term, uint64(1))
	is.Equal(c.replica.core.Status().Last, uint64(1))
	is.Equal(c.replica.applied, uint64(1)) // the state machine can be read
	is.NoErr(c.fatalErr)

	c.Folder.Limit = nil
	c.retryWrites(c.Clock.Now().Add(diskRetryInterval))
	c.flushReplica()
	step(vote(others[1]))
	is.Equal(len(outbox[1]), 1)
	is.True(!(<-outbox[1]).Reject)
	stored, err := c.replica.log.Stored()
	is.NoErr(err)
	is.Equal(stored.HardState.Vote, others[1])
}

// A full disk is tried with a bounded frequency.
func TestFullDiskIsTriedSeldom(t *testing.T) {
	is := is.New(t)
	c := openControl(t, t.TempDir(), threeSeeds[0], true)
	tries := 0
	c.Folder.Limit = func(int) (int, error) { tries++; return 0, syscall.EDQUOT }
	now := c.Clock.Now()
	c.saveSpend(now)
	first := tries
	for range 100 {
		now = now.Add(housekeepingInterval)
		c.retryWrites(now)
	}
	is.True(tries > first)
	is.True(tries-first <= int(100*housekeepingInterval/diskRetryInterval))
}

// A disk that has no room for a snapshot keeps the replica in its group; the log is compacted later.
func TestFullDiskDuringSnapshot(t *testing.T) {
	is := is.New(t)
	c := openSeededControl(t, t.TempDir(), threeSeeds[0], true, threeSeeds[:1])
	for c.replica.core.Status().Role != raft.Leader {
		c.tick()
		c.flushReplica()
	}
	propose := func() {
		is.True(c.replica.core.Propose(nil))
		c.flushReplica()
	}
	const snapshotBytes = 60 // more than a record of one entry, less than a snapshot
	c.Folder.Limit = func(n int) (int, error) {
		if n > snapshotBytes {
			return snapshotBytes, syscall.ENOSPC
		}
		return n, nil
	}
	for range compactionEntries + 10 {
		propose()
	}
	is.True(c.diskFull.active())
	is.True(!c.diskFull.suspended)
	is.Equal(c.replica.core.Status().Role, raft.Leader)
	is.Equal(c.replica.applied, c.replica.core.Status().Last)
	c.Folder.Limit = nil
	c.retryWrites(c.Clock.Now().Add(diskRetryInterval))
	propose()
	is.True(len(c.replica.core.Entries()) < compactionEntries)
	stored, err := c.replica.log.Stored()
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index+uint64(len(stored.Entries)), c.replica.core.Status().Last)
}

// A VM that starts on a full disk stays up, with its stored state or with none, and takes part once there is space.
func TestStartOnFullDisk(t *testing.T) {
	for name, prepare := range map[string]func(dir string){
		"new": func(string) {},
		"without a group": func(dir string) {
			_, err := disk.OpenWithReplicaID(dir, threeSeeds[0].Addr().String(), SeedReplicaID(threeSeeds[0]))
			is.New(t).NoErr(err)
		},
		"with state": func(dir string) {
			c := openSeededControl(t, dir, threeSeeds[0], true, threeSeeds[:1])
			c.applyDocument(documentOfVersion(t, 7))
			_ = c.replica.log.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			prepare(dir)
			folder := &disk.Folder{Path: dir, Limit: refuseAfter(40)}
			is.NoErr(folder.Init(threeSeeds[0].Addr().String(), SeedReplicaID(threeSeeds[0])))
			c := &Control{
				Name: threeSeeds[0].Addr().String(), LinkAddr: threeSeeds[0], Join: threeSeeds[:1], Bootstrap: true, Folder: folder, Clock: timer.System,
			}
			is.NoErr(c.Init())
			runLoop(t, c)
			eventually(t, "the condition", func() bool { return !c.View().DiskFullSince.IsZero() })
			is.NoErr(c.do(t.Context(), func() { is.Equal(c.describeSelf().ReplicaId != "", name != "new") }))
			if name == "with state" {
				is.Equal(c.View().Document.Version, uint64(7))
			}
			limit(t, c, nil)
			eventually(t, "a leader", func() bool { return leaderOf([]*Control{c}) != nil })
			submit(t, c, 8)
		})
	}
}

// A document that a majority has is active also where the disk is full, and stored once there is space.
func TestDocumentOnFullDisk(t *testing.T) {
	is := is.New(t)
	c := openControl(t, t.TempDir(), threeSeeds[0], true)
	c.Folder.Limit = refuse(syscall.ENOSPC)
	c.applyDocument(documentOfVersion(t, 5))
	is.Equal(c.document.Version, uint64(5))
	data, err := c.Folder.Read(documentFile)
	is.NoErr(err)
	is.Equal(len(data), 0)
	c.Folder.Limit = nil
	c.retryWrites(c.Clock.Now().Add(diskRetryInterval))
	data, err = c.Folder.Read(documentFile)
	is.NoErr(err)
	is.True(len(data) > 0)
	is.True(!c.diskFull.active())
}

// Spend counters never end the process, whatever refuses them. A log that cannot be written for another reason than a lack of
// space does.
func TestOtherDiskErrors(t *testing.T) {
	is := is.New(t)
	c := openControl(t, t.TempDir(), threeSeeds[0], true)
	c.spendCounters.Merge(spend.Line{Key: spend.Key{VM: "vm-a", Workspace: "w"}, Amount: spend.Amount{Calls: 1}})
	c.Folder.Limit = refuse(syscall.EIO)
	c.updateSpend(c.Clock.Now())
	is.NoErr(c.fatalErr)
	is.True(c.spendSavedRevision != c.spendCounters.Revision()) // stored later
	c.handleMessage(&raft.Message{
		Kind: raft.MessageKind_VOTE, Group: c.replica.core.Group, From: SeedReplicaID(threeSeeds[1]), To: c.replica.core.ID, Term: 2, Index: 1, LogTerm: 1,
	})
	c.flushReplica()
	is.True(errors.Is(c.fatalErr, syscall.EIO))
}

// A learner that does not reply, as on a full disk, does not keep the group waiting although its VM is alive.
func TestSilentLearner(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	now := c.Clock.Now()
	status := raft.Status{
		Role: raft.Leader, MembershipStable: true, ID: "a", Commit: 9, Match: map[string]uint64{"a": 9, "c": 9},
		Membership: &raft.Membership{Replicas: []*raft.Replica{{Id: "a", Vm: "vm-a"}, {Id: "b", Vm: "vm-b"}, {Id: "c", Vm: "vm-c"}, {Id: "d", Vm: "vm-d", Learner: true}}},
	}
	step := func(at time.Time, active bool) raft.RepairStep {
		for name, id := range map[string]string{"vm-b": "b2", "vm-c": "c", "vm-d": "d"} {
			c.vms.Merge(at, vm.Entry{Name: name, ReplicaID: id, LastSeen: at})
		}
		status.RecentlyActive = map[string]bool{"d": active}
		c.noteLearners(at, status)
		s, _ := raft.NextMembership(status, c.replicaHealth(at, status.Membership))
		return s
	}
	is.Equal(step(now, false), raft.NoStep) // it gets time to catch up
	later := now.Add(c.SpareAfter + time.Second)
	is.Equal(step(later, true), raft.NoStep)
	is.Equal(step(later.Add(c.SpareAfter+time.Second), false), raft.AddLearner)
}
