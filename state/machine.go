// Package state is the replicated state machine: the operators' document and the order ledger.
package state

import (
	"google.golang.org/protobuf/proto"

	"godwitplank/order"
)

// changesKept is the number of change ids whose answers are remembered.
const changesKept = 8192

// Machine applies committed commands. The zero value is the empty state.
type Machine struct {
	document *DocumentChange
	answers  map[string]*ChangeResult
	changes  []*ChangeResult
	ledger   order.Ledger
	time     int64
}

// Apply makes one committed command and returns its result. The log's time never falls.
func (m *Machine) Apply(c *Command) *Result {
	m.time = max(m.time, c.TimeMs)
	switch change := c.Change.(type) {
	case *Command_Document:
		return &Result{Document: m.applyDocument(change.Document)}
	case *Command_Order:
		return &Result{Order: m.ledger.Apply(m.time, change.Order)}
	case *Command_Read:
		return &Result{Current: m.document}
	}
	return &Result{}
}

// Document returns the newest accepted document, or nil. It must not be changed.
func (m *Machine) Document() *DocumentChange {
	return m.document
}

// FindOrder returns the record of a key, or nil. It must not be changed.
func (m *Machine) FindOrder(k *order.Key) *order.Record {
	return m.ledger.Find(k)
}

// applyDocument accepts a document that replaces the current version; a change id seen before gets its first answer.
func (m *Machine) applyDocument(d *DocumentChange) *DocumentResult {
	if d.Highest {
		return m.applyHighest(d)
	}
	if seen := m.answers[d.ChangeId]; seen != nil {
		if seen.Digest != d.Digest {
			return &DocumentResult{CurrentChangeId: d.ChangeId, Version: m.document.GetVersion()}
		}
		return seen.Result
	}
	accepted := d.Version == m.document.GetVersion()+1
	if accepted {
		m.document = d
	}
	r := &DocumentResult{
		Accepted: accepted, Version: m.document.GetVersion(),
		Digest: m.document.GetDigest(), CurrentChangeId: m.document.GetChangeId(),
	}
	m.remember(&ChangeResult{ChangeId: d.ChangeId, Result: r, Digest: d.Digest})
	return r
}

// applyHighest accepts a document above the current version. One that a higher version has replaced is accepted
// without effect; other content under the current version is refused.
func (m *Machine) applyHighest(d *DocumentChange) *DocumentResult {
	accepted := d.Version != m.document.GetVersion() || d.Digest == m.document.GetDigest()
	if d.Version > m.document.GetVersion() {
		m.document = d
	}
	return &DocumentResult{
		Accepted: accepted, Version: m.document.GetVersion(),
		Digest: m.document.GetDigest(), CurrentChangeId: m.document.GetChangeId(),
	}
}

func (m *Machine) remember(c *ChangeResult) {
	if m.answers == nil {
		m.answers = make(map[string]*ChangeResult)
	}
	m.answers[c.ChangeId] = c
	m.changes = append(m.changes, c)
	if len(m.changes) > changesKept {
		delete(m.answers, m.changes[0].ChangeId)
		m.changes = m.changes[1:]
	}
}

// Image returns the whole state as a snapshot.
func (m *Machine) Image() []byte {
	data, err := proto.Marshal(&Image{
		Document: m.document, Changes: m.changes, Orders: m.ledger.Records(), TimeMs: m.time,
	})
	if err != nil {
		panic("the replicated state does not encode: " + err.Error())
	}
	return data
}

// Restore replaces the whole state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	image := &Image{}
	if err := proto.Unmarshal(data, image); err != nil {
		return err
	}
	*m = Machine{document: image.Document, time: image.TimeMs}
	for _, c := range image.Changes {
		m.remember(c)
	}
	m.ledger.Restore(image.Orders)
	return nil
}

// FirstImage returns the state that a new group starts from: the document known so far, and no orders.
func FirstImage(d *DocumentChange) []byte {
	if d == nil {
		return nil
	}
	return (&Machine{document: d}).Image()
}
