package gateway

import (
	"context"

	"godwitplank/placement"
	"godwitplank/route"
)

// place has the engine of an attempt selected by the VM that selects for the service. It returns -1 if this VM has to select
// by itself.
func (g *Gateway) place(ctx context.Context, x *exchange, a *attempt, q route.Query, candidates []route.Candidate) int {
	if !g.Placements.Places(x.service.Name) {
		return -1
	}
	p := g.Placements.Place(ctx, &placement.Request{
		ID: x.ID, Service: x.service.Name, Model: x.Model, Parts: x.Prefix, Tried: x.tried, DataCentre: g.DataCentre, InputBytes: x.inputBytes,
	})
	if p == nil {
		return -1
	}
	chosen := route.FindUsable(q, candidates, p.EndpointID, p.Incarnation)
	if chosen < 0 || !candidates[chosen].TakePermit(q.Now) {
		p.End(false)
		return -1
	}
	a.placement, a.uncachedTokens = p, p.Uncached
	return chosen
}
