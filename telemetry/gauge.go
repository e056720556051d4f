package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reading is one labelled value of a gauge.
type Reading struct {
	Value float64
	// Labels are alternating label names and values. It is empty for a gauge without labels.
	Labels []string
}

// Gauge is a metric whose readings are taken each time the metrics are collected.
type Gauge struct {
	Name        string
	Description string
	Read        func() []Reading
}

// AddGauges registers gauges.
func (m *Meter) AddGauges(gauges ...Gauge) error {
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
