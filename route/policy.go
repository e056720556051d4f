package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Query describes a call to select an endpoint for.
type Query struct {
	Now time.Time
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Model is the model that the endpoint has to serve; empty means any.
	Model string
	// Tried lists the IDs of endpoints that the request has already tried.
	Tried []string
	// InputBytes is the size of the inputs that the endpoint would fetch, by the data centre that holds them.
	InputBytes map[string]int64
	// Reach reports unreachable data centres; nil means that all are reachable.
	Reach *Reachability
	// Load returns the cost of the load of an endpoint for a prompt with a number of tokens to prefill, in such tokens, as a VM
	// knows it that selects for all VMs. If it is nil, both are estimated from this VM's calls in flight.
	Load func(c *Candidate, uncached int) float64
}

// Policy selects the endpoint of a call. Choose returns the index of a candidate, or -1 if none is usable.
type Policy interface {
	Choose(q Query, candidates []Candidate) int
}

// PolicyFunc adapts a function to a Policy.
type PolicyFunc func(q Query, candidates []Candidate) int

// Choose calls f.
func (f PolicyFunc) Choose(q Query, candidates []Candidate) int {
	return f(q, candidates)
}

// DefaultPolicy is the name of the policy that daemons use.
const DefaultPolicy = "predicted"

// Policies holds the constructor of each policy by name.
var Policies = map[string]func() Policy{
	"random":          func() Policy { return PolicyFunc(random) },
	"round_robin":     roundRobin,
	"least_in_flight": func() Policy { return PolicyFunc(leastInFlight) },
	"predicted":       func() Policy { return PolicyFunc(predicted) },
}

// usable reports whether a candidate's lease is valid, it accepts calls and serves the model, and the request has not tried it.
func usable(q *Query, c *Candidate) bool {
	if !q.Now.Before(c.ExpiresAt) || !c.Stats.Accepts(q.Now, c.Stats.InFlight()) {
		return false
	}
	for _, id := range q.Tried {
		if id == c.ID {
			return false
		}
	}
	return servesModel(c, q.Model)
}

// servesModel reports whether a candidate serves a model. A candidate without a list of models serves all.
func servesModel(c *Candidate, model string) bool {
	if model == "" || len(c.Models) == 0 {
		return true
	}
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	return false
}

func random(q Query, candidates []Candidate) int {
	chosen, usableCount := -1, 0
	for i := range candidates {
		if !usable(&q, &candidates[i]) {
			continue
		}
		usableCount++
		if rand.IntN(usableCount) == 0 {
			chosen = i
		}
	}
	return chosen
}

func roundRobin() Policy {
	var next atomic.Uint64
	return PolicyFunc(func(q Query, candidates []Candidate) int {
		n := len(candidates)
		for range n {
			i := int(next.Add(1) % uint64(n))
			if usable(&q, &candidates[i]) {
				return i
			}
		}
		return -1
	})
}

func leastInFlight(q Query, candidates []Candidate) int {
	return lowestScore(q, candidates, func(c *Candidate) float64 {
		return float64(c.Stats.InFlight())
	})
}

// Terms of the predicted latency of a candidate.
const (
	// minLatency is the lower bound of the latency in predictions, and the latency assumed before the first response.
	minLatency = 1 * time.Millisecond
	// remoteDCFactor and remoteDCDelay raise the predicted latency of a call to another data centre.
	remoteDCFactor = 1.2
	remoteDCDelay  = 1 * time.Millisecond
)

// sampleSize is the number of random candidates that the predicted policy compares. If every VM compared all of them,
// all would send their calls to the same endpoint until its next load report.
const sampleSize = 3

// predicted chooses the lowest predicted latency among sampleSize random candidates: the latency EWMA times the
// slowdown by calls in flight and by load reports. Ejected endpoints, those in unreachable data centres, and those that were cold and
// have no more calls yet are used only if no other candidate is usable.
func predicted(q Query, candidates []Candidate) int {
	now := q.Now.UnixNano()
	var sample [sampleSize]int
	usableCount, fallback := 0, -1
	for i := range candidates {
		c := &candidates[i]
		if !usable(&q, c) {
			continue
		}
		if c.Stats.ejected(now) || c.Stats.rampFull() || q.Reach.Unreachable(q.Now, c.DataCentre) {
			fallback = i
			continue
		}
		if usableCount < sampleSize {
			sample[usableCount] = i
		} else if k := rand.IntN(usableCount + 1); k < sampleSize {
			sample[k] = i
		}
		usableCount++
	}
	if usableCount == 0 {
		return fallback
	}
	best, bestScore := -1, 0.0
	for _, i := range sample[:min(usableCount, sampleSize)] {
		if score := predictedTime(&q, &candidates[i]); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// predictedTime returns the predicted latency of a call to a candidate, in nanoseconds.
func predictedTime(q *Query, c *Candidate) float64 {
	score := float64(max(c.Stats.Latency(), minLatency)) * c.slowdown(q.Now)
	if c.DataCentre != q.DataCentre {
		score = score*remoteDCFactor + float64(remoteDCDelay)
	}
	return score
}

// lowestScore returns the index of the usable candidate with the lowest score, or -1. Ties are broken at random.
func lowestScore(q Query, candidates []Candidate, score func(*Candidate) float64) int {
	best, bestScore, ties := -1, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if !usable(&q, c) {
			continue
		}
		s := score(c)
		switch {
		case best < 0 || s < bestScore:
			best, bestScore, ties = i, s, 1
		case s == bestScore:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// FindUsable returns the index of the endpoint with an id and incarnation, or -1 if it is not among the candidates, not usable,
// ejected or in an unreachable data centre.
func FindUsable(q Query, candidates []Candidate, id string, incarnation uint64) int {
	for i := range candidates {
		c := &candidates[i]
		if c.ID != id || c.Incarnation != incarnation {
			continue
		}
		if !usable(&q, c) || c.Stats.ejected(q.Now.UnixNano()) || q.Reach.Unreachable(q.Now, c.DataCentre) {
			return -1
		}
		return i
	}
	return -1
}
