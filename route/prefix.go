package route

import (
	"hash/fnv"
	"sync"
	"time"

	"godwitplank/rendezvous"
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Tokens returns the number of tokens of all parts.
func Tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Costs in the choice of an engine, in tokens to read.
const (
	// busyTokens is what one more request in flight costs another one.
	busyTokens = 150
	// homeShare is the part of a prompt's shared tokens that its home endpoint is taken to have cached, since the other
	// VMs send the same prompts there.
	homeShare = 0.8
	// farTokens makes an endpoint of another data centre dearer, farTokensPerMB each MB of inputs from another one. Both
	// weigh the price of traffic between data centres against that of reading a shared token again.
	farTokens      = 40
	farTokensPerMB = 155
	// unconfirmedTokens leaves endpoints that no longer announce themselves for when there is no other.
	unconfirmedTokens = 1e6
	shedTokens        = 2e6
	// cacheShare is the part of an endpoint's memory that is taken to hold cached prompts of this VM.
	cacheShare = 0.5
	// cachedFor is how long a part is taken to stay cached after its last use.
	cachedFor = 30 * time.Second
)

// Prefixes remembers which parts of prompts each endpoint read. The zero value is ready.
type Prefixes struct {
	mu        sync.Mutex
	endpoints map[*Stat]map[uint64]cachedPart
	swept     time.Time
}

// cachedPart is a part together with all parts before it.
type cachedPart struct {
	tokens int
	used   time.Time
}

// chain returns a hash for each part that stands for it and all parts before it.
func chain(parts []Part) []uint64 {
	out := make([]uint64, len(parts))
	h := fnv.New64a()
	for i, p := range parts {
		_, _ = h.Write([]byte(p.ID))
		_, _ = h.Write([]byte{0})
		out[i] = h.Sum64()
	}
	return out
}

// Choose returns the candidate that is predicted to read the prompt first, -1 if there is none, and the tokens that it
// has to read.
func (p *Prefixes) Choose(q Query, candidates []Candidate, parts []Part) (chosen, uncached int) {
	hashes := chain(parts)
	home := homeOf(&q, candidates, hashes)
	total := Tokens(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost, bestUncached := -1, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if !usable(&q, c) {
			continue
		}
		cached := p.cached(q.Now, c.Stat, parts, hashes)
		if c.ID == home {
			cached = max(cached, int(homeShare*float64(total-lastTokens(parts))))
		}
		cost := float64(total-cached) + busyTokens*float64(c.Stat.InFlight()*int64(max(c.VMs, 1)))
		switch {
		case c.Stat.shed(q.Now.UnixNano()) || q.Reach.Avoid(q.Now, c.DataCentre):
			cost += shedTokens
		case !c.Confirmed:
			cost += unconfirmedTokens
		}
		if c.DataCentre != q.DataCentre {
			cost += farTokens
		}
		for dataCentre, n := range q.InputBytes {
			if dataCentre != c.DataCentre {
				cost += farTokensPerMB * float64(n) / (1 << 20)
			}
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestUncached = i, cost, total-cached
		}
	}
	return best, bestUncached
}

func lastTokens(parts []Part) int {
	if len(parts) == 0 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// homeOf returns the endpoint that all VMs prefer for a prompt's session, by rendezvous hashing.
func homeOf(q *Query, candidates []Candidate, hashes []uint64) string {
	if len(hashes) == 0 {
		return ""
	}
	session := hashes[max(0, len(hashes)-2)]
	best, bestScore := "", uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !usable(q, c) || !c.Confirmed || c.Stat.shed(q.Now.UnixNano()) || q.Reach.Avoid(q.Now, c.DataCentre) {
			continue
		}
		if score := rendezvous.Weight(session, c.ID); score > bestScore {
			best, bestScore = c.ID, score
		}
	}
	return best
}

// cached returns the tokens of the longest run of parts from the start that the endpoint is taken to have.
func (p *Prefixes) cached(now time.Time, s *Stat, parts []Part, hashes []uint64) int {
	known := p.endpoints[s]
	n := 0
	for i, h := range hashes {
		part, ok := known[h]
		if !ok || now.Sub(part.used) > cachedFor {
			break
		}
		n += parts[i].Tokens
	}
	return n
}

// Read notes that an endpoint with a memory of some tokens has read a prompt.
func (p *Prefixes) Read(c *Candidate, parts []Part, memory int, now time.Time) {
	hashes := chain(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = make(map[*Stat]map[uint64]cachedPart)
	}
	known := p.endpoints[c.Stat]
	if known == nil {
		known = make(map[uint64]cachedPart)
		p.endpoints[c.Stat] = known
	}
	for i, h := range hashes {
		known[h] = cachedPart{tokens: parts[i].Tokens, used: now}
	}
	forget(known, now, int(cacheShare*float64(memory)))
	p.sweep(now)
}

// sweep forgets endpoints that read nothing lately; most of them are gone.
func (p *Prefixes) sweep(now time.Time) {
	if now.Sub(p.swept) < cachedFor {
		return
	}
	p.swept = now
	for s, known := range p.endpoints {
		forget(known, now, 0)
		if len(known) == 0 {
			delete(p.endpoints, s)
		}
	}
}

// forget drops parts that are old, and the oldest ones over the memory; 0 is no limit.
func forget(known map[uint64]cachedPart, now time.Time, most int) {
	total := 0
	for h, part := range known {
		if now.Sub(part.used) > cachedFor {
			delete(known, h)
			continue
		}
		total += part.tokens
	}
	for total > most && most > 0 {
		var oldest uint64
		at := now
		for h, part := range known {
			if !part.used.After(at) {
				oldest, at = h, part.used
			}
		}
		total -= known[oldest].tokens
		delete(known, oldest)
	}
}
