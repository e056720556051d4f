package document

import (
	"errors"
	"fmt"
	"path"
	"regexp"
	"slices"

	"godwitplank/fault"
	"godwitplank/head"
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

// checker collects the errors of all invalid fields of a document.
type checker struct {
	fieldErrors []fault.FieldError
}

func (c *checker) addError(fieldPath, format string, args ...any) {
	c.fieldErrors = append(c.fieldErrors, fault.FieldError{Path: fieldPath, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(fieldPath, name string) {
	if !namePattern.MatchString(name) {
		c.addError(fieldPath, "%q is not a valid name; use 1 to 63 of a-z, 0-9, '_', '-' and '.', starting with a letter or digit", name)
	}
}

// checkFieldValue adds an error for a text that cannot be the value of a field in the head of a call to an endpoint.
func (c *checker) checkFieldValue(fieldPath, value string) {
	var malformed *head.Error
	if errors.As(head.CheckValue(fieldPath, value), &malformed) {
		c.addError(fieldPath, "%s %s", malformed.Quoted(), malformed.Reason)
	}
}

// checkUnique adds an error if seen has the name already, and adds the name to seen.
func (c *checker) checkUnique(seen map[string]bool, fieldPath, name string) {
	if seen[name] {
		c.addError(fieldPath, "%q is used more than once; make each unique", name)
	}
	seen[name] = true
}

func (c *checker) checkDigest(fieldPath, value string) {
	if !sha256Pattern.MatchString(value) {
		c.addError(fieldPath, "is not a SHA-256 digest; give 64 hexadecimal digits in lower case")
	}
}

// fieldErrors returns the errors of all invalid fields of the document.
func (d *Document) fieldErrors() []fault.FieldError {
	c := &checker{}
	if d.Version == 0 {
		c.addError("version", "is 0 or missing; give the current version plus 1, or 1 for the first")
	}
	c.checkPipelines(d.Pipelines)
	c.checkWorkspaces(d.Workspaces)
	c.checkAdmissions(d.EndpointAdmissions)
	c.checkPlannedStops(d.PlannedStops)
	c.checkRoutes(d.Routes, c.checkServices(d.Services))
	return c.fieldErrors
}

func (c *checker) checkPipelines(pipelines []Pipeline) {
	seen := make(map[string]bool)
	for i, p := range pipelines {
		fieldPath := fmt.Sprintf("pipelines[%d]", i)
		c.checkName(fieldPath+".name", p.Name)
		c.checkUnique(seen, fieldPath+".name", p.Name)
		if p.DeadlineMS <= 0 || p.DeadlineMS > MaxDeadlineMS {
			c.addError(fieldPath+".deadline_ms", "is %d; give 1 to %d milliseconds", p.DeadlineMS, MaxDeadlineMS)
		}
		if len(p.Stages) == 0 || len(p.Stages) > MaxStages {
			c.addError(fieldPath+".stages", "has %d stages; give 1 to %d", len(p.Stages), MaxStages)
		}
		c.checkStages(fieldPath, p.Stages)
	}
}

func (c *checker) checkStages(parent string, stages []Stage) {
	seen := make(map[string]bool)
	for i, s := range stages {
		fieldPath := fmt.Sprintf("%s.stages[%d]", parent, i)
		c.checkName(fieldPath+".name", s.Name)
		c.checkUnique(seen, fieldPath+".name", s.Name)
		c.checkName(fieldPath+".pool", s.Pool)
		if s.Stream && s.NonIdempotent() {
			c.addError(fieldPath+".stream", "a stage that is not repeatable cannot stream; set only one of stream: true and repeatable: false")
		}
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for i, w := range workspaces {
		fieldPath := fmt.Sprintf("workspaces[%d]", i)
		if w.Unlimited {
			c.checkPresent(fieldPath+".name", w.Name)
			c.checkFieldValue(fieldPath+".name", w.Name)
		} else {
			c.checkName(fieldPath+".name", w.Name)
		}
		c.checkUnique(names, fieldPath+".name", w.Name)
		c.checkKeys(fieldPath, &w, keys)
		if w.Unlimited {
			continue
		}
		if w.RequestsPerSecond <= 0 {
			c.addError(fieldPath+".requests_per_second", "is %v; give a number over 0", w.RequestsPerSecond)
		}
		if w.ConcurrentRequests <= 0 {
			c.addError(fieldPath+".concurrent_requests", "is %d; give a number over 0", w.ConcurrentRequests)
		}
	}
}

func (c *checker) checkKeys(fieldPath string, w *Workspace, seen map[string]bool) {
	if w.KeySHA256 != "" || !w.Unlimited {
		c.checkDigest(fieldPath+".key_sha256", w.KeySHA256)
		c.checkUnique(seen, fieldPath+".key_sha256", w.KeySHA256)
	}
	for i, key := range w.KeysSHA256 {
		keyPath := fmt.Sprintf("%s.keys_sha256[%d]", fieldPath, i)
		c.checkDigest(keyPath, key)
		if !slices.Contains(w.KeysSHA256[:i], key) {
			c.checkUnique(seen, keyPath, key)
		}
	}
}

func (c *checker) checkAdmissions(admissions []EndpointAdmission) {
	for i, a := range admissions {
		fieldPath := fmt.Sprintf("endpoint_admissions[%d]", i)
		c.checkName(fieldPath+".pool", a.Pool)
		c.checkDigest(fieldPath+".token_sha256", a.TokenSHA256)
		if len(a.Endpoints) == 0 {
			c.addError(fieldPath+".endpoints", "is empty; give at least one endpoint id or pattern such as \"encoder-*\"")
		}
		for j, p := range a.Endpoints {
			if _, err := path.Match(p, ""); err != nil || p == "" {
				c.addError(fmt.Sprintf("%s.endpoints[%d]", fieldPath, j), "%q is not a valid pattern; use an id with '*' and '?'", p)
			}
		}
	}
}

func (c *checker) checkPlannedStops(stops []PlannedStop) {
	for i, s := range stops {
		fieldPath := fmt.Sprintf("planned_stops[%d]", i)
		if (s.Endpoint == "") == (s.VM == "") {
			c.addError(fieldPath, "names endpoint %q and vm %q; give exactly one of them", s.Endpoint, s.VM)
		}
		if s.At.IsZero() {
			c.addError(fieldPath+".at", "is missing; give a time such as 2026-12-05T10:00:00Z")
		}
	}
}
