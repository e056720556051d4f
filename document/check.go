package document

import (
	"fmt"
	"path"
	"regexp"
	"slices"

	"godwitplank/fault"
)

// Limits of a document.
const (
	MaxStages     = 16
	MaxDeadlineMS = 600_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects every fault of a document.
type checker struct {
	faults []fault.Place
}

func (c *checker) add(place, format string, args ...any) {
	c.faults = append(c.faults, fault.Place{Place: place, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(place, name string) {
	if !namePattern.MatchString(name) {
		c.add(place, "%q is no name; use 1 to 63 of a-z, 0-9, '_', '-' and '.', starting with a letter or digit", name)
	}
}

func (c *checker) once(seen map[string]bool, place, name string) {
	if seen[name] {
		c.add(place, "%q stands twice; give each its own", name)
	}
	seen[name] = true
}

func (c *checker) digest(place, value string) {
	if !sha256Pattern.MatchString(value) {
		c.add(place, "is no SHA-256; give 64 hexadecimal digits in lower case")
	}
}

func (d *Document) check() []fault.Place {
	c := &checker{}
	if d.Version == 0 {
		c.add("version", "is 0 or missing; give the version in force plus 1, or 1 for the first")
	}
	c.pipelines(d.Pipelines)
	c.workspaces(d.Workspaces)
	c.admissions(d.EndpointAdmissions)
	c.stops(d.PlannedStops)
	c.routes(d.Routes, c.services(d.Services))
	return c.faults
}

func (c *checker) pipelines(pipelines []Pipeline) {
	seen := make(map[string]bool)
	for i, p := range pipelines {
		place := fmt.Sprintf("pipelines[%d]", i)
		c.name(place+".name", p.Name)
		c.once(seen, place+".name", p.Name)
		if p.DeadlineMS <= 0 || p.DeadlineMS > MaxDeadlineMS {
			c.add(place+".deadline_ms", "is %d; give 1 to %d milliseconds", p.DeadlineMS, MaxDeadlineMS)
		}
		if len(p.Stages) == 0 || len(p.Stages) > MaxStages {
			c.add(place+".stages", "has %d stages; give 1 to %d", len(p.Stages), MaxStages)
		}
		c.stages(place, p.Stages)
	}
}

func (c *checker) stages(parent string, stages []Stage) {
	seen := make(map[string]bool)
	for i, s := range stages {
		place := fmt.Sprintf("%s.stages[%d]", parent, i)
		c.name(place+".name", s.Name)
		c.once(seen, place+".name", s.Name)
		c.name(place+".pool", s.Pool)
		if s.Stream && s.Orders() {
			c.add(place+".stream", "a stage that may not be repeated cannot stream; set one of stream and repeatable only")
		}
	}
}

func (c *checker) workspaces(workspaces []Workspace) {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for i, w := range workspaces {
		place := fmt.Sprintf("workspaces[%d]", i)
		if w.Unlimited {
			c.present(place+".name", w.Name)
		} else {
			c.name(place+".name", w.Name)
		}
		c.once(names, place+".name", w.Name)
		c.keys(place, &w, keys)
		if w.Unlimited {
			continue
		}
		if w.RequestsPerSecond <= 0 {
			c.add(place+".requests_per_second", "is %v; give a number over 0", w.RequestsPerSecond)
		}
		if w.ConcurrentRequests <= 0 {
			c.add(place+".concurrent_requests", "is %d; give a number over 0", w.ConcurrentRequests)
		}
	}
}

func (c *checker) keys(place string, w *Workspace, seen map[string]bool) {
	if w.KeySHA256 != "" || !w.Unlimited {
		c.digest(place+".key_sha256", w.KeySHA256)
		c.once(seen, place+".key_sha256", w.KeySHA256)
	}
	for i, key := range w.KeysSHA256 {
		at := fmt.Sprintf("%s.keys_sha256[%d]", place, i)
		c.digest(at, key)
		if !slices.Contains(w.KeysSHA256[:i], key) {
			c.once(seen, at, key)
		}
	}
}

func (c *checker) admissions(admissions []EndpointAdmission) {
	for i, a := range admissions {
		place := fmt.Sprintf("endpoint_admissions[%d]", i)
		c.name(place+".pool", a.Pool)
		c.digest(place+".token_sha256", a.TokenSHA256)
		if len(a.Endpoints) == 0 {
			c.add(place+".endpoints", "is empty; give at least one endpoint id or pattern such as \"encoder-*\"")
		}
		for j, p := range a.Endpoints {
			if _, err := path.Match(p, ""); err != nil || p == "" {
				c.add(fmt.Sprintf("%s.endpoints[%d]", place, j), "%q is no pattern; use an id with '*' and '?'", p)
			}
		}
	}
}

func (c *checker) stops(stops []PlannedStop) {
	for i, s := range stops {
		place := fmt.Sprintf("planned_stops[%d]", i)
		if (s.Endpoint == "") == (s.VM == "") {
			c.add(place, "names %q and %q; give either an endpoint or a vm", s.Endpoint, s.VM)
		}
		if s.At.IsZero() {
			c.add(place+".at", "is missing; give a time such as 2026-12-05T10:00:00Z")
		}
	}
}
