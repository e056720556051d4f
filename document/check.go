package document

import (
	"fmt"
	"path"
	"regexp"
	"slices"

	"godwitplank/fault"
)

// Limits on the content of a document.
const (
	MaxStages     = 16 // per pipeline
	MaxDeadlineMS = 600_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects all faults of a document.
type checker struct {
	faults []fault.Place
}

func (c *checker) addFault(place, format string, args ...any) {
	c.faults = append(c.faults, fault.Place{Place: place, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(place, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(place, "%q is not a valid name; use 1 to 63 of a-z, 0-9, '_', '-' and '.', starting with a letter or digit", name)
	}
}

// checkUnique adds a fault if seen has the name already, and adds the name to seen.
func (c *checker) checkUnique(seen map[string]bool, place, name string) {
	if seen[name] {
		c.addFault(place, "%q is used more than once; make each unique", name)
	}
	seen[name] = true
}

func (c *checker) checkDigest(place, value string) {
	if !sha256Pattern.MatchString(value) {
		c.addFault(place, "is no SHA-256; give 64 hexadecimal digits in lower case")
	}
}

// faults returns all faults of the document.
func (d *Document) faults() []fault.Place {
	c := &checker{}
	if d.Version == 0 {
		c.addFault("version", "is 0 or missing; give the current version plus 1, or 1 for the first")
	}
	c.checkPipelines(d.Pipelines)
	c.checkWorkspaces(d.Workspaces)
	c.checkAdmissions(d.EndpointAdmissions)
	c.checkPlannedStops(d.PlannedStops)
	c.checkRoutes(d.Routes, c.checkServices(d.Services))
	return c.faults
}

func (c *checker) checkPipelines(pipelines []Pipeline) {
	seen := make(map[string]bool)
	for i, p := range pipelines {
		place := fmt.Sprintf("pipelines[%d]", i)
		c.checkName(place+".name", p.Name)
		c.checkUnique(seen, place+".name", p.Name)
		if p.DeadlineMS <= 0 || p.DeadlineMS > MaxDeadlineMS {
			c.addFault(place+".deadline_ms", "is %d; give 1 to %d milliseconds", p.DeadlineMS, MaxDeadlineMS)
		}
		if len(p.Stages) == 0 || len(p.Stages) > MaxStages {
			c.addFault(place+".stages", "has %d stages; give 1 to %d", len(p.Stages), MaxStages)
		}
		c.checkStages(place, p.Stages)
	}
}

func (c *checker) checkStages(parent string, stages []Stage) {
	seen := make(map[string]bool)
	for i, s := range stages {
		place := fmt.Sprintf("%s.stages[%d]", parent, i)
		c.checkName(place+".name", s.Name)
		c.checkUnique(seen, place+".name", s.Name)
		c.checkName(place+".pool", s.Pool)
		if s.Stream && s.Orders() {
			c.addFault(place+".stream", "a stage that is not repeatable cannot stream; set only one of stream: true and repeatable: false")
		}
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for i, w := range workspaces {
		place := fmt.Sprintf("workspaces[%d]", i)
		if w.Unlimited {
			c.checkPresent(place+".name", w.Name)
		} else {
			c.checkName(place+".name", w.Name)
		}
		c.checkUnique(names, place+".name", w.Name)
		c.checkKeys(place, &w, keys)
		if w.Unlimited {
			continue
		}
		if w.RequestsPerSecond <= 0 {
			c.addFault(place+".requests_per_second", "is %v; give a number over 0", w.RequestsPerSecond)
		}
		if w.ConcurrentRequests <= 0 {
			c.addFault(place+".concurrent_requests", "is %d; give a number over 0", w.ConcurrentRequests)
		}
	}
}

func (c *checker) checkKeys(place string, w *Workspace, seen map[string]bool) {
	if w.KeySHA256 != "" || !w.Unlimited {
		c.checkDigest(place+".key_sha256", w.KeySHA256)
		c.checkUnique(seen, place+".key_sha256", w.KeySHA256)
	}
	for i, key := range w.KeysSHA256 {
		keyPlace := fmt.Sprintf("%s.keys_sha256[%d]", place, i)
		c.checkDigest(keyPlace, key)
		if !slices.Contains(w.KeysSHA256[:i], key) {
			c.checkUnique(seen, keyPlace, key)
		}
	}
}

func (c *checker) checkAdmissions(admissions []EndpointAdmission) {
	for i, a := range admissions {
		place := fmt.Sprintf("endpoint_admissions[%d]", i)
		c.checkName(place+".pool", a.Pool)
		c.checkDigest(place+".token_sha256", a.TokenSHA256)
		if len(a.Endpoints) == 0 {
			c.addFault(place+".endpoints", "is empty; give at least one endpoint id or pattern such as \"encoder-*\"")
		}
		for j, p := range a.Endpoints {
			if _, err := path.Match(p, ""); err != nil || p == "" {
				c.addFault(fmt.Sprintf("%s.endpoints[%d]", place, j), "%q is not a valid pattern; use an id with '*' and '?'", p)
			}
		}
	}
}

func (c *checker) checkPlannedStops(stops []PlannedStop) {
	for i, s := range stops {
		place := fmt.Sprintf("planned_stops[%d]", i)
		if (s.Endpoint == "") == (s.VM == "") {
			c.addFault(place, "names endpoint %q and vm %q; give exactly one of them", s.Endpoint, s.VM)
		}
		if s.At.IsZero() {
			c.addFault(place+".at", "is missing; give a time such as 2026-12-05T10:00:00Z")
		}
	}
}
