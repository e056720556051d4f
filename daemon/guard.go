package daemon

import (
	"math"
	"syscall"

	"godwitplank/caller"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/memory"
	"godwitplank/setting"
	"godwitplank/timer"
)

const (
	// ownFDs are the descriptors for listeners, files, other VMs and probes.
	ownFDs = 64
	// minConnections are accepted even where there are hardly any descriptors.
	minConnections = 16
	// legalRequestBytes is what one request of legal size takes at most while its buffer doubles, with the response.
	legalRequestBytes = 4 * entry.MaxBodyBytes
)

// newGuard returns the guard of the callers' connections.
func newGuard(s *setting.Settings, log event.Logger) *caller.Guard {
	return &caller.Guard{
		Budget: memory.ForProcess(s.MemoryMB, legalRequestBytes), MaxConnections: maxConnections(s),
		HeadTimeout: s.HeadTimeout, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout, IdleTimeout: s.IdleTimeout,
		Clock: timer.System, Log: log,
	}
}

// maxConnections returns the number of callers' connections, 0 for no limit. Each may need a connection to an endpoint, so
// callers get half of the descriptors that the process does not need itself.
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
	return max(minConnections, (int(fds)-ownFDs)/2)
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
