package piece

import (
	"sync"
	"time"

	"godwitplank/admission"
	"godwitplank/link"
)

// forecastTTL is how long a forecast of another VM is used.
const forecastTTL = 2 * time.Second

// Forecast returns the predicted waits of a service, and false if this VM predicts none: with Defer, or without jobs so
// far.
func (d *Dispatcher) Forecast(service string) (admission.Forecast, bool) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[service]
	if q == nil || q.admitter == nil {
		return admission.Forecast{}, false
	}
	d.updateRoom(now, service, q)
	return q.forecast(), q.admitter.room.PiecesPerSecond > 0
}

// forecastStore holds the newest forecasts of other VMs by service. Its zero value is empty.
type forecastStore struct {
	mu      sync.Mutex
	entries map[string]receivedForecast
}

// receivedForecast is a forecast and the time at which it arrived.
type receivedForecast struct {
	admission.Forecast
	at time.Time
}

func (s *forecastStore) put(now time.Time, service string, f *link.WaitForecast) {
	if f == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]receivedForecast)
	}
	s.entries[service] = receivedForecast{decodeForecast(f), now}
}

func (s *forecastStore) get(now time.Time, service string) (admission.Forecast, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.entries[service]
	return f.Forecast, ok && now.Sub(f.at) <= forecastTTL
}

// Forecast returns the predicted waits of a service: those of this VM if it owns the service, else the newest ones that
// the owner sent with a reply. It returns false if there are none or they are older than forecastTTL.
func (b *Broker) Forecast(service string) (admission.Forecast, bool) {
	if b.owner(service) == b.VM {
		return b.Dispatcher.Forecast(service)
	}
	return b.forecasts.get(b.Clock.Now(), service)
}

// encodeForecast returns the forecast of a service for another VM, nil if there is none.
func (d *Dispatcher) encodeForecast(service string) *link.WaitForecast {
	f, ok := d.Forecast(service)
	if !ok {
		return nil
	}
	out := &link.WaitForecast{LateMs: encodeWait(f.LateWait)}
	for _, w := range f.Waits {
		out.Waits = append(out.Waits, &link.PriorityWait{Priority: int32(w.Priority), WaitMs: encodeWait(w.Wait)})
	}
	return out
}

func decodeForecast(f *link.WaitForecast) admission.Forecast {
	out := admission.Forecast{LateWait: decodeWait(f.LateMs)}
	for _, w := range f.Waits {
		out.Waits = append(out.Waits, admission.PriorityWait{Priority: int(w.Priority), Wait: decodeWait(w.WaitMs)})
	}
	return out
}

func encodeWait(d time.Duration) int64 {
	if d == admission.Never {
		return -1
	}
	return d.Milliseconds()
}

func decodeWait(ms int64) time.Duration {
	if ms < 0 || ms > time.Hour.Milliseconds() {
		return admission.Never
	}
	return time.Duration(ms) * time.Millisecond
}
