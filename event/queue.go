package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines buffered for a slow output, about 300 KB at 300 bytes per line.
const queueLines = 1024

// Queue is a buffered, non-blocking io.Writer. Lines written while the buffer is full are dropped and counted, so that
// a slow log output does not delay requests.
type Queue struct {
	lines      chan []byte
	unreported atomic.Int64 // lines dropped since the last LinesDropped event
	dropped    atomic.Int64
	wg         sync.WaitGroup

	mu     sync.RWMutex // guards closed and the closing of lines
	closed bool
}

// NewQueue returns a queue that writes to w in a goroutine until Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	q.wg.Go(func() { q.writeLines(w) })
	return q
}

// Write queues a copy of one line. It never fails; if the queue is full or closed, the line is dropped.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.enqueue(line) {
		q.unreported.Add(1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue queues a copy of one line and reports whether there was room for it.
func (q *Queue) enqueue(line []byte) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return false
	}
	select {
	case q.lines <- append([]byte(nil), line...):
		return true
	default:
		return false
	}
}

// Dropped returns the total number of lines dropped by Write.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// writeLines writes the queued lines, all that are available in one call of w.Write, and reports dropped ones.
func (q *Queue) writeLines(w io.Writer) {
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line...)
		more := len(q.lines)
		for range more {
			batch = append(batch, <-q.lines...)
		}
		if n := q.unreported.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n", LinesDropped.Message, LinesDropped.Number, n)
		}
		if _, err := w.Write(batch); err != nil {
			// The log itself has failed, so the lost lines can only be counted and reported later.
			q.unreported.Add(int64(more) + 1)
			q.dropped.Add(int64(more) + 1)
		}
	}
}

// Close writes the queued lines and stops. Lines written after it are dropped.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	close(q.lines)
	q.mu.Unlock()
	q.wg.Wait()
}
