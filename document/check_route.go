package document

import (
	"fmt"
	"strings"
)

func (c *checker) services(services []Service) map[string]bool {
	known := make(map[string]bool, len(services))
	for i, s := range services {
		place := fmt.Sprintf("services[%d]", i)
		c.present(place+".name", s.Name)
		c.once(known, place+".name", s.Name)
		if s.Batch != nil && s.Batch.Pieces <= 0 {
			c.add(place+".batch.pieces", "is %d; give the largest number of pieces in a call", s.Batch.Pieces)
		}
		if s.MaxConnections < 0 {
			c.add(place+".max_connections", "is %d; give a number over 0, or 0 for no limit", s.MaxConnections)
		}
	}
	return known
}

func (c *checker) present(place, value string) {
	if value == "" {
		c.add(place, "is empty or missing; give one")
	}
}

func (c *checker) routes(routes []Route, services map[string]bool) {
	places := make(map[string]bool, len(routes))
	for i := range routes {
		r := &routes[i]
		place := fmt.Sprintf("routes[%d]", i)
		c.present(place+".host", r.Host)
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			c.add(place+".path_prefix", "%q does not begin and end with a slash; add them", r.PathPrefix)
		}
		c.once(places, place+".path_prefix", strings.ToLower(r.Host)+r.PathPrefix)
		if r.TimeoutMS <= 0 {
			c.add(place+".timeout_ms", "is %d; give a number of milliseconds over 0", r.TimeoutMS)
		}
		switch r.Kind {
		case Repeatable, Once, Stream:
		default:
			c.add(place+".kind", "%q is no kind; give %s, %s or %s", r.Kind, Repeatable, Once, Stream)
		}
		c.weights(place, r.Services, services)
		c.routeStages(place, r.Stages, services)
	}
}

func (c *checker) weights(place string, weighted []WeightedService, services map[string]bool) {
	total := 0.0
	for i, s := range weighted {
		if !services[s.Service] {
			c.add(fmt.Sprintf("%s.services[%d]", place, i), "%q is no service of this document; add it or name another", s.Service)
		}
		if s.Weight < 0 {
			c.add(fmt.Sprintf("%s.services[%d].weight", place, i), "is %v; give 0 or more", s.Weight)
		}
		total += max(0, s.Weight)
	}
	if total == 0 {
		c.add(place+".services", "the weights add up to 0; give at least one a weight over 0")
	}
}

func (c *checker) routeStages(place string, stages []RouteStage, services map[string]bool) {
	for i, s := range stages {
		at := fmt.Sprintf("%s.stages[%d]", place, i)
		if !services[s.Service] {
			c.add(at+".service", "%q is no service of this document; add it or name another", s.Service)
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				c.add(at+".after", "names stage %d; name stages that stand before this one", before)
			}
		}
	}
}
