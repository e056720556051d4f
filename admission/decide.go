package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// A late job waits only if it is predicted to end within lateShare of the time to its deadline, since a caller that
	// waits and gets nothing loses more than a late response is worth. For a caller that has returned, a refusal costs
	// more, so it waits up to returnedLateShare.
	lateShare         = 0.3
	returnedLateShare = 0.9
	// minRetry is the shortest delay before a refused caller returns. A caller returns after at most maxRetryShare of the
	// time that it has left, whatever the delay says.
	minRetry      = 300 * time.Millisecond
	maxRetryShare = 1.0 / 3
	// retrySpread is the part of the delay over which the callers are spread.
	retrySpread = 0.4
	// scarceMemoryShare is the free fraction of the memory for results below which the rate at which it becomes free
	// limits the rate of a service.
	scarceMemoryShare = 0.25
	// Demand comes in waves of 4 to 7 s. While it leaves less than minSpare of the capacity, capacity is predicted at the end
	// of the longest wave, and then spareAfterWave of it.
	waveLength     = 7 * time.Second
	minSpare       = 0.05
	spareAfterWave = 0.2
)

// Plan is what a Policy decided for a set of claims.
type Plan struct {
	// Order has the indices of the claims in the order in which they get capacity.
	Order []int
	// Decisions are the verdicts by claim.
	Decisions []Decision
}

// load is the work that is ahead of a claim.
type load struct {
	pieces int
	bytes  int64
}

func (l *load) add(c *Claim) {
	l.pieces += c.Pieces
	l.bytes += c.Bytes
}

// Decide decides on all claims of a service. It sets Late and Starved of the claims.
func (p *Policy) Decide(now time.Time, room *Room, claims []*Claim) Plan {
	plan := Plan{Order: make([]int, len(claims)), Decisions: make([]Decision, len(claims))}
	for i, c := range claims {
		plan.Order[i] = i
		p.classify(now, room, c)
	}
	p.sort(plan.Order, claims)
	var ahead load
	for _, i := range plan.Order {
		c := claims[i]
		if c.class() == lateClass {
			continue
		}
		wait := room.wait(ahead, c)
		if c.class() == inTimeClass && !c.InputsHoldMemory && room.PiecesPerSecond > 0 {
			end := room.end(now, wait, ahead, c)
			if c.Late = end.After(c.Due); c.Late {
				plan.Decisions[i] = Decision{Verdict: Refuse}
				continue
			}
		}
		plan.Decisions[i] = decision(wait)
		ahead.add(c)
	}
	p.sort(plan.Order, claims)
	for _, i := range plan.Order {
		c := claims[i]
		if c.class() != lateClass && plan.Decisions[i].Verdict != Refuse {
			continue
		}
		if plan.Decisions[i] = p.decideLate(now, room, ahead, c); plan.Decisions[i].Verdict != Refuse {
			ahead.add(c)
		}
	}
	return plan
}

// limit returns the time by which a claim has to end to be kept: its objective, or for one that is late before its
// deadline.
func (c *Claim) limit(now time.Time) time.Time {
	switch {
	case !c.Late:
		return c.Due
	case c.Returned:
		return now.Add(time.Duration(returnedLateShare * float64(c.Deadline.Sub(now))))
	}
	return now.Add(time.Duration(lateShare * float64(c.Deadline.Sub(now))))
}

func (p *Policy) sort(order []int, claims []*Claim) {
	slices.SortStableFunc(order, func(a, b int) int { return p.Compare(claims[a], claims[b]) })
}

// classify sets Late and Starved of a claim, as far as they do not depend on other claims. A job that was late remains so:
// it lost its place to others that were told to wait.
func (p *Policy) classify(now time.Time, room *Room, c *Claim) {
	c.Late = !c.InputsHoldMemory && (c.Late || c.Due.Before(now.Add(c.Predicted)))
	c.Starved = room.starved(c.Kind)
}

// Arrive decides on a claim that arrives at a service with queued claims, which are in the order of Compare. It sets Late
// and Starved of the claim.
func (p *Policy) Arrive(now time.Time, room *Room, queued func(yield func(*Claim) bool), c *Claim) Decision {
	p.classify(now, room, c)
	var ahead, total load
	displaces := false
	for other := range queued {
		total.add(other)
		if p.Compare(other, c) <= 0 {
			ahead.add(other)
			continue
		}
		if other.class() == inTimeClass && !other.Late && other.Priority <= c.Priority && !displaces {
			before := total
			before.pieces += c.Pieces - other.Pieces
			before.bytes += c.Bytes - other.Bytes
			displaces = room.end(now, room.wait(before, other), before, other).After(other.Due)
		}
	}
	if c.class() == inTimeClass {
		wait := room.wait(ahead, c)
		end := room.end(now, wait, ahead, c)
		c.Late = end.After(c.Due) && !c.InputsHoldMemory
		meets := !c.Late && (!displaces || c.Starved || c.Returned)
		if meets || c.InputsHoldMemory || room.PiecesPerSecond <= 0 {
			return decision(wait)
		}
		c.Late = true
	}
	return p.decideLate(now, room, total, c)
}

// decideLate decides on a late claim, which uses only capacity that the claims ahead and the demand leave over.
func (p *Policy) decideLate(now time.Time, room *Room, ahead load, c *Claim) Decision {
	wait := room.lateWait(ahead, c)
	if room.PiecesPerSecond <= 0 || !c.refusable() || (wait != Never && room.end(now, wait, ahead, c).Before(c.limit(now))) {
		return decision(wait)
	}
	return Decision{Verdict: Refuse, Wait: wait, RetryAfter: p.RetryAfter(wait, c.Deadline.Sub(now))}
}

func decision(wait time.Duration) Decision {
	if wait <= 0 {
		return Decision{Verdict: Start}
	}
	return Decision{Verdict: Wait, Wait: wait}
}

// RetryAfter returns when a refused caller should return: once capacity is predicted, at most maxRetryShare of the time
// that it has left. Successive results are spread evenly.
func (p *Policy) RetryAfter(wait, left time.Duration) time.Duration {
	p.refusals++
	_, spread := math.Modf(float64(p.refusals) * math.Phi)
	latest := time.Duration(maxRetryShare * float64(left))
	base := min(max(wait, minRetry), time.Duration(float64(latest)/(1+retrySpread)))
	return max(minRetry, base+time.Duration(retrySpread*spread*float64(base)))
}

// wait returns the predicted time until a claim starts with work ahead of it.
func (r *Room) wait(ahead load, c *Claim) time.Duration {
	rate := r.rate(ahead)
	rate = max(minSpare*rate, rate-r.demandAbove(c.Priority))
	return max(r.waitForEndpoint(ahead.pieces, rate), r.waitForMemory(ahead, c))
}

// demandAbove returns the pieces per second of arriving jobs of higher priority, which pass a waiting job.
func (r *Room) demandAbove(priority int) float64 {
	d, ok := r.above[priority]
	if ok {
		return d
	}
	for k, share := range r.Shares {
		if k.Priority < priority {
			d += share.Asked / r.ShareWindow.Seconds()
		}
	}
	if r.above == nil {
		r.above = make(map[int]float64)
	}
	r.above[priority] = d
	return d
}

// rate returns the pieces per second that the endpoints and their memory allow for work like that ahead.
func (r *Room) rate(ahead load) float64 {
	if ahead.bytes <= 0 || float64(r.FreeBytes) > scarceMemoryShare*float64(r.TotalBytes) {
		return r.PiecesPerSecond
	}
	return min(r.PiecesPerSecond, r.FreedPerSecond*float64(ahead.pieces)/float64(ahead.bytes))
}

// lateWait returns the predicted time until a claim starts that gets only what the claims ahead and the demand leave over.
func (r *Room) lateWait(ahead load, c *Claim) time.Duration {
	rate := r.rate(ahead)
	if ahead.pieces+c.Pieces <= r.FreePieces {
		return max(r.waitForEndpoint(ahead.pieces, rate), r.waitForMemory(ahead, c))
	}
	after := time.Duration(0)
	if spare := rate - r.Demand; spare > 0 && !r.Tight() {
		rate = spare
	} else {
		if r.Overloaded <= 0 || r.Overloaded >= waveLength {
			return Never
		}
		after = waveLength - r.Overloaded
		rate *= spareAfterWave
	}
	if rate <= 0 {
		return Never
	}
	return max(after+r.waitForEndpoint(ahead.pieces, rate), r.waitForMemory(ahead, c))
}

// Tight reports whether the demand leaves less than minSpare of the endpoints' capacity.
func (r *Room) Tight() bool {
	return r.Demand > (1-minSpare)*r.PiecesPerSecond
}

func (r *Room) waitForEndpoint(ahead int, rate float64) time.Duration {
	if ahead < r.FreePieces || rate <= 0 {
		return 0
	}
	return r.NextFree + seconds(float64(ahead-r.FreePieces)/rate)
}

func (r *Room) waitForMemory(ahead load, c *Claim) time.Duration {
	missing := min(ahead.bytes+c.Bytes, max(ahead.bytes, r.TotalBytes)) - r.FreeBytes
	if r.TotalBytes <= 0 || missing <= 0 {
		return 0
	}
	if r.FreedPerSecond <= 0 {
		return Never
	}
	return seconds(float64(missing) / r.FreedPerSecond)
}

// callTime returns the predicted time of a claim's calls. With work ahead, its pieces share calls with others.
func (r *Room) callTime(ahead load, c *Claim) time.Duration {
	t := r.CallTime + time.Duration(min(r.MaxPieces, ahead.pieces+c.Pieces))*r.PieceTime
	if excess := c.Pieces - r.MaxPieces; excess > 0 && r.PiecesPerSecond > 0 {
		t += seconds(float64(excess) / r.PiecesPerSecond)
	}
	return max(t, c.Predicted)
}

// end returns when a claim that starts after a wait is predicted to end.
func (r *Room) end(now time.Time, wait time.Duration, ahead load, c *Claim) time.Time {
	if wait == Never {
		return c.Deadline.Add(time.Hour)
	}
	return now.Add(wait + r.callTime(ahead, c))
}

// starved reports whether the jobs of a kind got less than minShare of what all jobs got for what they asked.
func (r *Room) starved(k Kind) bool {
	return starved(r.Shares, k)
}

func starved[K comparable](shares map[K]Share, k K) bool {
	var all Share
	for _, s := range shares {
		all.Asked += s.Asked
		all.Got += s.Got
	}
	s := shares[k]
	return s.Asked > 0 && s.Got*all.Asked < minShare*all.Got*s.Asked
}

// seconds converts to a duration, with an upper limit of an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
