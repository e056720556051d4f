// Package telemetry has the metrics and the traces of a VM.
package telemetry

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/stats"
)

const name = "godwitplank"

// bounds of the histograms, in seconds: from a sync of a disk to the longest deadline.
var bounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 15}

// Meter counts what the VM does with requests. The zero value counts nothing.
type Meter struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	opened   metric.Int64Counter
	latency  metric.Float64Histogram
	hop      metric.Float64Histogram
	commit   metric.Float64Histogram
	sync     metric.Float64Histogram
	meter    metric.Meter
	handler  http.Handler
}

// NewMeter returns a meter whose figures Handler serves.
func NewMeter() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter(name)
	out := &Meter{meter: m, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	for _, c := range []struct {
		name, description string
		counter           *metric.Int64Counter
	}{
		{"godwitplank_requests", "Requests by pipeline, outcome and kind of refusal.", &out.requests},
		{"godwitplank_stage_attempts", "Stage calls by pool, cause and result.", &out.attempts},
		{"godwitplank_connections_opened", "New connections to endpoints.", &out.opened},
	} {
		if *c.counter, err = m.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, err
		}
	}
	for _, h := range []struct {
		name, description string
		histogram         *metric.Float64Histogram
	}{
		{"godwitplank_request_seconds", "Time from a request's arrival to its answer.", &out.latency},
		{"godwitplank_stage_seconds", "Time of each stage call.", &out.hop},
		{"godwitplank_commit_seconds", "Time until a proposed change was committed.", &out.commit},
		{"godwitplank_sync_seconds", "Time to write and sync a batch of the replicated log.", &out.sync},
	} {
		*h.histogram, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.description), metric.WithExplicitBucketBoundaries(bounds...))
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Handler serves the figures.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Request counts an answered or refused request.
func (m *Meter) Request(pipeline, outcome, kind string, took time.Duration) {
	if m == nil || m.requests == nil {
		return
	}
	set := metric.WithAttributes(attribute.String("pipeline", pipeline), attribute.String("outcome", outcome), attribute.String("kind", kind))
	m.requests.Add(context.Background(), 1, set)
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("pipeline", pipeline), attribute.String("outcome", outcome)))
}

// Attempt counts a stage call: cause is first, retry, hedge or resume, result is done or a reason.
func (m *Meter) Attempt(pool, cause, result string, took time.Duration) {
	if m == nil || m.attempts == nil {
		return
	}
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("cause", cause), attribute.String("result", result)))
	m.hop.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("pool", pool), attribute.String("result", result)))
}

// Commit counts a change that was committed.
func (m *Meter) Commit(took time.Duration) {
	if m != nil && m.commit != nil {
		m.commit.Record(context.Background(), took.Seconds())
	}
}

// Sync counts a batch of the replicated log that was synced.
func (m *Meter) Sync(took time.Duration) {
	if m != nil && m.sync != nil {
		m.sync.Record(context.Background(), took.Seconds())
	}
}

// Connection counts a new connection to an endpoint.
func (m *Meter) Connection() {
	if m == nil || m.opened == nil {
		return
	}
	m.opened.Add(context.Background(), 1)
}

// TraceTo writes every span as a line of JSON to a file. The returned function writes what waits and closes it.
func TraceTo(path string) (func(context.Context) error, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		_ = file.Close()
		return err
	}, nil
}

// Inject puts the trace into the header of a call to an endpoint.
func Inject(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract continues the trace of a caller's request, if it has one.
func Extract(ctx context.Context, h http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(h))
}

// tracedCalls are the calls between VMs that belong to a request.
var tracedCalls = []string{"/Propose", "/FindOrder"}

func traced(i *stats.RPCTagInfo) bool {
	for _, c := range tracedCalls {
		if strings.HasSuffix(i.FullMethodName, c) {
			return true
		}
	}
	return false
}

// ClientTracing gives each call between VMs that belongs to a request a span.
func ClientTracing() stats.Handler {
	return otelgrpc.NewClientHandler(otelgrpc.WithFilter(traced))
}

// ServerTracing is the other end of ClientTracing.
func ServerTracing() stats.Handler {
	return otelgrpc.NewServerHandler(otelgrpc.WithFilter(traced))
}

// Span starts a span of a hop with attributes as alternating names and values.
func Span(ctx context.Context, hop string, values ...string) (context.Context, trace.Span) {
	var attributes []attribute.KeyValue
	for i := 0; i+1 < len(values); i += 2 {
		attributes = append(attributes, attribute.String(values[i], values[i+1]))
	}
	return otel.Tracer(name).Start(ctx, hop, trace.WithAttributes(attributes...))
}
