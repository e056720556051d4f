package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait for a slow reader; at about 300 bytes a line that is some 300 KB.
const queueLines = 1024

// Queue is a writer that never blocks: lines that the output does not take in time are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64 // since the last line that told of it
	lost    atomic.Int64
	group   sync.WaitGroup
}

// NewQueue returns a queue before an output.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	q.group.Go(func() { q.pump(w) })
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.lost.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (q *Queue) Dropped() int64 {
	return q.lost.Load()
}

// pump writes what waits; lines that come together go in one write.
func (q *Queue) pump(w io.Writer) {
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line...)
		for range len(q.lines) {
			batch = append(batch, <-q.lines...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n", LinesDropped.Message, LinesDropped.Number, n)
		}
		if _, err := w.Write(batch); err != nil {
			// There is nowhere left to report to.
			q.dropped.Add(1)
		}
	}
}

// Close writes what waits. Nothing may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	q.group.Wait()
}
