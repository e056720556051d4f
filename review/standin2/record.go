package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and collects the breaks of the rule.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	breaks  map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now(), breaks: make(map[string]int)}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records a break of the rule of one sort.
func (r *record) breakRule(sort, format string, args ...any) {
	r.note("BROKEN %s: %s", sort, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks[sort]++
}

func (r *record) broken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaks) > 0
}

// summary writes a line to the record and to the standard output.
func (r *record) summary(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sumBreaks writes the number of breaks of each sort.
func (r *record) sumBreaks() {
	r.mu.Lock()
	var sorts []string
	for sort, n := range r.breaks {
		sorts = append(sorts, fmt.Sprintf("%s: %d times", sort, n))
	}
	r.mu.Unlock()
	slices.Sort(sorts)
	for _, line := range sorts {
		r.summary("%s", line)
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
