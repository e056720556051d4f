package state

import (
	"slices"

	"godwitplank/evacuation"
)

// maxEvacuationIDs is the number of evacuation commands whose ids are kept. A proposer sends a command again only within
// its time limit of about a second.
const maxEvacuationIDs = 128

// evacuations holds the set of evacuations and the ids of the commands that changed it. The zero value is empty.
type evacuations struct {
	current evacuation.State
	ids     []string // oldest first
}

// apply starts or ends an evacuation. A command that was proposed twice has an effect only once, since another command
// may have been committed and acknowledged in between.
func (e *evacuations) apply(now int64, id string, change *Evacuation) *EvacuationResult {
	accepted := true
	if !slices.Contains(e.ids, id) {
		e.current, accepted = e.current.Apply(evacuation.Change{DataCentre: change.DataCentre, Active: change.Active, TimeMS: now})
		e.ids = append(e.ids, id)
		if len(e.ids) > maxEvacuationIDs {
			e.ids = slices.Delete(e.ids, 0, 1)
		}
	}
	return &EvacuationResult{Refused: !accepted, Current: EncodeEvacuations(e.current)}
}

// EncodeEvacuations returns a set of evacuations in the form of messages and snapshots; nil if it has never changed.
func EncodeEvacuations(s evacuation.State) *Evacuations {
	if s.Version == 0 {
		return nil
	}
	out := &Evacuations{Version: s.Version}
	for _, c := range s.Changes {
		out.Changes = append(out.Changes, &Evacuation{DataCentre: c.DataCentre, Active: c.Active, TimeMs: c.TimeMS})
	}
	return out
}

// DecodeEvacuations returns the set of evacuations in a message or snapshot; nil is the empty set.
func DecodeEvacuations(e *Evacuations) evacuation.State {
	s := evacuation.State{Version: e.GetVersion()}
	for _, c := range e.GetChanges() {
		s.Changes = append(s.Changes, evacuation.Change{DataCentre: c.DataCentre, Active: c.Active, TimeMS: c.TimeMs})
	}
	return s
}
