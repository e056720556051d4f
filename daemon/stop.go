package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitplank/event"
	"godwitplank/timer"
)

// Times of a planned stop.
const (
	// stopNotice is how long a stopping VM still takes requests, so that the balancer sees its probe fail; graceNotice is
	// the same where the whole stop is bounded.
	stopNotice  = 3 * time.Second
	graceNotice = 2800 * time.Millisecond
	// stopGrace is added to the longest deadline for what is in flight.
	stopGrace = 2 * time.Second
	// lastExchanges is how long the other VMs have to ask for the last counts and for the new leader.
	lastExchanges = 1200 * time.Millisecond
	// graceMargin is left of a grace period for the end of the process.
	graceMargin = 400 * time.Millisecond
)

// drain lets the balancer see the stop, hands leadership over and waits for what is in flight.
func (d *Daemon) drain() {
	begun := timer.System.Now()
	ctx := context.Background()
	if err := d.control.BeginStop(ctx); err != nil {
		d.log.Log(event.StopStep, "step", "begin", "error", err.Error())
	}
	servers := append([]*http.Server{d.callers}, d.servers...)
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	notice := stopNotice
	if d.Settings.StopGrace > 0 {
		notice = graceNotice
	}
	_ = timer.Wait(ctx, notice)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(d.stopLimit()))
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				d.log.Log(event.StopStep, "step", "shutdown", "error", err.Error())
			}
		})
	}
	group.Wait()
	d.runner.Wait()
	if err := d.control.BeginStop(ctx); err != nil {
		d.log.Log(event.StopStep, "step", "hand over", "error", err.Error())
	}
	_ = timer.Wait(ctx, lastExchanges)
}

// stopLimit is the longest time from the begin of a stop to the end of the last request.
func (d *Daemon) stopLimit() time.Duration {
	if d.Settings.StopGrace > 0 {
		return d.Settings.StopGrace - graceMargin
	}
	limit := stopNotice + stopGrace + lastExchanges
	if v := d.control.View(); v.Document != nil {
		limit += v.Document.LongestDeadline()
	}
	return limit
}
