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
	is.True(!r.Avoid(now, "dc-b")) // a single endpoint may have failed
	r.Fail(now, "dc-b")
	is.True(r.Avoid(now, "dc-b"))
	is.True(!r.Avoid(now, "dc-a"))
	is.True(!r.Avoid(now.Add(unreachableFor), "dc-b")) // tried again after unreachableFor
	r.Succeed("dc-b")
	r.Fail(now, "dc-b")
	is.True(!r.Avoid(now, "dc-b"))
	is.True(!(*Reach)(nil).Avoid(now, "dc-b"))
}

// Endpoints in an unreachable data centre are used only if there are no others.
func TestUnreachableDataCentre(t *testing.T) {
	is := is.New(t)
	candidates, p, r := engines(6), &Prefixes{}, &Reach{}
	q := Query{Now: time.Unix(1000, 0), Reach: r}
	home, _ := p.Choose(q, candidates, prompt)
	unreachable := candidates[home].DataCentre
	r.Fail(q.Now, unreachable)
	r.Fail(q.Now, unreachable)
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
