package document

import (
	"math"
	"sort"
	"strings"
	"time"
)

// RouteKind is the kind of a route's requests: whether they may be retried and whether they stream.
type RouteKind string

// Kinds of routes.
const (
	// Repeatable requests are idempotent: they may run any number of times.
	Repeatable RouteKind = "repeatable"
	// Once requests run at most once.
	Once RouteKind = "once"
	// Stream requests are answered by a stream of events. They run at most once, unless the route has Resume.
	Stream RouteKind = "stream"
)

// Route forwards the requests to a host and path prefix to one of its services, unchanged.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path_prefix" yaml:"path_prefix"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// TimeoutMS is the maximum time in milliseconds that a caller waits for the answer.
	TimeoutMS int64 `json:"timeout_ms" yaml:"timeout_ms"`
	// TargetLatencyMS is the latency objective in milliseconds, for the answer or the first event of a stream.
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty" yaml:"target_latency_ms"`
	// TargetGapMS is the objective for the time between two events of a stream, in milliseconds.
	TargetGapMS int64 `json:"target_gap_ms,omitempty" yaml:"target_gap_ms"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int               `json:"priority,omitempty" yaml:"priority"`
	Services []WeightedService `json:"services" yaml:"services"`
	// MaxAttempts is the maximum number of endpoints that one request may run on; 0 means 1.
	MaxAttempts int          `json:"max_attempts,omitempty" yaml:"max_attempts"`
	Stages      []RouteStage `json:"stages,omitempty" yaml:"stages"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty" yaml:"public"`
	// Resume allows a broken stream to continue on another endpoint after its last event.
	Resume bool `json:"resume,omitempty" yaml:"resume"`
}

// WeightedService is a service with the weight that sets its share of a route's requests.
type WeightedService struct {
	Service string  `json:"service" yaml:"service"`
	Weight  float64 `json:"weight" yaml:"weight"`
}

// RouteStage is a preprocessing stage of a request that completes before the request itself runs. It is split into
// independent pieces, each with one result.
type RouteStage struct {
	Service string `json:"service" yaml:"service"`
	// After has the indexes of the earlier stages whose results are this stage's inputs.
	After []int `json:"after,omitempty" yaml:"after"`
	// ResultBytes is the approximate size of one result in bytes.
	ResultBytes int64 `json:"bytes,omitempty" yaml:"bytes"`
}

// Service is a group of equivalent endpoints that serve routed requests or batches of pieces.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// MaxConnections is the number of connections that one endpoint accepts from all VMs together; 0 means no limit.
	MaxConnections int `json:"max_connections,omitempty" yaml:"max_connections"`
	// ColdStartMS is how long an endpoint is cold after its start, in milliseconds, unless it states that itself.
	ColdStartMS int64 `json:"cold_start_ms,omitempty" yaml:"cold_start_ms"`
	// ColdRequestsPerSecond is the number of requests per second that a cold endpoint tolerates from all VMs together; 0 means
	// no limit.
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty" yaml:"cold_requests_per_second"`
	Engine                *Engine `json:"engine,omitempty" yaml:"engine"`
	Batch                 *Batch  `json:"batch,omitempty" yaml:"batch"`
}

// Engine describes the capacity of each model endpoint of a service.
type Engine struct {
	Slots int `json:"slots,omitempty" yaml:"slots"`
	// CacheTokens is the size of an endpoint's KV cache in tokens, shared by running requests and cached prefixes.
	CacheTokens int `json:"cache_tokens,omitempty" yaml:"cache_tokens"`
}

// Batch describes the endpoints of a service that processes pieces in batches, one batch per call.
type Batch struct {
	// Slots is the number of calls that one endpoint runs concurrently, Queue the number that may wait at it.
	Slots int `json:"slots,omitempty" yaml:"slots"`
	Queue int `json:"queue,omitempty" yaml:"queue"`
	// Pieces is the maximum batch size.
	Pieces int `json:"pieces" yaml:"pieces"`
	// CallMS is the approximate fixed time of a call and PieceMS the additional time per piece, in milliseconds.
	CallMS  float64 `json:"call_ms,omitempty" yaml:"call_ms"`
	PieceMS float64 `json:"piece_ms,omitempty" yaml:"piece_ms"`
	// ResultBytes is the memory for results of one endpoint in bytes.
	ResultBytes int64 `json:"result_bytes,omitempty" yaml:"result_bytes"`
	// KeepMS is how long an endpoint keeps a result after the call, in milliseconds.
	KeepMS int64 `json:"keep_ms,omitempty" yaml:"keep_ms"`
}

// RequestLimits limits the size of callers' requests on routes and the time to send them.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty" yaml:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty" yaml:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty" yaml:"idle_timeout_ms"`
}

// milliseconds returns a duration, the longest one for a number that exceeds it.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// ColdStart returns how long an endpoint is cold after its start.
func (s *Service) ColdStart() time.Duration {
	return milliseconds(s.ColdStartMS)
}

// Keep returns how long an endpoint keeps a result after the call.
func (b *Batch) Keep() time.Duration {
	return milliseconds(b.KeepMS)
}

// Timeout returns the maximum time that a caller waits for the answer.
func (r *Route) Timeout() time.Duration {
	return milliseconds(r.TimeoutMS)
}

// TargetLatency returns the latency objective.
func (r *Route) TargetLatency() time.Duration {
	return milliseconds(r.TargetLatencyMS)
}

// Retryable reports whether a request may be retried after an attempt that may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resume)
}

// Attempts returns the maximum number of endpoints that a request may run on, at least 1.
func (r *Route) Attempts() int {
	return max(1, r.MaxAttempts)
}

// PickService returns the service that a random draw in [0, 1) selects by weight.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

// FindRoute returns the host's route with the longest path prefix that matches, or nil. Hosts are case-insensitive.
func (d *Document) FindRoute(host, path string) *Route {
	host = strings.ToLower(host)
	for _, r := range d.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	return d.servicesByName[name]
}

// buildRouteIndexes indexes the routes by host, each host's longest path prefix first, and the services by name.
func (d *Document) buildRouteIndexes() {
	d.routesByHost = make(map[string][]*Route)
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.routesByHost[host] = append(d.routesByHost[host], r)
	}
	for _, routes := range d.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	d.servicesByName = make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		d.servicesByName[d.Services[i].Name] = &d.Services[i]
	}
}
