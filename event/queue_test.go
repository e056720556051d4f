package event

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With an output that nobody reads, Write still returns; the dropped lines are reported once the output is read.
func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	q := NewQueue(writer)
	started := time.Now()
	for range 10 * queueLines {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < 5*time.Second)
	text := make(chan string, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		all, _ := io.ReadAll(reader)
		text <- string(all)
	})
	for q.unreported.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	q.Close()
	is.NoErr(writer.Close())
	is.True(strings.Contains(<-text, LinesDropped.Message))
}

func TestQueueKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := NewQueue(&out)
	want := ""
	for i := range 100 {
		line := strings.Repeat("x", i) + "\n"
		want += line
		_, _ = q.Write([]byte(line))
	}
	q.Close()
	is.Equal(out.String(), want)
}

// Every line of a failed write is counted as dropped.
func TestQueueCountsFailedWrites(t *testing.T) {
	is := is.New(t)
	q := NewQueue(failingWriter{})
	const lines = 5
	for range lines {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	q.Close()
	is.Equal(q.Dropped(), int64(lines))
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// A request that is answered while its VM exits logs after Close. The line is dropped; a panic here would lose the answer too.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := NewQueue(&out)
	var wg sync.WaitGroup
	start := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			<-start
			for range queueLines {
				n, err := q.Write([]byte("line\n"))
				is.Equal(n, len("line\n"))
				is.NoErr(err)
			}
		})
	}
	close(start)
	q.Close()
	wg.Wait()
	is.Equal(int64(strings.Count(out.String(), "line\n"))+q.Dropped(), int64(4*queueLines))
}
