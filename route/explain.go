package route

import (
	"cmp"
	"slices"
	"time"
)

// Terms are what the choice of an endpoint depends on, for one candidate.
type Terms struct {
	Endpoint   string `json:"endpoint"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Excluded says why the request is not sent to the endpoint, empty if it may be.
	Excluded string `json:"excluded,omitempty"`
	// LastResort says why the endpoint is chosen only if there is no other.
	LastResort string `json:"last_resort,omitempty"`
	// InFlight is the number of this VM's calls, RemoteLoad that of other VMs as the endpoint last reported.
	InFlight   int64 `json:"in_flight"`
	RemoteLoad int64 `json:"remote_load"`
	// CachedTokens is the number of prompt tokens that this VM has sent there lately. Home is true for the endpoint that all
	// VMs prefer for the prompt.
	CachedTokens int  `json:"cached_tokens,omitempty"`
	Home         bool `json:"home,omitempty"`
	// Slowness is the relative time of an engine by the pace of its streams, 1 if unknown.
	Slowness float64 `json:"slowness,omitempty"`
	// PredictedMS is the predicted latency, for policies that predict one.
	PredictedMS float64 `json:"predicted_ms,omitempty"`
	// Chance is the probability that the next request is sent there.
	Chance float64 `json:"chance"`
}

// Explain returns the terms of each candidate for a prompt, in the order of the candidates. It changes nothing.
func (p *PrefixIndex) Explain(q Query, candidates []Candidate, parts []PromptPart) []Terms {
	chosen, _ := p.Choose(q, candidates, parts)
	hashes := prefixHashes(parts)
	home := homeEndpoint(&q, candidates, hashes)
	slow := newSlowness(candidates)
	out := make([]Terms, len(candidates))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		out[i] = termsOf(&q, c)
		out[i].CachedTokens = p.cachedTokens(q.Now, c.Stats, parts, hashes)
		out[i].Home = home != "" && c.ID == home
		out[i].Slowness = slow.of(c)
		if out[i].LastResort == "" && !c.Confirmed {
			out[i].LastResort = "it no longer announces itself"
		}
	}
	if chosen >= 0 {
		out[chosen].Chance = 1
	}
	return out
}

// ExplainPolicy returns the terms of each candidate for a policy of Policies, in the order of the candidates. It calls neither
// the policy's random numbers nor its counter, and instead returns the chance of each candidate.
func ExplainPolicy(policy string, q Query, candidates []Candidate) []Terms {
	out := make([]Terms, len(candidates))
	var possible, preferred []int // usable candidates, and those of them that are no last resort
	for i := range candidates {
		out[i] = termsOf(&q, &candidates[i])
		if out[i].Excluded != "" {
			continue
		}
		possible = append(possible, i)
		if out[i].LastResort == "" {
			preferred = append(preferred, i)
		}
	}
	if len(possible) == 0 {
		return out
	}
	switch policy {
	case "predicted":
		for _, i := range possible {
			out[i].PredictedMS = predictedTime(&q, &candidates[i]) / float64(time.Millisecond)
		}
		if len(preferred) == 0 {
			out[possible[len(possible)-1]].Chance = 1
			return out
		}
		slices.SortStableFunc(preferred, func(a, b int) int { return cmp.Compare(out[a].PredictedMS, out[b].PredictedMS) })
		for rank, i := range preferred {
			out[i].Chance = sampledFirst(rank, len(preferred))
		}
	case "least_in_flight":
		lowest := slices.MinFunc(possible, func(a, b int) int { return cmp.Compare(out[a].InFlight, out[b].InFlight) })
		shareChance(out, slices.DeleteFunc(possible, func(i int) bool { return out[i].InFlight > out[lowest].InFlight }))
	default: // random, round_robin
		shareChance(out, possible)
	}
	return out
}

// sampledFirst returns the probability that the candidate of a rank is the best of a random sample of sampleSize out of n:
// that it is in the sample and all others of the sample have a higher rank.
func sampledFirst(rank, n int) float64 {
	if n <= sampleSize {
		if rank == 0 {
			return 1
		}
		return 0
	}
	return combinations(n-1-rank, sampleSize-1) / combinations(n, sampleSize)
}

// combinations returns the number of subsets of k out of n elements.
func combinations(n, k int) float64 {
	if k > n {
		return 0
	}
	out := 1.0
	for i := range k {
		out *= float64(n-i) / float64(i+1)
	}
	return out
}

func shareChance(out []Terms, equal []int) {
	for _, i := range equal {
		out[i].Chance = 1 / float64(len(equal))
	}
}

// termsOf returns the terms that do not depend on the policy.
func termsOf(q *Query, c *Candidate) Terms {
	t := Terms{
		Endpoint: c.ID, Address: c.Addr.String(), DataCentre: c.DataCentre,
		InFlight: c.Stats.InFlight(), RemoteLoad: c.Stats.remoteLoad.Load(),
	}
	if !usable(q, c) {
		t.Excluded = exclusion(q, c)
	}
	switch {
	case c.Stats.ejected(q.Now.UnixNano()):
		t.LastResort = "ejected after a failure"
	case q.Reach.Unreachable(q.Now, c.DataCentre):
		t.LastResort = "its data centre is unreachable"
	}
	return t
}

// exclusion returns why a candidate is not usable.
func exclusion(q *Query, c *Candidate) string {
	switch until := c.Stats.QuietUntil(); {
	case !q.Now.Before(c.ExpiresAt):
		return "its lease ended or its planned stop is near"
	case c.Stats.Leaving():
		return "it says that it leaves"
	case q.Now.Before(until):
		return "it asked for no calls for " + until.Sub(q.Now).Round(time.Millisecond).String()
	case !c.Stats.Accepts(q.Now, c.Stats.InFlight()):
		return "it gets single calls until one succeeds after its quiet"
	case slices.Contains(q.Tried, c.ID):
		return "the request has tried it"
	case !servesModel(c, q.Model):
		return "it does not serve the model"
	}
	return "it may not be used now"
}
