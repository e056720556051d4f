package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReach(t *testing.T) {
	is := is.New(t)
	r, now := &Reach{}, time.Unix(1000, 0)
	r.Fail(now, "dc-b")
	is.True(!r.Avoid(now, "dc-b")) // one endpoint may be gone
	r.Fail(now, "dc-b")
	is.True(r.Avoid(now, "dc-b"))
	is.True(!r.Avoid(now, "dc-a"))
	is.True(!r.Avoid(now.Add(unreachableFor), "dc-b")) // it is tried again
	r.Succeed("dc-b")
	r.Fail(now, "dc-b")
	is.True(!r.Avoid(now, "dc-b"))
	is.True(!(*Reach)(nil).Avoid(now, "dc-b"))
}

// Endpoints of an unreachable data centre are left for when there is no other.
func TestUnreachableDataCentre(t *testing.T) {
	is := is.New(t)
	candidates, p, r := engines(6), &Prefixes{}, &Reach{}
	q := Query{Now: time.Unix(1000, 0), Reach: r}
	home, _ := p.Choose(q, candidates, prompt)
	lost := candidates[home].DataCentre
	r.Fail(q.Now, lost)
	r.Fail(q.Now, lost)
	chosen, _ := p.Choose(q, candidates, prompt)
	is.True(candidates[chosen].DataCentre != lost)
	for range 50 {
		is.True(candidates[predicted(q, candidates)].DataCentre != lost)
	}
	for i := range candidates {
		candidates[i].DataCentre = lost
	}
	chosen, _ = p.Choose(q, candidates, prompt)
	is.True(chosen >= 0)
	is.True(predicted(q, candidates) >= 0)
}
