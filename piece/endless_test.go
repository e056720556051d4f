package piece

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Endpoints that sent bytes without end took 4 MB each of a VM that may have 144 MB.
func TestEndlessResponsesTakeLittleMemory(t *testing.T) {
	is := is.New(t)
	filler := []byte(strings.Repeat("x", 32<<10))
	endless := func(w http.ResponseWriter, _ int, _ []Item) bool {
		for {
			if _, err := w.Write(filler); err != nil {
				return true
			}
		}
	}
	var endpoints []*endpoint
	for i := range 40 {
		e := newEndpoint(t, fmt.Sprint("e-", i))
		e.respond = endless
		endpoints = append(endpoints, e)
	}
	d := startDispatcher(t, 1000, endpoints...)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			_, err := d.Run(ctx, newJob(fmt.Sprint("r", i), 8))
			is.True(err != nil)
		})
	}
	largest := uint64(0)
	for ctx.Err() == nil {
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		largest = max(largest, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	t.Logf("%d KB at most", largest>>10)
	is.True(largest < 36<<20) // a quarter of the smallest VM

	for _, e := range endpoints {
		e.mu.Lock()
		e.respond = nil
		e.mu.Unlock()
	}
	_, err := d.Run(t.Context(), newJob("after", 8))
	is.NoErr(err)
}
