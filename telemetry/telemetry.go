// Package telemetry records the metrics and traces of a VM with OpenTelemetry.
package telemetry

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
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
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

const scopeName = "godwitplank"

// bucketBounds are the histogram buckets in seconds. They range from the time of a disk sync to the longest deadline.
var bucketBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 15}

// Meter records the metrics of requests, stage calls and replication. A nil or zero Meter records nothing.
type Meter struct {
	requests       metric.Int64Counter
	attempts       metric.Int64Counter
	connections    metric.Int64Counter
	fetches        metric.Int64Counter
	malformed      metric.Int64Counter
	notEncoded     metric.Int64Counter
	requestSeconds metric.Float64Histogram
	stageSeconds   metric.Float64Histogram
	commitSeconds  metric.Float64Histogram
	syncSeconds    metric.Float64Histogram
	fetchSeconds   metric.Float64Histogram
	meter          metric.Meter
	handler        http.Handler
}

// NewMeter returns a meter with its own Prometheus registry.
func NewMeter() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter(scopeName)
	out := &Meter{meter: m, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	for _, c := range []struct {
		name, description string
		counter           *metric.Int64Counter
	}{
		{"godwitplank_requests", "Requests by pipeline, outcome and kind of refusal.", &out.requests},
		{"godwitplank_stage_attempts", "Stage calls by pool, cause and result.", &out.attempts},
		{"godwitplank_connections_opened", "New connections to endpoints.", &out.connections},
		{"godwitplank_document_fetches", "Transfers of the document from another VM by result.", &out.fetches},
		{"godwitplank_malformed_responses", "Malformed responses of endpoints, by pool and source.", &out.malformed},
		{"godwitplank_calls_not_encoded", "Calls to endpoints that were not sent since their head cannot be encoded, by pool.", &out.notEncoded},
	} {
		if *c.counter, err = m.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, err
		}
	}
	for _, h := range []struct {
		name, description string
		histogram         *metric.Float64Histogram
	}{
		{"godwitplank_request_seconds", "Time from a request's arrival to its answer.", &out.requestSeconds},
		{"godwitplank_stage_seconds", "Time of each stage call.", &out.stageSeconds},
		{"godwitplank_commit_seconds", "Time until a proposed change was committed.", &out.commitSeconds},
		{"godwitplank_sync_seconds", "Time to write and sync a batch of the replicated log.", &out.syncSeconds},
		{"godwitplank_document_fetch_seconds", "Time to transfer the document from another VM, also if that failed.", &out.fetchSeconds},
	} {
		*h.histogram, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.description), metric.WithExplicitBucketBoundaries(bucketBounds...))
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// RecordRequest records a finished request, answered or rejected. Kind is the error kind, empty on success.
func (m *Meter) RecordRequest(pipeline, outcome, kind string, elapsed time.Duration) {
	if m == nil || m.requests == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("pipeline", pipeline), attribute.String("outcome", outcome), attribute.String("kind", kind))
	m.requests.Add(context.Background(), 1, attributes)
	m.requestSeconds.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("pipeline", pipeline), attribute.String("outcome", outcome)))
}

// RecordAttempt records a stage call. Cause says why it was sent, such as first, retry, hedge or resume; result is done or the
// reason of the failure.
func (m *Meter) RecordAttempt(pool, cause, result string, elapsed time.Duration) {
	if m == nil || m.attempts == nil {
		return
	}
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("cause", cause), attribute.String("result", result)))
	m.stageSeconds.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("pool", pool), attribute.String("result", result)))
}

// RecordCommit records the time from the proposal of a change to its commit.
func (m *Meter) RecordCommit(elapsed time.Duration) {
	if m != nil && m.commitSeconds != nil {
		m.commitSeconds.Record(context.Background(), elapsed.Seconds())
	}
}

// RecordSync records the time to write and sync a batch of the replicated log.
func (m *Meter) RecordSync(elapsed time.Duration) {
	if m != nil && m.syncSeconds != nil {
		m.syncSeconds.Record(context.Background(), elapsed.Seconds())
	}
}

// RecordDocumentFetch records a transfer of the document from another VM. Result is done or failed.
func (m *Meter) RecordDocumentFetch(result string, elapsed time.Duration) {
	if m == nil || m.fetches == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("result", result))
	m.fetches.Add(context.Background(), 1, attributes)
	m.fetchSeconds.Record(context.Background(), elapsed.Seconds(), attributes)
}

// RecordMalformedResponse counts a malformed response of an endpoint. Source is stage for the response of a stage, head for the head of
// another response, or event for the id of an event.
func (m *Meter) RecordMalformedResponse(pool, source string) {
	if m == nil || m.malformed == nil {
		return
	}
	m.malformed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("source", source)))
}

// RecordCallNotEncoded counts a call to an endpoint that was not sent since its head cannot be encoded.
func (m *Meter) RecordCallNotEncoded(pool string) {
	if m == nil || m.notEncoded == nil {
		return
	}
	m.notEncoded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool)))
}

// RecordConnection counts a new connection to an endpoint.
func (m *Meter) RecordConnection() {
	if m == nil || m.connections == nil {
		return
	}
	m.connections.Add(context.Background(), 1)
}

// WriteTraces appends every span as a line of JSON to a file. The returned function flushes the buffered spans and closes the file.
func WriteTraces(path string) (func(context.Context) error, error) {
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
	tracing.Store(true)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		_ = file.Close()
		return err
	}, nil
}

// Inject adds the trace context to the header of a call to an endpoint.
func Inject(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context of a caller's request, if its header has one.
func Extract(ctx context.Context, h http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(h))
}

// tracing is true once WriteTraces was called.
var tracing atomic.Bool

// tracedMethods are the gRPC methods that VMs call on behalf of a request.
var tracedMethods = []string{"/Propose", "/FindOrder"}

func isTraced(i *stats.RPCTagInfo) bool {
	for _, c := range tracedMethods {
		if strings.HasSuffix(i.FullMethodName, c) {
			return true
		}
	}
	return false
}

// ClientTracing returns the gRPC options that trace calls to other VMs made on behalf of a request; none if WriteTraces
// was not called, since a handler takes time for every call.
func ClientTracing() []grpc.DialOption {
	if !tracing.Load() {
		return nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(isTraced)))}
}

// ServerTracing returns the gRPC options that trace calls from other VMs made on behalf of a request, as ClientTracing.
func ServerTracing() []grpc.ServerOption {
	if !tracing.Load() {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(isTraced)))}
}

// StartSpan starts a span. The values are alternating attribute names and values.
func StartSpan(ctx context.Context, spanName string, values ...string) (context.Context, trace.Span) {
	var attributes []attribute.KeyValue
	for i := 0; i+1 < len(values); i += 2 {
		attributes = append(attributes, attribute.String(values[i], values[i+1]))
	}
	return otel.Tracer(scopeName).Start(ctx, spanName, trace.WithAttributes(attributes...))
}
