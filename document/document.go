// Package document defines the operators' document, which configures the whole system: its types, validation and
// canonical form.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path"
	"time"

	"github.com/goccy/go-yaml"

	"godwitplank/fault"
)

// MaxBytes is the maximum size of a document that Parse accepts, in bytes.
const MaxBytes = 16 << 20

// Document is the whole configuration of the system. Parse, ParseCanonical and Check build its lookup indexes.
type Document struct {
	// Version is the number of this version of the document; the first is 1.
	Version            uint64              `json:"version" yaml:"version"`
	Pipelines          []Pipeline          `json:"pipelines" yaml:"pipelines"`
	Workspaces         []Workspace         `json:"workspaces" yaml:"workspaces"`
	EndpointAdmissions []EndpointAdmission `json:"endpoint_admissions" yaml:"endpoint_admissions"`
	PlannedStops       []PlannedStop       `json:"planned_stops,omitempty" yaml:"planned_stops"`
	Routes             []Route             `json:"routes,omitempty" yaml:"routes"`
	Services           []Service           `json:"services,omitempty" yaml:"services"`
	RequestLimits      RequestLimits       `json:"request_limits,omitzero" yaml:"request_limits"`

	routesByHost          map[string][]*Route
	servicesByName        map[string]*Service
	pipelinesByName       map[string]*Pipeline
	workspacesByKeyDigest map[string]*Workspace
	workspacesByName      map[string]*Workspace
}

// Pipeline is a sequence of stages that a request passes through under one deadline.
type Pipeline struct {
	Name       string  `json:"name" yaml:"name"`
	DeadlineMS int64   `json:"deadline_ms" yaml:"deadline_ms"`
	Stages     []Stage `json:"stages" yaml:"stages"`
}

// Stage is one step of a pipeline, served by a pool of endpoints.
type Stage struct {
	Name  string `json:"name" yaml:"name"`
	Pool  string `json:"pool" yaml:"pool"`
	Model string `json:"model,omitempty" yaml:"model"`
	// Stream marks a stage whose endpoints can stream tokens.
	Stream bool `json:"stream,omitempty" yaml:"stream"`
	// Repeatable is false for a stage whose calls are not idempotent and must run at most once; nil means true.
	Repeatable *bool `json:"repeatable,omitempty" yaml:"repeatable"`
}

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	Name      string `json:"name" yaml:"name"`
	KeySHA256 string `json:"key_sha256,omitempty" yaml:"key_sha256"`
	// KeysSHA256 lists the SHA-256 digests of further keys.
	KeysSHA256 []string `json:"keys_sha256,omitempty" yaml:"keys_sha256"`
	// Unlimited exempts the workspace from the two limits below, which are then ignored.
	Unlimited          bool    `json:"unlimited,omitempty" yaml:"unlimited"`
	RequestsPerSecond  float64 `json:"requests_per_second" yaml:"requests_per_second"`
	ConcurrentRequests int     `json:"concurrent_requests" yaml:"concurrent_requests"`
	Priority           int     `json:"priority" yaml:"priority"`
	// RanksRequests orders requests by this Priority first and by the priority of the route second.
	RanksRequests bool `json:"ranks_requests,omitempty" yaml:"ranks_requests"`
}

// EndpointAdmission allows endpoints with the token to serve a pool if their ids match one of the patterns.
type EndpointAdmission struct {
	Pool        string   `json:"pool" yaml:"pool"`
	Endpoints   []string `json:"endpoints" yaml:"endpoints"`
	TokenSHA256 string   `json:"token_sha256" yaml:"token_sha256"`
}

// PlannedStop removes an endpoint or a VM from service by the time At.
type PlannedStop struct {
	Endpoint string    `json:"endpoint,omitempty" yaml:"endpoint"`
	VM       string    `json:"vm,omitempty" yaml:"vm"`
	At       time.Time `json:"at" yaml:"at"`
}

// NonIdempotent reports whether the stage's calls are not idempotent and must run at most once.
func (s Stage) NonIdempotent() bool {
	return s.Repeatable != nil && !*s.Repeatable
}

// HasNonIdempotentStage reports whether any stage's calls are not idempotent.
func (p *Pipeline) HasNonIdempotentStage() bool {
	for _, s := range p.Stages {
		if s.NonIdempotent() {
			return true
		}
	}
	return false
}

// Deadline returns the time limit of a request through the pipeline.
func (p *Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Parse decodes and validates a document in YAML or JSON. Its error is a *fault.Error that lists all invalid fields.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, fault.New(fault.BodyTooLarge, "the document is larger than %d bytes; make it smaller", MaxBytes)
	}
	if err := checkNesting(text); err != nil {
		return nil, err
	}
	d := &Document{}
	if err := decode(text, d); err != nil && !errors.Is(err, io.EOF) {
		return nil, invalidDocument([]fault.FieldError{{Path: "document", Message: yaml.FormatError(err, false, false)}})
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	return d, nil
}

// decode decodes YAML or JSON. The library panics on some malformed texts.
func decode(text []byte, d *Document) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the YAML is malformed (%v); check its tags, anchors and indentation", r)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField()).Decode(d)
}

// Check validates the document and builds its lookup indexes. Its error is a *fault.Error that lists all invalid fields.
func (d *Document) Check() error {
	if fieldErrors := d.fieldErrors(); len(fieldErrors) > 0 {
		return invalidDocument(fieldErrors)
	}
	d.buildIndexes()
	return nil
}

// ParseCanonical decodes the canonical form of a document that was validated before. It does not validate it again.
func ParseCanonical(text []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, err
	}
	d.buildIndexes()
	return d, nil
}

// Canonical returns the document's canonical form, which is stored and replicated, and the form's SHA-256 digest.
func (d *Document) Canonical() (text []byte, digest string) {
	text, err := json.Marshal(d)
	if err != nil {
		panic("cannot encode a valid document: " + err.Error())
	}
	return text, SHA256(text)
}

// SHA256 returns the SHA-256 digest of text in lower-case hexadecimal.
func SHA256(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Pipeline returns the pipeline with the given name, or nil.
func (d *Document) Pipeline(name string) *Pipeline {
	return d.pipelinesByName[name]
}

// Workspace returns the workspace with the given name, or nil.
func (d *Document) Workspace(name string) *Workspace {
	return d.workspacesByName[name]
}

// WorkspaceByKey returns the workspace that the key authenticates, or nil.
func (d *Document) WorkspaceByKey(key string) *Workspace {
	return d.workspacesByKeyDigest[SHA256([]byte(key))]
}

// Admits reports whether an endpoint whose token has the given digest may serve the pool.
func (d *Document) Admits(pool, endpoint, tokenSHA256 string) bool {
	for _, a := range d.EndpointAdmissions {
		if a.Pool == pool && a.TokenSHA256 == tokenSHA256 && matchesAny(a.Endpoints, endpoint) {
			return true
		}
	}
	return false
}

// KnowsToken reports whether any endpoint admission has the given token digest.
func (d *Document) KnowsToken(tokenSHA256 string) bool {
	for _, a := range d.EndpointAdmissions {
		if a.TokenSHA256 == tokenSHA256 {
			return true
		}
	}
	return false
}

// LongestDeadline returns the longest deadline of all pipelines and routes.
func (d *Document) LongestDeadline() time.Duration {
	var longest time.Duration
	for i := range d.Pipelines {
		longest = max(longest, d.Pipelines[i].Deadline())
	}
	for i := range d.Routes {
		longest = max(longest, d.Routes[i].Timeout())
	}
	return longest
}

// KeyDigests returns the SHA-256 digests of all keys of the workspace.
func (w *Workspace) KeyDigests() []string {
	if w.KeySHA256 == "" {
		return w.KeysSHA256
	}
	return append([]string{w.KeySHA256}, w.KeysSHA256...)
}

func (d *Document) buildIndexes() {
	d.buildRouteIndexes()
	d.pipelinesByName = make(map[string]*Pipeline, len(d.Pipelines))
	for i := range d.Pipelines {
		d.pipelinesByName[d.Pipelines[i].Name] = &d.Pipelines[i]
	}
	d.workspacesByKeyDigest = make(map[string]*Workspace, len(d.Workspaces))
	d.workspacesByName = make(map[string]*Workspace, len(d.Workspaces))
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].KeyDigests() {
			d.workspacesByKeyDigest[key] = &d.Workspaces[i]
		}
		d.workspacesByName[d.Workspaces[i].Name] = &d.Workspaces[i]
	}
}

func matchesAny(patterns []string, id string) bool {
	for _, p := range patterns {
		if ok, err := path.Match(p, id); ok && err == nil {
			return true
		}
	}
	return false
}

func invalidDocument(fieldErrors []fault.FieldError) *fault.Error {
	e := fault.New(fault.InvalidDocument, "the document has %d invalid fields; correct each one listed and submit it again", len(fieldErrors))
	e.FieldErrors = fieldErrors
	return e
}
