package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"godwitplank/evacuation"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/state"
	"godwitplank/timer"
)

// knownEvacuations is what this VM knows about evacuations. The zero value is that of a VM that has just started.
type knownEvacuations struct {
	set evacuation.State
	// endedAt is when evacuations ended, by data centre, on this VM's clock.
	endedAt map[string]time.Time
	// replicaCurrent is true once this VM's replica has caught up with a leader since the start. It stays true without a
	// leader: a VM without a connection to newer state continues with the last one that it received.
	replicaCurrent bool
	// current is true once this VM has received the set from a replica that had caught up, its own or another VM's.
	current bool
	// expected is true once a VM has replied that knows evacuations and may have a replica; legacy is true once a VM of a
	// build without evacuations has replied.
	expected, legacy bool
}

// Evacuate starts the evacuation of a data centre: the endpoints there get no new work. It returns once the command is
// committed. Errors are of kind BadRequest, UnknownDataCentre or NoQuorum; after NoQuorum the command may still be
// committed.
func (c *Control) Evacuate(ctx context.Context, dataCentre string) error {
	return c.changeEvacuation(ctx, dataCentre, true)
}

// EndEvacuation withdraws the evacuation of a data centre, with the same guarantees and errors as Evacuate.
func (c *Control) EndEvacuation(ctx context.Context, dataCentre string) error {
	return c.changeEvacuation(ctx, dataCentre, false)
}

func (c *Control) changeEvacuation(ctx context.Context, dataCentre string, active bool) error {
	err := c.checkDataCentre(ctx, dataCentre)
	if err == nil {
		err = c.commitEvacuation(ctx, &state.Evacuation{DataCentre: dataCentre, Active: active})
	}
	if err != nil {
		c.Log.Log(event.EvacuationRefused, "data_centre", dataCentre, "active", active, "error", err.Error())
	}
	return err
}

// checkDataCentre refuses a data centre that the deployment does not have. One that is already in the set is accepted, so
// that an evacuation can be withdrawn also after its data centre was removed from the settings.
func (c *Control) checkDataCentre(ctx context.Context, dataCentre string) error {
	if !evacuation.ValidName(dataCentre) {
		return fault.New(fault.BadRequest, "%.100q is not a valid name of a data centre; use one without spaces, commas and slashes", dataCentre)
	}
	if len(c.DataCentres) == 0 || slices.Contains(c.DataCentres, dataCentre) {
		return nil
	}
	found := false
	if err := c.do(ctx, func() { _, found = c.evacuations.set.Find(dataCentre) }); err != nil {
		return fault.New(fault.NoQuorum, "this VM did not process the command in time; try again, or ask another VM")
	}
	if !found {
		return fault.New(fault.UnknownDataCentre, "the deployment has no data centre %q; name one of %s", dataCentre, strings.Join(c.DataCentres, ", "))
	}
	return nil
}

// commitEvacuation commits a command and adopts its result, so that this VM does not wait for the next state exchange.
func (c *Control) commitEvacuation(ctx context.Context, change *state.Evacuation) error {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Evacuation{Evacuation: change}})
	switch {
	case err != nil:
		return err
	case result.GetEvacuation() == nil:
		return fault.New(fault.NoQuorum, "the leader is of a build that knows no evacuations; replace the VMs of that build and try again")
	case result.Evacuation.Refused:
		return fault.New(fault.BadRequest, "%d data centres are evacuated already, the maximum; withdraw one first", evacuation.MaxActive)
	}
	// The command is committed and therefore acknowledged, also if this VM stops before it adopts the result.
	_ = c.do(ctx, func() { c.adoptEvacuations(state.DecodeEvacuations(result.Evacuation.Current)) })
	return nil
}

// adoptEvacuations replaces the set of evacuations by a newer one.
func (c *Control) adoptEvacuations(next evacuation.State) {
	previous := c.evacuations.set
	merged := previous.Merge(next)
	if merged.Version == previous.Version {
		return
	}
	c.evacuations.set = merged
	now := c.Clock.Now()
	for _, change := range merged.Changes {
		if change.Active && !previous.Active(change.DataCentre) {
			c.Log.Log(event.EvacuationStarted, "data_centre", change.DataCentre, "version", merged.Version)
		}
		if !change.Active {
			// The log's time is used for an end that this VM did not observe, for example one before its start.
			c.recordEvacuationEnd(change.DataCentre, timer.Earlier(now, time.UnixMilli(change.TimeMS)))
		}
	}
	for _, dataCentre := range previous.DataCentres() {
		if !merged.Active(dataCentre) {
			c.recordEvacuationEnd(dataCentre, now)
			c.Log.Log(event.EvacuationEnded, "data_centre", dataCentre, "version", merged.Version)
		}
	}
	c.viewStale, c.viewUrgent = true, true
}

// recordEvacuationEnd keeps the latest end of an evacuation, and drops those that are older than EndRetention.
func (c *Control) recordEvacuationEnd(dataCentre string, at time.Time) {
	ends := c.evacuations.endedAt
	if ends == nil {
		ends = make(map[string]time.Time)
		c.evacuations.endedAt = ends
	}
	if at.After(ends[dataCentre]) {
		ends[dataCentre] = at
	}
	for name, old := range ends {
		if c.Clock.Now().Sub(old) > evacuation.EndRetention {
			delete(ends, name)
		}
	}
}

// evacuationEndedAt returns when the last evacuation of a data centre ended, on this VM's clock; zero if none has ended.
// It must be called on the control goroutine.
func (c *Control) evacuationEndedAt(dataCentre string) time.Time {
	return c.evacuations.endedAt[dataCentre]
}

// adoptOwnEvacuations adopts the set of this VM's replica. A replica that is catching up applies old evacuations that were
// withdrawn later; these must not take effect.
func (c *Control) adoptOwnEvacuations() {
	r := c.replica
	if !r.core.Current() || r.applied < r.core.Status().Commit {
		return
	}
	c.adoptEvacuations(r.machine.Evacuations())
	c.evacuations.replicaCurrent = true
	c.markEvacuationsCurrent()
}

func (c *Control) markEvacuationsCurrent() {
	if !c.evacuations.current {
		c.evacuations.current = true
		c.viewStale, c.viewUrgent = true, true
	}
}

// describeEvacuations returns this VM's evacuations for the reply to a VM that knows those of the version since.
func (c *Control) describeEvacuations(since uint64) *link.EvacuationState {
	e := &link.EvacuationState{Current: c.evacuations.replicaCurrent, Version: c.evacuations.set.Version}
	if e.Version > since {
		e.Evacuations = state.EncodeEvacuations(c.evacuations.set)
	}
	return e
}

// mergeEvacuations merges the evacuations in another VM's reply.
func (c *Control) mergeEvacuations(r *link.ExchangeReply) {
	e := r.EvacuationState
	if e == nil {
		c.evacuations.legacy = true
		return
	}
	if r.Sender.GetReplicaId() != "" || len(r.Group.GetMembership().GetReplicas()) > 0 {
		c.evacuations.expected = true
	}
	c.adoptEvacuations(state.DecodeEvacuations(e.Evacuations))
	if e.Current && e.Version <= c.evacuations.set.Version {
		c.markEvacuationsCurrent()
	}
}

// evacuationsKnown reports whether this VM may route requests: it has received the evacuations since its start, or no VM
// of its deployment can have any: there is no data folder, or all VMs that replied are of a build without evacuations. A
// deployment that evacuates no data centres does not wait for them.
func (c *Control) evacuationsKnown() bool {
	if c.EvacuationsOptional {
		return true
	}
	e := &c.evacuations
	awaitsReply := c.Folder != nil && len(c.Join) > 0 && !e.legacy
	return e.current || (!e.expected && c.replica == nil && !awaitsReply)
}

// OnlyEvacuated reports whether a pool has endpoints that would be routable, but all of them in evacuated data centres.
func (v *View) OnlyEvacuated(pool string) bool {
	return len(v.Pools[pool]) == 0 && len(v.Evacuated[pool]) > 0
}
