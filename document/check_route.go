package document

import (
	"fmt"
	"strings"
)

// maxColdStartMS is an hour. An endpoint that is cold for longer would serve almost nothing.
const maxColdStartMS = 3_600_000

// checkServices checks the services and returns the set of their names.
func (c *checker) checkServices(services []Service) map[string]bool {
	names := make(map[string]bool, len(services))
	for i, s := range services {
		fieldPath := fmt.Sprintf("services[%d]", i)
		c.checkPresent(fieldPath+".name", s.Name)
		c.checkUnique(names, fieldPath+".name", s.Name)
		if s.Batch != nil && s.Batch.Pieces <= 0 {
			c.addError(fieldPath+".batch.pieces", "is %d; give the maximum number of pieces in a call, at least 1", s.Batch.Pieces)
		}
		if s.ColdStartMS < 0 || s.ColdStartMS > maxColdStartMS {
			c.addError(fieldPath+".cold_start_ms", "is %d; give a number of milliseconds from 0 to %d", s.ColdStartMS, maxColdStartMS)
		}
		if !(s.ColdRequestsPerSecond >= 0) {
			c.addError(fieldPath+".cold_requests_per_second", "is %v; give a number over 0, or 0 for no limit", s.ColdRequestsPerSecond)
		}
		if s.MaxConnections < 0 {
			c.addError(fieldPath+".max_connections", "is %d; give a number over 0, or 0 for no limit", s.MaxConnections)
		}
	}
	return names
}

func (c *checker) checkPresent(fieldPath, value string) {
	if value == "" {
		c.addError(fieldPath, "is empty or missing; give a value")
	}
}

func (c *checker) checkRoutes(routes []Route, services map[string]bool) {
	prefixes := make(map[string]bool, len(routes))
	for i := range routes {
		r := &routes[i]
		fieldPath := fmt.Sprintf("routes[%d]", i)
		c.checkPresent(fieldPath+".host", r.Host)
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			c.addError(fieldPath+".path_prefix", "%q does not begin and end with a slash; add the missing one", r.PathPrefix)
		}
		c.checkUnique(prefixes, fieldPath+".path_prefix", strings.ToLower(r.Host)+r.PathPrefix)
		if r.TimeoutMS <= 0 {
			c.addError(fieldPath+".timeout_ms", "is %d; give a number of milliseconds over 0", r.TimeoutMS)
		}
		switch r.Kind {
		case Repeatable, Once, Stream:
		default:
			c.addError(fieldPath+".kind", "%q is not a kind of route; give %s, %s or %s", r.Kind, Repeatable, Once, Stream)
		}
		c.checkWeights(fieldPath, r.Services, services)
		c.checkRouteStages(fieldPath, r.Stages, services)
	}
}

func (c *checker) checkWeights(fieldPath string, weighted []WeightedService, services map[string]bool) {
	total := 0.0
	for i, s := range weighted {
		if !services[s.Service] {
			c.addError(fmt.Sprintf("%s.services[%d]", fieldPath, i), "%q is not a service of this document; add it or name another", s.Service)
		}
		if s.Weight < 0 {
			c.addError(fmt.Sprintf("%s.services[%d].weight", fieldPath, i), "is %v; give 0 or more", s.Weight)
		}
		total += max(0, s.Weight)
	}
	if total == 0 {
		c.addError(fieldPath+".services", "the weights add up to 0; give at least one service a weight over 0")
	}
}

func (c *checker) checkRouteStages(fieldPath string, stages []RouteStage, services map[string]bool) {
	for i, s := range stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", fieldPath, i)
		if !services[s.Service] {
			c.addError(stagePath+".service", "%q is not a service of this document; add it or name another", s.Service)
		}
		for _, stage := range s.After {
			if stage < 0 || stage >= i {
				c.addError(stagePath+".after", "names stage %d; name only stages listed before this one", stage)
			}
		}
	}
}
