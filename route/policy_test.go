package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// pool returns n candidates with equal latencies that alternate between two data centres.
func pool(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		s := &Stats{}
		s.observeLatency(100 * time.Millisecond)
		out[i] = Candidate{ID: fmt.Sprintf("e-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Slots: 4, ExpiresAt: now.Add(time.Second), Stats: s}
	}
	return out
}

func TestUsable(t *testing.T) {
	for name, policy := range Policies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := policy()
			c := pool(3)
			c[0].ExpiresAt = now // lease expired
			c[1].Models = []string{"other"}
			for range 20 {
				is.Equal(p.Choose(Query{Now: now, Model: "m"}, c), 2)
			}
			is.Equal(p.Choose(Query{Now: now, Model: "m", Tried: []string{"e-2"}}, c), -1)
			is.Equal(p.Choose(Query{Now: now}, nil), -1)
		})
	}
}

func TestPredicted(t *testing.T) {
	q := Query{Now: now, DataCentre: "dc-0"}
	for _, c := range []struct {
		name   string
		change func(c []Candidate)
		want   int
	}{
		{"own data centre first", func([]Candidate) {}, 0},
		{"faster endpoint in another data centre", func(c []Candidate) { c[1].Stats.latency.Store(int64(10 * time.Millisecond)) }, 1},
		{"own calls in flight", func(c []Candidate) { c[0].Stats.inFlight.Store(8) }, 1},
		{"reported calls of other VMs", func(c []Candidate) { c[0].Stats.SetReportedLoad(6, 2) }, 1},
		{"assumed calls of other VMs before a load report", func(c []Candidate) {
			c[0].SendingVMs, c[1].SendingVMs = 8, 8
			c[0].Stats.inFlight.Store(2)
		}, 1},
		{"own calls are not counted twice", func(c []Candidate) {
			c[0].Stats.inFlight.Store(1)
			c[0].Stats.SetReportedLoad(1, 0)
			c[1].Stats.inFlight.Store(1)
		}, 0},
		{"ejected after a failure", func(c []Candidate) { c[0].Begin(); c[0].Stats.Fail(now) }, 1},
		{"all ejected", func(c []Candidate) {
			for i := range c {
				c[i].Begin()
				c[i].Stats.Fail(now)
			}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidates := pool(2)
			c.change(candidates)
			is.New(t).Equal(predicted(q, candidates), c.want)
		})
	}
}

// The ejection time of an endpoint grows with each consecutive failure, and the first success ends the ejection.
func TestEjection(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	c := &Candidate{Slots: 4, Stats: s}
	var previous time.Duration
	for range 5 {
		c.Begin()
		ejection := s.Fail(now)
		is.True(ejection > previous)
		previous = ejection
	}
	is.True(s.ejected(now.UnixNano()))
	c.Begin()
	s.Succeed(time.Millisecond, 1)
	is.True(!s.ejected(now.UnixNano()))
	is.Equal(s.InFlight(), int64(0))
}

// BenchmarkChoose measures one selection. The target is 2 us at 136 endpoints without allocation.
func BenchmarkChoose(b *testing.B) {
	for name, policy := range Policies {
		for _, n := range []int{12, 136, 1900} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, n), func(b *testing.B) {
				c, p := pool(n), policy()
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(Query{Now: now, DataCentre: "dc-0"}, c)
				}
			})
		}
	}
}
