package gateway

import (
	"godwitplank"
	"godwitplank/fault"
)

// evacuationFault returns the refusal of a request that no endpoint can serve since all endpoints of its service, or of one of
// its stages, are in evacuated data centres; nil if there is none. It is checked before any work is done for the request.
func (g *Gateway) evacuationFault(x *exchange) error {
	v := g.Views.View()
	name := ""
	if v.OnlyEvacuated(x.service.Name) {
		name = x.service.Name
	}
	for i, s := range x.route.Stages {
		if i < len(x.Pieces) && x.Pieces[i] > 0 && v.OnlyEvacuated(s.Service) {
			name = s.Service
		}
	}
	if name == "" {
		return nil
	}
	return fault.New(fault.NoEndpoint, "all endpoints of service %s are in evacuated data centres; retry after the indicated delay", name).
		WithOutcome(godwitplank.NotRun, noEndpointRetryAfter)
}
