package raft

import "google.golang.org/protobuf/proto"

// log is the in-memory log: a base snapshot and the entries after it.
type log struct {
	base          *Snapshot
	entries       []*Entry
	firstUnstored uint64 // index of the first entry not yet returned in Output.Entries
}

func newLog(base *Snapshot, entries []*Entry) log {
	if base == nil {
		base = &Snapshot{Membership: &Membership{}}
	}
	l := log{base: base, entries: entries}
	for i, e := range entries {
		invariant(e.Index == base.Index+1+uint64(i), "entry %d is at the position of entry %d", e.Index, base.Index+1+uint64(i))
	}
	l.firstUnstored = l.last() + 1
	return l
}

// last returns the index of the last entry, or of the base snapshot if there are no entries.
func (l *log) last() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the entry is compacted or past the end of the log.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries from first to last, both included.
func (l *log) slice(first, last uint64) []*Entry {
	invariant(first > l.base.Index && last <= l.last(), "entries %d to %d are not in the log", first, last)
	return l.entries[first-l.base.Index-1 : last-l.base.Index]
}

// appendEntries adds entries at the end of the log.
func (l *log) appendEntries(entries ...*Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at index and all after it.
func (l *log) truncate(index uint64) {
	kept := index - l.base.Index - 1
	l.entries = append([]*Entry(nil), l.entries[:kept]...)
	l.firstUnstored = min(l.firstUnstored, index)
}

func (l *log) hasUnstored() bool {
	return l.firstUnstored <= l.last()
}

// takeUnstored returns the entries that the driver has not received yet and marks them as received.
func (l *log) takeUnstored() []*Entry {
	if !l.hasUnstored() {
		return nil
	}
	entries := l.slice(l.firstUnstored, l.last())
	l.firstUnstored = l.last() + 1
	return entries
}

// entriesFrom returns as many entries, starting at first, as fit into one append message: at most maxEntries and,
// unless a single entry is larger, maxMessageBytes.
func (l *log) entriesFrom(first uint64, maxEntries int) []*Entry {
	if first > l.last() {
		return nil
	}
	entries := l.slice(first, l.last())
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i == maxEntries || (i > 0 && size > maxMessageBytes) {
			return entries[:i]
		}
	}
	return entries
}

// membership returns the latest membership in the log, committed or not.
func (l *log) membership() *Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryKind_MEMBERSHIP {
			return decodeMembership(l.entries[i].Data)
		}
	}
	return l.base.Membership
}

// membershipAt returns the latest membership at or before index.
func (l *log) membershipAt(index uint64) *Membership {
	for i := int(index - l.base.Index); i > 0; i-- {
		if e := l.entries[i-1]; e.Kind == EntryKind_MEMBERSHIP {
			return decodeMembership(e.Data)
		}
	}
	return l.base.Membership
}

// compact replaces the entries up to and including the snapshot's index by the snapshot.
func (l *log) compact(s *Snapshot) {
	l.entries = append([]*Entry(nil), l.entries[s.Index-l.base.Index:]...)
	l.base = s
}

func decodeMembership(data []byte) *Membership {
	m := &Membership{}
	err := proto.Unmarshal(data, m)
	invariant(err == nil, "cannot decode a membership entry: %v", err)
	return m
}
