package document

import (
	"sync"
	"time"
)

// TightServices tells which services are used by routes with a tight latency objective. Set Limit before the first call. Its
// method is safe for concurrent use.
type TightServices struct {
	// Limit is the latency objective up to which a route counts as tight; 0 for none.
	Limit time.Duration

	mu       sync.Mutex
	document *Document
	names    map[string]bool
}

// Contains reports whether a route of the document with an objective up to Limit goes to the service or has it in a stage.
func (t *TightServices) Contains(d *Document, service string) bool {
	if t == nil || t.Limit <= 0 || d == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if d != t.document {
		t.document, t.names = d, d.tightServices(t.Limit)
	}
	return t.names[service]
}

func (d *Document) tightServices(limit time.Duration) map[string]bool {
	out := make(map[string]bool)
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.TargetLatencyMS <= 0 || r.TargetLatency() > limit {
			continue
		}
		for _, s := range r.Services {
			out[s.Service] = true
		}
		for _, s := range r.Stages {
			out[s.Service] = true
		}
	}
	return out
}
