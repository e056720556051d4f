// Package document has the operators' document: its types, its checks and its canonical form.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"path"
	"time"

	"github.com/goccy/go-yaml"

	"godwitplank/fault"
)

// MaxBytes is the size of the largest document that is read.
const MaxBytes = 16 << 20

// Document is the whole configuration of the system.
type Document struct {
	// Version is the version that this document becomes; 1 replaces none.
	Version            uint64              `json:"version" yaml:"version"`
	Pipelines          []Pipeline          `json:"pipelines" yaml:"pipelines"`
	Workspaces         []Workspace         `json:"workspaces" yaml:"workspaces"`
	EndpointAdmissions []EndpointAdmission `json:"endpoint_admissions" yaml:"endpoint_admissions"`
	PlannedStops       []PlannedStop       `json:"planned_stops,omitempty" yaml:"planned_stops"`
	Routes             []Route             `json:"routes,omitempty" yaml:"routes"`
	Services           []Service           `json:"services,omitempty" yaml:"services"`
	RequestLimits      RequestLimits       `json:"request_limits,omitzero" yaml:"request_limits"`

	routes    map[string][]*Route
	services  map[string]*Service
	pipelines map[string]*Pipeline
	keys      map[string]*Workspace
	names     map[string]*Workspace
}

// Pipeline is a chain of stages under one deadline.
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
	// Repeatable is true unless the document says false.
	Repeatable *bool `json:"repeatable,omitempty" yaml:"repeatable"`
}

// Workspace is a customer with its key and limits.
type Workspace struct {
	Name      string `json:"name" yaml:"name"`
	KeySHA256 string `json:"key_sha256,omitempty" yaml:"key_sha256"`
	// KeysSHA256 lists further keys.
	KeysSHA256 []string `json:"keys_sha256,omitempty" yaml:"keys_sha256"`
	// Unlimited workspaces have no limits; the two fields below are then not needed.
	Unlimited          bool    `json:"unlimited,omitempty" yaml:"unlimited"`
	RequestsPerSecond  float64 `json:"requests_per_second" yaml:"requests_per_second"`
	ConcurrentRequests int     `json:"concurrent_requests" yaml:"concurrent_requests"`
	Priority           int     `json:"priority" yaml:"priority"`
	// RanksRequests lets Priority replace the rank of a route.
	RanksRequests bool `json:"ranks_requests,omitempty" yaml:"ranks_requests"`
}

// EndpointAdmission lets endpoints whose ids match a pattern serve a pool.
type EndpointAdmission struct {
	Pool        string   `json:"pool" yaml:"pool"`
	Endpoints   []string `json:"endpoints" yaml:"endpoints"`
	TokenSHA256 string   `json:"token_sha256" yaml:"token_sha256"`
}

// PlannedStop takes an endpoint or a VM out of work by a time.
type PlannedStop struct {
	Endpoint string    `json:"endpoint,omitempty" yaml:"endpoint"`
	VM       string    `json:"vm,omitempty" yaml:"vm"`
	At       time.Time `json:"at" yaml:"at"`
}

// Orders reports whether the stage may not be repeated.
func (s Stage) Orders() bool {
	return s.Repeatable != nil && !*s.Repeatable
}

// Orders reports whether any stage may not be repeated.
func (p *Pipeline) Orders() bool {
	for _, s := range p.Stages {
		if s.Orders() {
			return true
		}
	}
	return false
}

// Deadline returns the pipeline's deadline.
func (p *Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Parse reads a document in YAML or JSON and checks it whole. Its error lists every fault.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, fault.New(fault.BodyTooLarge, "the document has over %d bytes; make it smaller", MaxBytes)
	}
	d := &Document{}
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(d); err != nil && !errors.Is(err, io.EOF) {
		return nil, invalid([]fault.Place{{Place: "document", Message: yaml.FormatError(err, false, false)}})
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	return d, nil
}

// Check checks the document whole and makes it ready for use. Its error lists every fault.
func (d *Document) Check() error {
	if faults := d.check(); len(faults) > 0 {
		return invalid(faults)
	}
	d.index()
	return nil
}

// ParseCanonical reads a document that was accepted before.
func ParseCanonical(text []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, err
	}
	d.index()
	return d, nil
}

// Canonical returns the stored form and its digest.
func (d *Document) Canonical() (text []byte, digest string) {
	text, err := json.Marshal(d)
	if err != nil {
		panic("a checked document does not encode: " + err.Error())
	}
	return text, SHA256(text)
}

// SHA256 returns the digest of text in hexadecimal.
func SHA256(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Pipeline returns the pipeline with a name, or nil.
func (d *Document) Pipeline(name string) *Pipeline {
	return d.pipelines[name]
}

// Workspace returns the workspace with a name, or nil.
func (d *Document) Workspace(name string) *Workspace {
	return d.names[name]
}

// WorkspaceOf returns the workspace that a key opens, or nil.
func (d *Document) WorkspaceOf(key string) *Workspace {
	return d.keys[SHA256([]byte(key))]
}

// Admits reports whether an endpoint with a token's digest may serve a pool.
func (d *Document) Admits(pool, endpoint, tokenSHA256 string) bool {
	for _, a := range d.EndpointAdmissions {
		if a.Pool == pool && a.TokenSHA256 == tokenSHA256 && matchesAny(a.Endpoints, endpoint) {
			return true
		}
	}
	return false
}

// KnowsToken reports whether any admission has a token's digest.
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

// Keys returns the digests of all keys of the workspace.
func (w *Workspace) Keys() []string {
	if w.KeySHA256 == "" {
		return w.KeysSHA256
	}
	return append([]string{w.KeySHA256}, w.KeysSHA256...)
}

func (d *Document) index() {
	d.indexRoutes()
	d.pipelines = make(map[string]*Pipeline, len(d.Pipelines))
	for i := range d.Pipelines {
		d.pipelines[d.Pipelines[i].Name] = &d.Pipelines[i]
	}
	d.keys = make(map[string]*Workspace, len(d.Workspaces))
	d.names = make(map[string]*Workspace, len(d.Workspaces))
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys() {
			d.keys[key] = &d.Workspaces[i]
		}
		d.names[d.Workspaces[i].Name] = &d.Workspaces[i]
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

func invalid(faults []fault.Place) *fault.Error {
	e := fault.New(fault.InvalidDocument, "the document has %d faults; mend each place listed and submit it again", len(faults))
	e.Faults = faults
	return e
}
