package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitplank/caller"
	"godwitplank/memory"
	"godwitplank/timer"
)

// BenchmarkConnection measures a request over a connection, with and without the guard of callers' connections. The
// difference is what the accounting costs an ordinary request.
func BenchmarkConnection(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%t", guarded), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: newTestServer(b, 1).Handler(), ReadHeaderTimeout: 10 * time.Second}
			addr := l.Addr().String()
			if guarded {
				g := &caller.Guard{
					Budget: memory.ForProcess(144, 16<<20), MaxConnections: 100, Clock: timer.System,
					HeadTimeout: 10 * time.Second, BodyTimeout: 10 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: 75 * time.Second,
				}
				g.Configure(server)
				l = g.Listen(l, func() int { return 16384 })
			}
			done := make(chan error, 1)
			b.Cleanup(func() {
				_ = server.Close()
				<-done
			})
			var wg sync.WaitGroup
			wg.Go(func() { done <- server.Serve(l) })
			input := `{"input":"` + strings.Repeat("x", 4000) + `"}`
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/pipelines/p/requests", strings.NewReader(input))
				r.Header.Set("Authorization", "Bearer key")
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.Status)
				}
			}
		})
	}
}
