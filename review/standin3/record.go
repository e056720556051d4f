package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func newRecord(out io.Writer) *record {
	return &record{out: out, started: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line)
	fmt.Print(line)
}
