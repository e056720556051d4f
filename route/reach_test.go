package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReach(t *testing.T) {
	is := is.New(t)
	r, now := &Reachability{}, time.Unix(1000, 0)
	r.RecordTimeout(now, "dc-b")
	is.True(!r.Unreachable(now, "dc-b")) // a single endpoint may have failed
	r.RecordTimeout(now, "dc-b")
	is.True(r.Unreachable(now, "dc-b"))
	is.True(!r.Unreachable(now, "dc-a"))
	is.True(!r.Unreachable(now.Add(unreachableFor), "dc-b")) // tried again after unreachableFor
	r.RecordResponse("dc-b")
	r.RecordTimeout(now, "dc-b")
	is.True(!r.Unreachable(now, "dc-b"))
	is.True(!(*Reachability)(nil).Unreachable(now, "dc-b"))
}

// Endpoints in an unreachable data centre are used only if there are no others.
func TestUnreachableDataCentre(t *testing.T) {
	is := is.New(t)
	candidates, p, r := engines(6), &PrefixIndex{}, &Reachability{}
	q := Query{Now: time.Unix(1000, 0), Reach: r}
	home, _ := p.Choose(q, candidates, prompt)
	unreachable := candidates[home].DataCentre
	r.RecordTimeout(q.Now, unreachable)
	r.RecordTimeout(q.Now, unreachable)
	chosen, _ := p.Choose(q, candidates, prompt)
	is.True(candidates[chosen].DataCentre != unreachable)
	for range 50 {
		is.True(candidates[predicted(q, candidates)].DataCentre != unreachable)
	}
	for i := range candidates {
		candidates[i].DataCentre = unreachable
	}
	chosen, _ = p.Choose(q, candidates, prompt)
	is.True(chosen >= 0)
	is.True(predicted(q, candidates) >= 0)
}
