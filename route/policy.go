package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Query is what a policy knows of a call.
type Query struct {
	Now        time.Time
	DataCentre string
	Model      string
	// Avoid lists endpoints that this request tried already.
	Avoid []string
	// InputBytes is the size of the inputs that the endpoint fetches from each data centre.
	InputBytes map[string]int64
	// Reach tells which data centres to avoid; nil avoids none.
	Reach *Reach
}

// Policy chooses one of the candidates, or -1 if none may take the call.
type Policy interface {
	Choose(q Query, candidates []Candidate) int
}

// PolicyFunc makes a function a Policy.
type PolicyFunc func(q Query, candidates []Candidate) int

// Choose calls the function.
func (f PolicyFunc) Choose(q Query, candidates []Candidate) int {
	return f(q, candidates)
}

// DefaultPolicy is the name of the policy that daemons use.
const DefaultPolicy = "predicted"

// Policies has a maker for each named policy.
var Policies = map[string]func() Policy{
	"random":          func() Policy { return PolicyFunc(random) },
	"round_robin":     roundRobin,
	"least_in_flight": func() Policy { return PolicyFunc(leastInFlight) },
	"predicted":       func() Policy { return PolicyFunc(predicted) },
}

// usable reports whether a candidate may get the call at all.
func usable(q *Query, c *Candidate) bool {
	if !q.Now.Before(c.Until) {
		return false
	}
	for _, id := range q.Avoid {
		if id == c.ID {
			return false
		}
	}
	return serves(c, q.Model)
}

func serves(c *Candidate, model string) bool {
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
	chosen, seen := -1, 0
	for i := range candidates {
		if !usable(&q, &candidates[i]) {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

func roundRobin() Policy {
	var turn atomic.Uint64
	return PolicyFunc(func(q Query, candidates []Candidate) int {
		n := len(candidates)
		for range n {
			i := int(turn.Add(1) % uint64(n))
			if usable(&q, &candidates[i]) {
				return i
			}
		}
		return -1
	})
}

func leastInFlight(q Query, candidates []Candidate) int {
	return lowest(q, candidates, func(c *Candidate) float64 {
		return float64(c.Stat.InFlight())
	})
}

// Costs in the score of a candidate.
const (
	// unknownLatency stands in for an endpoint that has answered nothing yet.
	unknownLatency = 1 * time.Millisecond
	// farFactor and farDelay make a call to another data centre dearer.
	farFactor = 1.2
	farDelay  = 1 * time.Millisecond
)

// sampled is how many candidates the predicted policy compares. VMs that all compared all of them would send their
// calls to the same endpoint until its next report.
const sampled = 3

// predicted chooses the least predicted time to answer among a few random candidates: learned latency, stretched by
// the calls before it, own and reported ones. Shed endpoints are left for when there is no other.
func predicted(q Query, candidates []Candidate) int {
	now := q.Now.UnixNano()
	var sample [sampled]int
	seen, shed := 0, -1
	for i := range candidates {
		c := &candidates[i]
		if !usable(&q, c) {
			continue
		}
		if c.Stat.shed(now) || q.Reach.Avoid(q.Now, c.DataCentre) {
			shed = i
			continue
		}
		if seen < sampled {
			sample[seen] = i
		} else if k := rand.IntN(seen + 1); k < sampled {
			sample[k] = i
		}
		seen++
	}
	if seen == 0 {
		return shed
	}
	best, bestScore := -1, 0.0
	for _, i := range sample[:min(seen, sampled)] {
		if score := predict(&q, &candidates[i]); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func predict(q *Query, c *Candidate) float64 {
	score := float64(max(c.Stat.Latency(), unknownLatency)) * c.stretch()
	if c.DataCentre != q.DataCentre {
		score = score*farFactor + float64(farDelay)
	}
	return score
}

// lowest returns the usable candidate with the lowest score, a random one of equals.
func lowest(q Query, candidates []Candidate, score func(*Candidate) float64) int {
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
