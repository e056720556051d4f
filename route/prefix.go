package route

import (
	"hash/fnv"
	"sync"
	"time"

	"godwitplank/rendezvous"
)

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Tokens returns the total number of tokens in parts.
func Tokens(parts []PromptPart) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Terms of the cost by which PrefixIndex.Choose compares endpoints, in prompt tokens to prefill.
const (
	// inFlightTokens is the cost of each request in flight, including those assumed of other VMs.
	inFlightTokens = 150
	// homeCachedShare is the fraction of a prompt's shared tokens assumed to be cached at its home endpoint, since the
	// other VMs send the same prompts there.
	homeCachedShare = 0.8
	// rereadWeight is the cost of each shared token that has to be prefilled again, besides its time: it delays the other
	// requests of the endpoint and takes cache memory.
	rereadWeight = 1
	// remoteDCTokens is the cost of an endpoint in another data centre, remoteInputTokensPerMB that of each MiB of inputs
	// that the endpoint fetches from another one. Both weigh the price of traffic between data centres against that of
	// prefilling a shared token again.
	remoteDCTokens         = 40
	remoteInputTokensPerMB = 155
	// unconfirmedTokens and ejectedTokens outweigh all other terms: endpoints that no longer announce themselves are used
	// only if there is no other, ejected and unreachable ones only after those.
	unconfirmedTokens = 1e6
	ejectedTokens     = 2e6
	// rampTokens is the cost of an endpoint that was cold and has as many calls as it should have, above all terms of load.
	rampTokens = 1e5
	// cacheShare is the fraction of an endpoint's prefix cache assumed to hold prompts of this VM.
	cacheShare = 0.5
	// cacheTTL is how long a part is assumed to stay cached after its last use.
	cacheTTL = 30 * time.Second
)

// PrefixIndex estimates which prompt prefixes each endpoint has cached, from the prompts that this VM sent to it. The zero
// value is ready to use.
type PrefixIndex struct {
	mu        sync.Mutex
	endpoints map[*Stats]map[uint64]cachedPart
	lastSweep time.Time
}

// cachedPart is a part that is cached together with all parts before it.
type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// prefixHashes returns a hash of each prefix: element i covers parts 0 to i.
func prefixHashes(parts []PromptPart) []uint64 {
	out := make([]uint64, len(parts))
	h := fnv.New64a()
	for i, p := range parts {
		_, _ = h.Write([]byte(p.ID))
		_, _ = h.Write([]byte{0})
		out[i] = h.Sum64()
	}
	return out
}

// Choose returns the index of the candidate with the lowest cost for the prompt and the number of tokens that it is
// expected to prefill, or -1 and 0 if no candidate is usable.
func (p *PrefixIndex) Choose(q Query, candidates []Candidate, parts []PromptPart) (chosen, uncached int) {
	hashes := prefixHashes(parts)
	home := homeEndpoint(&q, candidates, hashes)
	total := Tokens(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost, bestUncached := -1, 0.0, 0
	slow := newSlowness(candidates)
	for i := range candidates {
		c := &candidates[i]
		if !usable(&q, c) {
			continue
		}
		cached := p.cachedTokens(q.Now, c.Stats, parts, hashes)
		if c.ID == home && q.Load == nil && !c.Stats.emptyCache() {
			cached = max(cached, int(homeCachedShare*float64(total-lastTokens(parts))))
		}
		cost := float64(total - cached)
		if q.Load != nil {
			cost = cost*slow.of(c) + q.Load(c, total-cached)
		} else {
			cost = (cost + inFlightTokens*float64(c.Stats.InFlight()*int64(max(c.SendingVMs, 1)))) * slow.of(c)
		}
		cost += rereadWeight * float64(max(0, total-cached-lastTokens(parts)))
		switch {
		case c.Stats.ejected(q.Now.UnixNano()) || q.Reach.Unreachable(q.Now, c.DataCentre):
			cost += ejectedTokens
		case !c.Confirmed:
			cost += unconfirmedTokens
		}
		if c.Stats.rampFull() {
			cost += rampTokens
		}
		if c.DataCentre != q.DataCentre {
			cost += remoteDCTokens
		}
		for dataCentre, bytes := range q.InputBytes {
			if dataCentre != c.DataCentre {
				cost += remoteInputTokensPerMB * float64(bytes) / (1 << 20)
			}
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestUncached = i, cost, total-cached
		}
	}
	return best, bestUncached
}

// lastTokens returns the number of tokens of the last part, which is assumed not to be shared.
func lastTokens(parts []PromptPart) int {
	if len(parts) == 0 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// homeEndpoint returns the ID of the endpoint that all VMs prefer for a prompt's session, by rendezvous hashing. All
// parts but the last identify the session. The ID is empty if the prompt has no parts or no endpoint is healthy. A cold endpoint is
// nobody's home, since it could not take the session's requests.
func homeEndpoint(q *Query, candidates []Candidate, hashes []uint64) string {
	if len(hashes) == 0 {
		return ""
	}
	session := hashes[max(0, len(hashes)-2)]
	best, bestScore := "", uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !usable(q, c) || !c.Confirmed || c.Stats.Schedule.Cold(q.Now) || c.Stats.ejected(q.Now.UnixNano()) || q.Reach.Unreachable(q.Now, c.DataCentre) {
			continue
		}
		if score := rendezvous.Weight(session, c.ID); score > bestScore {
			best, bestScore = c.ID, score
		}
	}
	return best
}

// cachedTokens returns the number of tokens in the longest prefix of the prompt that the endpoint is assumed to have
// cached.
func (p *PrefixIndex) cachedTokens(now time.Time, s *Stats, parts []PromptPart, hashes []uint64) int {
	cache := p.endpoints[s]
	emptied := s.Schedule.Began() // an endpoint that becomes cold loses its cache
	n := 0
	for i, h := range hashes {
		part, ok := cache[h]
		if !ok || now.Sub(part.lastUsed) > cacheTTL || part.lastUsed.Before(emptied) {
			break
		}
		n += parts[i].Tokens
	}
	return n
}

// Record marks the prefixes of a prompt as cached at the endpoint that has prefilled it. memoryTokens is the size of the
// endpoint's prefix cache in tokens.
func (p *PrefixIndex) Record(c *Candidate, parts []PromptPart, memoryTokens int, now time.Time) {
	hashes := prefixHashes(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = make(map[*Stats]map[uint64]cachedPart)
	}
	cache := p.endpoints[c.Stats]
	if cache == nil {
		cache = make(map[uint64]cachedPart)
		p.endpoints[c.Stats] = cache
	}
	for i, h := range hashes {
		cache[h] = cachedPart{tokens: parts[i].Tokens, lastUsed: now}
	}
	evict(cache, now, int(cacheShare*float64(memoryTokens)))
	p.sweep(now)
}

// sweep drops endpoints that have not prefilled a prompt within cacheTTL; most of them no longer exist.
func (p *PrefixIndex) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < cacheTTL {
		return
	}
	p.lastSweep = now
	for s, cache := range p.endpoints {
		evict(cache, now, 0)
		if len(cache) == 0 {
			delete(p.endpoints, s)
		}
	}
}

// evict drops parts unused for longer than cacheTTL, then the least recently used ones until at most maxTokens are
// left; 0 means no limit.
func evict(cache map[uint64]cachedPart, now time.Time, maxTokens int) {
	total := 0
	for h, part := range cache {
		if now.Sub(part.lastUsed) > cacheTTL {
			delete(cache, h)
			continue
		}
		total += part.tokens
	}
	for total > maxTokens && maxTokens > 0 {
		var oldest uint64
		oldestUse := now
		for h, part := range cache {
			if !part.lastUsed.After(oldestUse) {
				oldest, oldestUse = h, part.lastUsed
			}
		}
		total -= cache[oldest].tokens
		delete(cache, oldest)
	}
}
