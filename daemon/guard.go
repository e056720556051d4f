package daemon

import (
	"math"
	"syscall"

	"godwitplank/caller"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/memory"
	"godwitplank/piece"
	"godwitplank/setting"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

const (
	// ownFDs are the descriptors for listeners, files, other VMs and probes.
	ownFDs = 64
	// minConnections are accepted even where there are hardly any descriptors.
	minConnections = 16
	// legalRequestBytes is what one request of legal size takes at most while its buffer doubles, with the response.
	legalRequestBytes = 4 * entry.MaxBodyBytes
	// jobsDivisor gives the memory for jobs of stages as a part of that for callers, which it comes on top of: if both shared one
	// budget, requests could hold all of it and then find none for their stages.
	jobsDivisor = 4
)

// newGuard returns the guard of the callers' connections.
func newGuard(s *setting.Settings, log event.Logger) *caller.Guard {
	return &caller.Guard{
		Budget: memory.ForProcess(s.MemoryMB, legalRequestBytes), MaxConnections: maxConnections(s),
		HeadTimeout: s.HeadTimeout, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout, IdleTimeout: s.IdleTimeout,
		Clock: timer.System, Log: log,
	}
}

// newJobBudget returns the budget for the jobs that this VM dispatches, nil for no limit.
func newJobBudget(callers *memory.Budget) *memory.Budget {
	if callers == nil {
		return nil
	}
	return memory.NewBudget(max(callers.Usage().Total/jobsDivisor, 2*piece.LargestJobBytes), piece.LargestJobBytes)
}

// maxConnections returns the number of callers' connections, 0 for no limit. On a VM that serves routes each may need a
// connection to an endpoint, so callers get half of the descriptors that the process does not need itself. Other VMs keep a
// quarter for connections of VMs.
func maxConnections(s *setting.Settings) int {
	if s.MemoryMB == 0 && s.MaxFDs == 0 {
		return 0
	}
	fds := uint64(math.MaxInt32)
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		fds = min(fds, limit.Cur)
	}
	if s.MaxFDs > 0 {
		fds = min(fds, uint64(s.MaxFDs))
	}
	free := int(fds) - ownFDs
	if s.RoutesAddr.IsValid() {
		return max(minConnections, free/2)
	}
	return max(minConnections, free-free/4)
}

// headLimit returns the largest head of a request of a route, as the document sets it.
func (d *Daemon) headLimit() int {
	v := d.control.View()
	if v.Document == nil {
		return 0
	}
	return v.Document.RequestLimits.MaxHeaderBytes
}

func noHeadLimit() int {
	return 0
}

func (d *Daemon) readCallerBytes() []telemetry.Reading {
	return budgetReadings(d.guard.Budget)
}

func (d *Daemon) readJobBytes() []telemetry.Reading {
	if d.routes == nil {
		return nil
	}
	return budgetReadings(d.routes.dispatcher.Memory)
}

func budgetReadings(b *memory.Budget) []telemetry.Reading {
	u := b.Usage()
	return []telemetry.Reading{
		{Value: float64(u.Used), Labels: []string{"kind", "held"}},
		{Value: float64(u.Total), Labels: []string{"kind", "budget"}},
	}
}

func (d *Daemon) readCallerConnections() []telemetry.Reading {
	n := d.guard.Counts()
	return labelled("state", map[string]int64{"idle": n.Idle, "head": n.Head, "body": n.Body, "running": n.Running, "writing": n.Writing})
}

func (d *Daemon) readCallerRefusals() []telemetry.Reading {
	n, u := d.guard.Counts(), d.guard.Budget.Usage()
	return labelled("cause", map[string]int64{
		"too_many_connections": n.Refused, "yielded_connection": n.Yielded, "yielded_memory": u.Yielded, "head_too_large": n.HeadTooLarge,
		"no_memory": n.NoMemory, "head_timeout": n.HeadTimeout, "body_timeout": n.BodyTimeout, "write_timeout": n.WriteTimeout,
	})
}

// labelled returns a reading for each value of a label.
func labelled(label string, values map[string]int64) []telemetry.Reading {
	var out []telemetry.Reading
	for value, n := range values {
		out = append(out, telemetry.Reading{Value: float64(n), Labels: []string{label, value}})
	}
	return out
}
