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

// Nobody reads the output; writing goes on, and the lines that are lost are counted once somebody reads.
func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	q := NewQueue(writer)
	begun := time.Now()
	for range 10 * queueLines {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(begun) < 5*time.Second)
	text := make(chan string, 1)
	var group sync.WaitGroup
	group.Go(func() {
		all, _ := io.ReadAll(reader)
		text <- string(all)
	})
	for q.dropped.Load() > 0 {
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
