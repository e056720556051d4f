package route

import (
	"math/rand/v2"
	"time"

	"godwitplank/event"
)

// Notice is what an endpoint's response says about calls to come.
type Notice struct {
	// Leaving is true if the endpoint drains: it wants no new work in this incarnation.
	Leaving bool
	// RetryAfter is how long the endpoint wants no call from this VM, 0 if it does not say.
	RetryAfter time.Duration
	// Load is the endpoint's load, nil if it does not say.
	Load *LoadReport
	// Limit is the number of calls per second that the endpoint takes from all VMs together, 0 if it states none.
	Limit float64
	// Ignored says what was wrong with a notice that could not be decoded, empty if nothing was.
	Ignored string
}

const (
	// MaxQuiet limits the quiet that an endpoint may ask for.
	MaxQuiet = 2 * time.Minute
	// quietSpread is the largest fraction of a quiet by which it is prolonged at random, so that VMs that were told the same
	// time do not return at once.
	quietSpread = 0.1
)

// ObserveNotice records and logs the notice of a response to a call of the given source, which is request or stage. The newest end of
// a quiet counts.
func (c *Candidate) ObserveNotice(now time.Time, n Notice, log event.Logger, source, requestID string) {
	if n.Ignored != "" {
		log.Log(event.EndpointNoticeIgnored, "endpoint", c.ID, "source", source, "reason", n.Ignored)
	}
	if n.Load != nil {
		c.Stats.ObserveLoad(now, *n.Load)
	}
	if n.Leaving && c.Stats.Leave() {
		log.Log(event.EndpointLeaves, "endpoint", c.ID, "incarnation", c.Incarnation, "source", source, "request_id", requestID)
	}
	if n.Limit > 0 && c.Stats.StateLimit(now, n.Limit) {
		log.Log(event.EndpointLimited, "endpoint", c.ID, "incarnation", c.Incarnation, "limit", n.Limit, "source", source, "request_id", requestID)
	}
	if n.RetryAfter > 0 {
		quiet := c.Stats.Quiet(now, n.RetryAfter)
		log.Log(event.EndpointQuiet, "endpoint", c.ID, "incarnation", c.Incarnation, "quiet_ms", quiet.Milliseconds(), "source", source, "request_id", requestID)
	}
}

// Leave records that the endpoint leaves. It reports whether that was not known.
func (s *Stats) Leave() bool {
	return !s.leaving.Swap(true)
}

// Quiet records that the endpoint wants no calls for a time. It returns that time as it is kept.
func (s *Stats) Quiet(now time.Time, quiet time.Duration) time.Duration {
	quiet = min(quiet, MaxQuiet)
	quiet += time.Duration(quietSpread * rand.Float64() * float64(quiet))
	s.quietUntil.Store(now.Add(quiet).UnixNano())
	return quiet
}

// Leaving reports whether the endpoint said that it leaves.
func (s *Stats) Leaving() bool {
	return s.leaving.Load()
}

// QuietUntil returns the end of the last quiet that the endpoint asked for, zero if none was or a call has succeeded since.
func (s *Stats) QuietUntil() time.Time {
	if until := s.quietUntil.Load(); until != 0 {
		return time.Unix(0, until)
	}
	return time.Time{}
}

// Accepts reports whether the endpoint may get a call beside inFlight others of this VM: it does not leave, is not in a quiet,
// and after one it gets single calls until one succeeds. An endpoint that is cold or states a limit gets a call only if there is a
// permit for it.
func (s *Stats) Accepts(now time.Time, inFlight int64) bool {
	if s.leaving.Load() || !s.Schedule.Permits(now) || !s.Quota.Permits(now) {
		return false
	}
	until := s.quietUntil.Load()
	return until == 0 || (now.UnixNano() >= until && inFlight == 0)
}

// EndQuiet records a successful call. It reports whether that ends a quiet whose time is over.
func (s *Stats) EndQuiet(now time.Time) bool {
	until := s.quietUntil.Load()
	return until != 0 && now.UnixNano() >= until && s.quietUntil.CompareAndSwap(until, 0)
}

// FirstReturn returns when the first of the candidates accepts calls again that do not leave, and that are in a quiet or without a
// permit; zero if there is none.
func FirstReturn(q Query, candidates []Candidate) time.Time {
	var first time.Time
	for i := range candidates {
		c := &candidates[i]
		until := c.Stats.returnsAt(q.Now)
		if c.Stats.Leaving() || !q.Now.Before(c.ExpiresAt) || !servesModel(c, q.Model) || !q.Now.Before(until) {
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}
