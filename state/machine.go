// Package state implements the replicated state machine: the operators' document, the ledger of non-idempotent calls,
// which are called orders, the departures of endpoints and the evacuations of data centres.
package state

import (
	"google.golang.org/protobuf/proto"

	"godwitplank/evacuation"
	"godwitplank/order"
)

// maxChangeResults is the number of change ids whose results are kept to deduplicate resent changes.
const maxChangeResults = 8192

// Machine is the state that committed commands are applied to. The zero value is the empty state. It is not
// safe for concurrent use.
type Machine struct {
	document     *DocumentChange
	results      map[string]*ChangeResult // by change id
	resultsByAge []*ChangeResult          // oldest first
	ledger       order.Ledger
	departures   departures
	evacuations  evacuations
	time         int64 // highest TimeMs of all applied commands
}

// Apply applies a committed command and returns its result. The ledger's time is the highest time of all commands, so
// that it never decreases when the leader changes.
func (m *Machine) Apply(c *Command) *Result {
	m.time = max(m.time, c.TimeMs)
	switch change := c.Change.(type) {
	case *Command_Document:
		return &Result{Document: m.applyDocument(change.Document)}
	case *Command_Order:
		return &Result{Order: m.ledger.Apply(m.time, change.Order)}
	case *Command_Departure:
		m.departures.apply(m.time, change.Departure)
	case *Command_Evacuation:
		return &Result{Evacuation: m.evacuations.apply(m.time, c.Id, change.Evacuation)}
	case *Command_Read:
		return &Result{Current: m.document}
	}
	return &Result{}
}

// Document returns the latest accepted document, or nil. The caller must not modify it.
func (m *Machine) Document() *DocumentChange {
	return m.document
}

// FindOrder returns the ledger's record of a key, or nil. The caller must not modify it.
func (m *Machine) FindOrder(k *order.Key) *order.Record {
	return m.ledger.Find(k)
}

// Departures returns the recorded departures of endpoints, oldest first. The caller must not modify them.
func (m *Machine) Departures() []*Departure {
	return m.departures.list()
}

// Evacuations returns the set of evacuations.
func (m *Machine) Evacuations() evacuation.State {
	return m.evacuations.current
}

// HasDeparted reports whether the departure of an endpoint's incarnation, or of a later one, is recorded.
func (m *Machine) HasDeparted(endpointID string, incarnation uint64) bool {
	d := m.departures.byEndpoint[endpointID]
	return d != nil && d.Incarnation >= incarnation
}

// applyDocument accepts a document whose version is the current one plus 1. A resent change gets its first result; a
// change id that is reused with another document is refused.
func (m *Machine) applyDocument(d *DocumentChange) *DocumentResult {
	if d.Highest {
		return m.applyHighest(d)
	}
	if previous := m.results[d.ChangeId]; previous != nil {
		if previous.Digest != d.Digest {
			return &DocumentResult{CurrentChangeId: d.ChangeId, Version: m.document.GetVersion()}
		}
		return previous.Result
	}
	accepted := d.Version == m.document.GetVersion()+1
	if accepted {
		m.document = d
	}
	r := &DocumentResult{
		Accepted: accepted, Version: m.document.GetVersion(),
		Digest: m.document.GetDigest(), CurrentChangeId: m.document.GetChangeId(),
	}
	m.storeResult(&ChangeResult{ChangeId: d.ChangeId, Result: r, Digest: d.Digest})
	return r
}

// applyHighest accepts a document of any version above the current one. A lower version is accepted without effect; the
// current version with another digest is refused.
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

// storeResult keeps the result of a change and drops the oldest one beyond maxChangeResults.
func (m *Machine) storeResult(c *ChangeResult) {
	if m.results == nil {
		m.results = make(map[string]*ChangeResult)
	}
	m.results[c.ChangeId] = c
	m.resultsByAge = append(m.resultsByAge, c)
	if len(m.resultsByAge) > maxChangeResults {
		delete(m.results, m.resultsByAge[0].ChangeId)
		m.resultsByAge = m.resultsByAge[1:]
	}
}

// Image returns the encoded state for a snapshot.
func (m *Machine) Image() []byte {
	data, err := proto.Marshal(&Image{
		Document: m.document, Changes: m.resultsByAge, Orders: m.ledger.Records(), TimeMs: m.time, Departures: m.departures.list(),
		Evacuations: EncodeEvacuations(m.evacuations.current), EvacuationIds: m.evacuations.ids,
	})
	if err != nil {
		panic("cannot encode the replicated state: " + err.Error())
	}
	return data
}

// Restore replaces the whole state by an encoded one from Image. It fails if data does not decode.
func (m *Machine) Restore(data []byte) error {
	image := &Image{}
	if err := proto.Unmarshal(data, image); err != nil {
		return err
	}
	*m = Machine{
		document: image.Document, time: image.TimeMs,
		evacuations: evacuations{current: DecodeEvacuations(image.Evacuations), ids: image.EvacuationIds},
	}
	for _, c := range image.Changes {
		m.storeResult(c)
	}
	m.ledger.Restore(image.Orders)
	for _, d := range image.Departures {
		m.departures.store(d)
	}
	return nil
}

// InitialImage returns the encoded initial state of a new group: the document, if any, the evacuations and an empty
// ledger.
func InitialImage(d *DocumentChange, e evacuation.State) []byte {
	if d == nil && e.Version == 0 {
		return nil
	}
	return (&Machine{document: d, evacuations: evacuations{current: e}}).Image()
}
