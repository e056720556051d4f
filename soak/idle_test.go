package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Bounds of a VM without requests.
const (
	idleShare  = 0.015 // of a core
	idleBytes  = 40 << 20
	idleLength = 5 * time.Second
	// startLength is how long a VM counts as just started.
	startLength = 4 * time.Second
	// tick is the unit of a process's times under /proc.
	tick = 10 * time.Millisecond
)

// A VM that serves no requests, but hears endpoints and other VMs, costs next to nothing.
func TestIdle(t *testing.T) {
	w := newWorld(t, 3, 2, 3)
	time.Sleep(startLength) // VMs that have just started exchange news more often
	before := make(map[string]time.Duration)
	for _, p := range w.cluster.all() {
		before[p.name] = processorTime(t, p.pid())
	}
	time.Sleep(idleLength)
	for _, p := range w.cluster.all() {
		share := float64(processorTime(t, p.pid())-before[p.name]) / float64(idleLength)
		bytes := residentBytes(t, p.pid())
		t.Logf("%s: %.2f %% of a core, %.1f MB", p.name, 100*share, float64(bytes)/(1<<20))
		if share > idleShare || bytes > idleBytes {
			t.Errorf("%s is idle and takes %.2f %% of a core and %d bytes", p.name, 100*share, bytes)
		}
	}
}

// processorTime returns the time that a process has had of the processors.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	check(t, err)
	// The name in parentheses may hold spaces; the times are the 12th and 13th field after it.
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	total := time.Duration(0)
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		check(t, err)
		total += time.Duration(ticks) * tick
	}
	return total
}

func residentBytes(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	check(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	check(t, err)
	return pages * int64(os.Getpagesize())
}
