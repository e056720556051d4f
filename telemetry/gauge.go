package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reading is one value of a gauge.
type Reading struct {
	Value float64
	// Labels are names and values in turn, none for a gauge with one value.
	Labels []string
}

// Gauge describes figures that are read whenever the metrics are asked for.
type Gauge struct {
	Name        string
	Description string
	Read        func() []Reading
}

// Add serves gauges besides the counters.
func (m *Meter) Add(gauges ...Gauge) error {
	for _, g := range gauges {
		_, err := m.meter.Float64ObservableGauge(g.Name, metric.WithDescription(g.Description), metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, r := range g.Read() {
				o.Observe(r.Value, metric.WithAttributes(attributes(r.Labels)...))
			}
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

func attributes(labels []string) []attribute.KeyValue {
	var out []attribute.KeyValue
	for i := 0; i+1 < len(labels); i += 2 {
		out = append(out, attribute.String(labels[i], labels[i+1]))
	}
	return out
}
