package control

import (
	"errors"
	"fmt"
	"time"

	"godwitplank/disk"
	"godwitplank/event"
	"godwitplank/raft"
)

const (
	// diskRetryInterval bounds how often a full disk is tried, and so how often a disk with little space can make the
	// replica leave the group and return.
	diskRetryInterval = time.Second
	// diskLogInterval is the time between two log lines about a disk that stays full.
	diskLogInterval = time.Minute
)

// fullDisk is the state of a disk that refuses writes for a lack of space. Its zero value is a disk that takes writes.
type fullDisk struct {
	since time.Time // zero while the disk takes writes
	// suspended is true while the replica takes no part in its group: the disk refused state that the group relies on.
	suspended bool
	// documentUnstored is true while the active document is newer than the stored one.
	documentUnstored bool
	retryAt          time.Time
	loggedAt         time.Time
	refused          int // refused writes since the disk is full
}

func (f *fullDisk) active() bool {
	return !f.since.IsZero()
}

// handleWriteError records a refused write of state that can be stored later. Other errors than a lack of space end the
// process.
func (c *Control) handleWriteError(what string, err error) {
	if !errors.Is(err, disk.ErrFull) {
		c.fatalErr = fmt.Errorf("cannot store %s: %w; repair the disk and restart the VM", what, err)
		return
	}
	now := c.Clock.Now()
	f := &c.diskFull
	f.refused++
	if !f.active() {
		f.since, f.retryAt = now, now.Add(diskRetryInterval)
		c.viewStale = true
	}
	if now.Sub(f.loggedAt) >= diskLogInterval || f.refused == 1 {
		f.loggedAt = now
		c.Log.Log(event.DiskFull, "what", what, "suspended", f.suspended, "refused", f.refused, "error", err.Error())
	}
}

// handleLogError suspends the replica if the disk refused its output for a lack of space. A leader first asks another voter
// to lead, since it can no longer commit anything.
func (c *Control) handleLogError(err error) {
	if !errors.Is(err, disk.ErrFull) {
		c.handleWriteError("the replicated log", err)
		return
	}
	core := c.replica.core
	if m := core.HandOver(c.replicaHealth(c.Clock.Now(), core.Status().Membership).Alive); m != nil {
		c.Log.Log(event.LeadershipTransferred, "to", c.vmForReplica(m.To))
		c.sendMessage(m)
	}
	// Also of a leader whose first entry was refused, which no role change showed.
	c.replica.closeWaiters()
	c.diskFull.suspended = true
	c.handleWriteError("the replicated log", err)
	if c.rebuildReplica(); c.fatalErr == nil {
		c.apply(c.replica.core.Output())
	}
}

// handleJoinError suspends joining and creating a group if the disk refused that for a lack of space.
func (c *Control) handleJoinError(err error) {
	if err != nil {
		c.diskFull.suspended = errors.Is(err, disk.ErrFull)
		c.handleWriteError("the group", err)
	}
}

func (c *Control) handleDocumentError(err error) {
	c.diskFull.documentUnstored = errors.Is(err, disk.ErrFull)
	c.handleWriteError("the document", err)
}

// handleSpendError records that the counters could not be stored, which no error makes fatal.
func (c *Control) handleSpendError(err error) {
	if errors.Is(err, disk.ErrFull) {
		c.handleWriteError("the spend counters", err)
		return
	}
	c.Log.Log(event.SpendNotStored, "error", err.Error())
}

// rebuildReplica replaces the core and the state machine by new ones with the stored state. After a refused write the
// core's term, vote and entries may be ahead of the disk.
func (c *Control) rebuildReplica() {
	old := c.replica
	stored, err := old.log.Stored()
	if err != nil {
		c.fatalErr = fmt.Errorf("cannot read the replicated log: %w; repair the disk and restart the VM", err)
		return
	}
	c.startReplica(old.core.Group, old.log, stored)
	c.replica.waiters, c.replica.lastRole, c.replica.lastLeader = old.waiters, old.lastRole, old.lastLeader
}

// retryWrites tries a full disk again once per diskRetryInterval. When it takes writes, the replica takes part again.
func (c *Control) retryWrites(now time.Time) {
	f := &c.diskFull
	if !f.active() || now.Before(f.retryAt) {
		return
	}
	f.retryAt = now.Add(diskRetryInterval)
	if err := c.resumeWrites(); err != nil {
		c.handleWriteError("a test file", err)
		return
	}
	c.Log.Log(event.DiskWritable, "full_ms", now.Sub(f.since).Milliseconds(), "refused", f.refused)
	suspended := f.suspended
	*f = fullDisk{}
	c.viewStale = true
	switch {
	case !suspended:
	case c.replica != nil:
		c.rebuildReplica()
	default:
		c.handleJoinError(c.openReplica())
		c.handleJoinError(c.bootstrap())
	}
}

// resumeWrites checks that the disk takes writes, and completes what was left undone.
func (c *Control) resumeWrites() error {
	if err := c.Folder.Recover(); err != nil {
		return err
	}
	if c.replica != nil {
		if err := c.replica.log.Recover(); err != nil {
			return err
		}
	}
	if c.diskFull.documentUnstored {
		if err := c.persistDocument(c.storedDocument); err != nil {
			return err
		}
		c.diskFull.documentUnstored = false
	}
	return nil
}

// noteLearners records when the leader last heard of each learner. A VM whose disk is full stays alive, so that a learner there
// would otherwise keep the group waiting for it while other spares could replace a lost voter.
func (c *Control) noteLearners(now time.Time, status raft.Status) {
	contacts := make(map[string]time.Time)
	for _, r := range status.Membership.GetReplicas() {
		if !r.Learner {
			continue
		}
		contacts[r.Id] = now
		if last, ok := c.learnerContacts[r.Id]; ok && !status.RecentlyActive[r.Id] {
			contacts[r.Id] = last
		}
	}
	c.learnerContacts = contacts
}

// learnerSilent reports whether a learner has not replied to the leader for SpareAfter.
func (c *Control) learnerSilent(now time.Time, id string) bool {
	last, ok := c.learnerContacts[id]
	return ok && now.Sub(last) > c.SpareAfter
}
