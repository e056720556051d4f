// Package order implements the replicated ledger of non-idempotent calls, which are called orders. It ensures that each
// of them runs at most once within Retention.
//
// The ledger is a deterministic state machine: changes are applied in log order, with the time from the log.
package order

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"
)

// Retention is how long a record is kept after its last change. After it, the key can be claimed again.
const Retention = 24 * time.Hour

// Ledger holds one record per key. The zero value is an empty ledger. It is not safe for concurrent use.
type Ledger struct {
	records  map[string]*list.Element // of *Record
	byChange list.List                // of *Record, least recently changed first
}

// Apply applies a change at the time now, in Unix milliseconds, and returns the record afterwards, or nil if there is
// none. The submitter of a CLAIM owns the call only if the record is CLAIMED with the submitter's claim.
func (l *Ledger) Apply(now int64, c *Change) *Record {
	l.expire(now)
	old := l.Find(c.Key)
	next := transition(now, old, c)
	if next != old {
		l.store(next)
	}
	return next
}

// transition returns the record after a change, or old itself if the change has no effect. A voided call can be claimed
// again only with a higher attempt. A change with another claim after the owner's claim expired sets the state UNKNOWN,
// which is final: the call may have run.
func transition(now int64, old *Record, c *Change) *Record {
	if old == nil || (old.State == State_VOIDED && c.Attempt > old.Attempt && c.Action != Action_FINISH) {
		return newRecord(now, old, c)
	}
	if old.Claim == c.Claim && old.State == State_CLAIMED {
		return ownerTransition(now, old, c)
	}
	if old.State == State_CLAIMED && now > old.ClaimedMs+old.ValidMs {
		return withState(now, old, State_UNKNOWN, nil)
	}
	return old
}

// newRecord returns the first record of a key, or of a new attempt after a voided one.
func newRecord(now int64, old *Record, c *Change) *Record {
	state := State_CLAIMED
	switch c.Action {
	case Action_VOID:
		state = State_VOIDED
	case Action_FINISH:
		return old
	}
	return &Record{
		Key: c.Key, Attempt: c.Attempt, State: state, Claim: c.Claim, InputSha256: c.InputSha256,
		OwnerVm: c.OwnerVm, OwnerIncarnation: c.OwnerIncarnation,
		ClaimedMs: now, ValidMs: c.ValidMs, ChangedMs: now,
	}
}

// ownerTransition returns the record after a change by the owner of the claim.
func ownerTransition(now int64, old *Record, c *Change) *Record {
	switch c.Action {
	case Action_VOID:
		return withState(now, old, State_VOIDED, nil)
	case Action_FINISH:
		return withState(now, old, c.Outcome, c.Answer)
	}
	return old
}

func withState(now int64, old *Record, state State, answer []byte) *Record {
	next := proto.CloneOf(old)
	next.State = state
	next.Answer = answer
	next.ChangedMs = now
	return next
}

// Find returns the record of a key, or nil. The caller must not modify it.
func (l *Ledger) Find(k *Key) *Record {
	if e := l.records[recordKey(k)]; e != nil {
		return e.Value.(*Record)
	}
	return nil
}

// Records returns all records, least recently changed first.
func (l *Ledger) Records() []*Record {
	out := make([]*Record, 0, l.byChange.Len())
	for e := l.byChange.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*Record))
	}
	return out
}

// Restore replaces all records of the ledger by records, which are in the order of Records.
func (l *Ledger) Restore(records []*Record) {
	l.records = nil
	l.byChange.Init()
	for _, r := range records {
		l.store(r)
	}
}

func (l *Ledger) store(r *Record) {
	if l.records == nil {
		l.records = make(map[string]*list.Element)
	}
	k := recordKey(r.Key)
	if e := l.records[k]; e != nil {
		l.byChange.Remove(e)
	}
	l.records[k] = l.byChange.PushBack(r)
}

// expire removes the records that have not changed for longer than Retention.
func (l *Ledger) expire(now int64) {
	for e := l.byChange.Front(); e != nil; e = l.byChange.Front() {
		r := e.Value.(*Record)
		if now-r.ChangedMs <= Retention.Milliseconds() {
			return
		}
		l.byChange.Remove(e)
		delete(l.records, recordKey(r.Key))
	}
}

func recordKey(k *Key) string {
	return k.GetWorkspace() + "\x00" + k.GetKey() + "\x00" + k.GetStage()
}
