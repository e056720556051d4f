// Package load generates open-loop load for running VMs from a description, and measures attainment and latency.
package load

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"
)

// Description describes a load test.
type Description struct {
	// Seed determines the random arrival times, so that a run can be repeated.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Addrs are the addresses on which VMs accept requests, used round robin.
	Addrs   []netip.AddrPort `yaml:"callers"`
	Streams []Stream         `yaml:"streams"`
}

// Stream is a flow of requests of one workspace to one pipeline.
type Stream struct {
	Pipeline     string `yaml:"pipeline"`
	WorkspaceKey string `yaml:"workspace_key"`
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate   float64 `yaml:"rate"`
	Bursts *Bursts `yaml:"bursts"`
	// Streamed asks for streamed responses, WithIdempotencyKey sends a new Idempotency-Key with each request.
	Streamed           bool `yaml:"tokens"`
	WithIdempotencyKey bool `yaml:"orders"`
	// DeadlineMS is sent with each request; a response within it counts for attainment.
	DeadlineMS int64 `yaml:"deadline_ms"`
}

// Bursts multiplies the rate by Factor for Length at the start of every interval of Every.
type Bursts struct {
	Every  time.Duration `yaml:"every"`
	Length time.Duration `yaml:"length"`
	Factor float64       `yaml:"factor"`
}

// Parse decodes a description in YAML, without unknown fields, and validates it.
func Parse(text []byte) (*Description, error) {
	d := &Description{}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField()).Decode(d); err != nil {
		return nil, fmt.Errorf("the description is not valid YAML for a load: %w", err)
	}
	if d.Duration <= 0 || len(d.Streams) == 0 {
		return nil, fmt.Errorf("the description needs a duration over 0, such as 20s, and at least one stream")
	}
	for i, s := range d.Streams {
		if s.Pipeline == "" || s.Rate <= 0 || s.DeadlineMS <= 0 {
			return nil, fmt.Errorf("streams[%d] needs a pipeline, a rate over 0 and deadline_ms over 0", i)
		}
		if b := s.Bursts; b != nil && (b.Every <= 0 || b.Length <= 0 || b.Factor <= 0) {
			return nil, fmt.Errorf("streams[%d].bursts needs every, length and factor over 0", i)
		}
	}
	return d, nil
}

// rateAt returns the requests per second at an offset from the start, with bursts.
func (s *Stream) rateAt(offset time.Duration) float64 {
	if b := s.Bursts; b != nil && offset%b.Every < b.Length {
		return s.Rate * b.Factor
	}
	return s.Rate
}
