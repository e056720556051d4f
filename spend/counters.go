// Package spend counts the usage of each stage by each workspace.
//
// Every incarnation of a VM has its own counters. A counter only grows, so that VMs merge copies of it by taking the
// maximum (a G-counter), and no usage is counted twice.
package spend

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Key identifies a counter.
type Key struct {
	VM          string
	Incarnation uint64
	Workspace   string
	Stage       string
}

// Amount is the usage in a counter.
type Amount struct {
	// Calls is the number of stage calls that reached an endpoint.
	Calls uint64
	// Held is the total time for which these calls occupied an endpoint.
	Held time.Duration
}

// Line is a counter with its key.
type Line struct {
	Key
	Amount
}

// Counters holds the counters of all VMs. The zero value is empty.
type Counters struct {
	counters map[Key]*counter
	revision uint64
}

type counter struct {
	Amount
	revision uint64
}

// Merge merges a copy of a counter by taking the maximum of each value. It reports whether the counter grew.
func (c *Counters) Merge(l Line) bool {
	if c.counters == nil {
		c.counters = make(map[Key]*counter)
	}
	current := c.counters[l.Key]
	if current == nil {
		current = &counter{}
		c.counters[l.Key] = current
	}
	if l.Calls <= current.Calls && l.Held <= current.Held {
		return false
	}
	c.revision++
	current.Calls, current.Held, current.revision = max(current.Calls, l.Calls), max(current.Held, l.Held), c.revision
	return true
}

// ChangedSince returns the counters that changed after a revision, in no particular order, and the current revision.
func (c *Counters) ChangedSince(revision uint64) ([]Line, uint64) {
	var out []Line
	for k, counter := range c.counters {
		if counter.revision > revision {
			out = append(out, Line{k, counter.Amount})
		}
	}
	return out, c.revision
}

// Revision returns a number that grows with every change of a counter.
func (c *Counters) Revision() uint64 {
	return c.revision
}

// Total is a workspace's usage of a stage, summed over all VMs.
type Total struct {
	Workspace string `json:"workspace"`
	Stage     string `json:"stage"`
	Calls     uint64 `json:"calls"`
	HeldMS    int64  `json:"held_ms"`
}

// Totals returns the usage per workspace and stage, sorted by both.
func (c *Counters) Totals() []Total {
	type totalKey struct{ workspace, stage string }
	sums := make(map[totalKey]Amount)
	for key, counter := range c.counters {
		k := totalKey{key.Workspace, key.Stage}
		sums[k] = Amount{sums[k].Calls + counter.Calls, sums[k].Held + counter.Held}
	}
	out := make([]Total, 0, len(sums))
	for k, a := range sums {
		out = append(out, Total{k.workspace, k.stage, a.Calls, a.Held.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Stage, b.Stage))
	})
	return out
}

// Tally counts this VM's usage in its current incarnation. It is safe for concurrent use. The zero value is empty.
type Tally struct {
	mu      sync.Mutex
	amounts map[[2]string]Amount
}

// Add counts one call of a stage for a workspace that occupied an endpoint for the given time.
func (t *Tally) Add(workspace, stage string, held time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.amounts == nil {
		t.amounts = make(map[[2]string]Amount)
	}
	k := [2]string{workspace, stage}
	a := t.amounts[k]
	t.amounts[k] = Amount{a.Calls + 1, a.Held + held}
}

// Take returns the counters as Lines does, and begins to count from 0 again.
func (t *Tally) Take(vm string, incarnation uint64) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.lines(vm, incarnation)
	t.amounts = nil
	return out
}

// Lines returns the counters with the given VM name and incarnation in their keys.
func (t *Tally) Lines(vm string, incarnation uint64) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines(vm, incarnation)
}

// lines returns the counters. The caller holds t.mu.
func (t *Tally) lines(vm string, incarnation uint64) []Line {
	out := make([]Line, 0, len(t.amounts))
	for k, a := range t.amounts {
		out = append(out, Line{Key{vm, incarnation, k[0], k[1]}, a})
	}
	return out
}
