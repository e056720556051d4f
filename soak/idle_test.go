package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Resource bounds for a VM that serves no requests.
const (
	maxIdleCPUShare = 0.015 // of a core
	maxIdleBytes    = 40 << 20
	measureDuration = 5 * time.Second
	// startupDuration is left out of the measurement: VMs that have just started exchange state more often.
	startupDuration = 4 * time.Second
	// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ is 100).
	clockTick = 10 * time.Millisecond
)

// TestIdle bounds the CPU and memory use of VMs that serve no requests but still receive announcements of endpoints and
// exchange state with other VMs.
func TestIdle(t *testing.T) {
	h := newHarness(t, 3, 2, 3)
	time.Sleep(startupDuration)
	cpuBefore := make(map[string]time.Duration)
	for _, p := range h.cluster.processes() {
		cpuBefore[p.name] = cpuTime(t, p.pid())
	}
	time.Sleep(measureDuration)
	for _, p := range h.cluster.processes() {
		share := float64(cpuTime(t, p.pid())-cpuBefore[p.name]) / float64(measureDuration)
		rssBytes := residentMemory(t, p.pid())
		t.Logf("%s: %.2f %% of a core, %.1f MB", p.name, 100*share, float64(rssBytes)/(1<<20))
		if share > maxIdleCPUShare || rssBytes > maxIdleBytes {
			t.Errorf("%s is idle but uses %.2f %% of a core and %d bytes of memory", p.name, 100*share, rssBytes)
		}
	}
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	check(t, err)
	// The command name in parentheses may contain spaces; utime and stime are the 12th and 13th field after it.
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	total := time.Duration(0)
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		check(t, err)
		total += time.Duration(ticks) * clockTick
	}
	return total
}

func residentMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	check(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	check(t, err)
	return pages * int64(os.Getpagesize())
}
