package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitplank/event"
	"godwitplank/stop"
	"godwitplank/timer"
)

// Durations of the phases of a graceful stop.
const (
	// noticePeriod is how long a stopping VM still accepts requests, so that the load balancer sees its probe fail;
	// boundedNoticePeriod, or half of stop_grace if that is
	// shorter, replaces it if that setting limits the whole stop.
	noticePeriod        = 3 * time.Second
	boundedNoticePeriod = 2800 * time.Millisecond
	// drainMargin is added to the longest deadline as time for requests in flight to end.
	drainMargin = 2 * time.Second
	// finalExchangePeriod is how long the other VMs have to fetch the final spend counts and to learn of the new leader.
	finalExchangePeriod = 1200 * time.Millisecond
	// exitMargin is the part of stop_grace that is reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// Requests have their answers answerMargin, or 1/answerMarginDivisor of the drain timeout if that is shorter, before it.
	answerMargin        = 500 * time.Millisecond
	answerMarginDivisor = 10
)

// stopNotice asks callers to close their connections once a stop has begun.
type stopNotice struct {
	begun atomic.Bool
}

func (n *stopNotice) begin() {
	n.begun.Store(true)
}

// wrap returns a handler whose responses carry "Connection: close" during a stop. http.Server.SetKeepAlivesEnabled would
// also close the idle connections at once, on some of which a request is on its way.
func (n *stopNotice) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.begun.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain reports the VM as stopping, transfers leadership, keeps serving for the notice period and then waits for requests
// in flight. At the end it transfers leadership once more, in case this VM holds it again.
func (d *Daemon) drain() {
	started := timer.System.Now()
	ctx := context.Background()
	if err := d.control.BeginStop(ctx); err != nil {
		d.log.Log(event.StopStepFailed, "step", "begin", "error", err.Error())
	}
	d.notice.begin()
	servers := append([]*http.Server{d.callers}, d.optionalServers...)
	notice := noticePeriod
	if d.Settings.StopGrace > 0 {
		notice = min(boundedNoticePeriod, d.Settings.StopGrace/2)
	}
	timeout := d.drainTimeout()
	d.stop.Begin(stop.Times{NoticeEnds: started.Add(notice), AnswerBy: started.Add(timeout - min(answerMargin, timeout/answerMarginDivisor))})
	_ = timer.Wait(ctx, notice)
	ctx, cancel := context.WithDeadline(ctx, started.Add(timeout))
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				d.log.Log(event.StopStepFailed, "step", "shutdown", "error", err.Error())
			}
		})
	}
	wg.Wait()
	d.waitForRunner(ctx)
	if err := d.control.BeginStop(ctx); err != nil {
		d.log.Log(event.StopStepFailed, "step", "transfer leadership", "error", err.Error())
	}
	_ = timer.Wait(ctx, finalExchangePeriod)
}

// waitForRunner waits until the runner's background work has ended, or ctx has.
func (d *Daemon) waitForRunner(ctx context.Context) {
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		d.runner.Wait()
		close(ended)
	})
	select {
	case <-ended:
	case <-ctx.Done():
		d.log.Log(event.StopStepFailed, "step", "background work", "error", ctx.Err().Error())
	}
}

// drainTimeout returns the longest time from the start of a stop to the end of the last request.
func (d *Daemon) drainTimeout() time.Duration {
	if d.Settings.StopGrace > 0 {
		return max(d.Settings.StopGrace-exitMargin, d.Settings.StopGrace/2)
	}
	limit := noticePeriod + drainMargin + finalExchangePeriod
	if v := d.control.View(); v.Document != nil {
		limit += v.Document.LongestDeadline()
	}
	return limit
}
