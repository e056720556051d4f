package document

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what may be repeated of the requests of a route.
type RouteKind string

// The kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable RouteKind = "repeatable"
	// Once requests run at most once.
	Once RouteKind = "once"
	// Stream requests are answered by events and run at most once, unless the route resumes.
	Stream RouteKind = "stream"
)

// Route sends the raw requests of a host and a path prefix to a service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path_prefix" yaml:"path_prefix"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// TimeoutMS is the longest time that a caller is kept waiting.
	TimeoutMS int64 `json:"timeout_ms" yaml:"timeout_ms"`
	// TargetLatencyMS is the latency objective: of the answer, or of the first event of a stream.
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty" yaml:"target_latency_ms"`
	// TargetGapMS is the longest pause between two events of a stream that meets its objective.
	TargetGapMS int64 `json:"target_gap_ms,omitempty" yaml:"target_gap_ms"`
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int               `json:"priority,omitempty" yaml:"priority"`
	Services []WeightedService `json:"services" yaml:"services"`
	// MaxAttempts is the largest number of endpoints that one request may run at.
	MaxAttempts int          `json:"max_attempts,omitempty" yaml:"max_attempts"`
	Stages      []RouteStage `json:"stages,omitempty" yaml:"stages"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty" yaml:"public"`
	// Resume lets a broken stream go on at another endpoint after its last event.
	Resume bool `json:"resume,omitempty" yaml:"resume"`
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string  `json:"service" yaml:"service"`
	Weight  float64 `json:"weight" yaml:"weight"`
}

// RouteStage is work in pieces that is done before a request runs.
type RouteStage struct {
	Service string `json:"service" yaml:"service"`
	// After lists the stages whose results this one takes as input.
	After []int `json:"after,omitempty" yaml:"after"`
	// Bytes is the approximate size of one result.
	Bytes int64 `json:"bytes,omitempty" yaml:"bytes"`
}

// Service is a group of like endpoints that take raw requests or pieces.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// MaxConnections is what one endpoint accepts from all VMs together.
	MaxConnections int     `json:"max_connections,omitempty" yaml:"max_connections"`
	Engine         *Engine `json:"engine,omitempty" yaml:"engine"`
	Batch          *Batch  `json:"batch,omitempty" yaml:"batch"`
}

// Engine describes the model endpoints of a service.
type Engine struct {
	Slots int `json:"slots,omitempty" yaml:"slots"`
	// CacheTokens is the memory of one endpoint for running requests and cached prefixes.
	CacheTokens int `json:"cache_tokens,omitempty" yaml:"cache_tokens"`
}

// Batch describes the endpoints of a service that makes pieces, several in a call.
type Batch struct {
	// Slots is the number of calls that one endpoint works on at a time, Queue the number that may wait there.
	Slots int `json:"slots,omitempty" yaml:"slots"`
	Queue int `json:"queue,omitempty" yaml:"queue"`
	// Pieces is the largest number of pieces in a call.
	Pieces int `json:"pieces" yaml:"pieces"`
	// CallMS and PieceMS are the approximate time of a call and of each of its pieces.
	CallMS  float64 `json:"call_ms,omitempty" yaml:"call_ms"`
	PieceMS float64 `json:"piece_ms,omitempty" yaml:"piece_ms"`
	// ResultBytes is the memory of one endpoint for results.
	ResultBytes int64 `json:"result_bytes,omitempty" yaml:"result_bytes"`
	// KeepMS is how long a result is kept after its call.
	KeepMS int64 `json:"keep_ms,omitempty" yaml:"keep_ms"`
}

// RequestLimits bound what a caller of a route may send, and how long it may take.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty" yaml:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty" yaml:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty" yaml:"idle_timeout_ms"`
}

// Timeout returns the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// TargetLatency returns the latency objective.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMS) * time.Millisecond
}

// MayRepeat reports whether a request of the route may be sent again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resume)
}

// Attempts returns how many endpoints a request may run at.
func (r *Route) Attempts() int {
	return max(1, r.MaxAttempts)
}

// Pick returns the service for a draw from 0 to 1.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Services {
		left -= float64(s.Weight)
		if left < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

// FindRoute returns the route of the host with the longest prefix of the path, or nil.
func (d *Document) FindRoute(host, path string) *Route {
	host = strings.ToLower(host)
	for _, r := range d.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (d *Document) Service(name string) *Service {
	return d.services[name]
}

// indexRoutes groups the routes by host, the longest prefix first.
func (d *Document) indexRoutes() {
	d.routes = make(map[string][]*Route)
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.routes[host] = append(d.routes[host], r)
	}
	for _, routes := range d.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	d.services = make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		d.services[d.Services[i].Name] = &d.Services[i]
	}
}
