package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"godwitplank/spend"
)

// Result holds the outcomes and latencies that callers saw, and the cost.
type Result struct {
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	// Sent counts all requests, including those not sent because too many were in flight; Answered those with a
	// valid response.
	Sent     int64 `json:"sent"`
	Answered int64 `json:"done"`
	// InTime counts valid responses within their deadline; Attainment is InTime divided by Sent.
	InTime     int64   `json:"in_time"`
	Attainment float64 `json:"attainment"`
	// Refusals counts requests without a valid response by fault kind, or as not_sent, no_answer or wrong_answer.
	Refusals      map[string]int64 `json:"refusals"`
	Latency       Quantiles        `json:"latency"`
	FirstToken    Quantiles        `json:"first_token"`
	BetweenTokens Quantiles        `json:"between_tokens"`
	// Cost is the calls and endpoint time of each workspace and stage, as counted by the VMs.
	Cost []spend.Total `json:"cost"`
	// Attempts counts stage calls by cause, UnusedCalls those whose response was not used, such as failed calls and
	// cancelled hedges.
	Attempts    map[string]int64 `json:"attempts"`
	UnusedCalls int64            `json:"lost"`
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// recorder accumulates the outcomes of requests; it is safe for concurrent use.
type recorder struct {
	mu            sync.Mutex
	refusals      map[string]int64
	completed     int64
	inTime        int64
	total         int64
	latency       *hdrhistogram.Histogram
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minUS             = 1
	maxUS             = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minUS, maxUS, significantDigits) }
	return &recorder{refusals: make(map[string]int64), latency: histogram(), firstToken: histogram(), betweenTokens: histogram()}
}

// recordRefusal counts a request without a valid response by its error kind.
func (r *recorder) recordRefusal(_ *Stream, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.refusals[kind]++
}

// recordAnswer records a valid response and the arrival times of its tokens, if it was streamed.
func (r *recorder) recordAnswer(latency time.Duration, inTime bool, start time.Time, tokens []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.completed++
	if inTime {
		r.inTime++
	}
	_ = r.latency.RecordValue(latency.Microseconds())
	for i, t := range tokens {
		if i == 0 {
			_ = r.firstToken.RecordValue(t.Sub(start).Microseconds())
			continue
		}
		_ = r.betweenTokens.RecordValue(t.Sub(tokens[i-1]).Microseconds())
	}
}

func (r *recorder) result(d *Description) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Seed: d.Seed, DurationMS: d.Duration.Milliseconds(), Sent: r.total, Answered: r.completed, InTime: r.inTime,
		Refusals: r.refusals, Latency: quantiles(r.latency), FirstToken: quantiles(r.firstToken), BetweenTokens: quantiles(r.betweenTokens),
	}
	if r.total > 0 {
		out.Attainment = float64(r.inTime) / float64(r.total)
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{ms(50), ms(95), ms(99)}
}

// EndpointMSPerAnswer returns the mean endpoint time per valid response in milliseconds, 0 without responses.
func (r *Result) EndpointMSPerAnswer() float64 {
	heldMS := int64(0)
	for _, c := range r.Cost {
		heldMS += c.HeldMS
	}
	if r.Answered == 0 {
		return 0
	}
	return float64(heldMS) / float64(r.Answered)
}

// Print writes the result as a text table, with the values of baseline in a second column unless it is nil.
func (r *Result) Print(w io.Writer, baseline *Result) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, value func(*Result) any) {
		fmt.Fprintf(tw, "%s\t"+format, name, value(r))
		if baseline != nil {
			fmt.Fprintf(tw, "\t"+format, value(baseline))
		}
		fmt.Fprintln(tw)
	}
	row("sent", "%d", func(r *Result) any { return r.Sent })
	row("done", "%d", func(r *Result) any { return r.Answered })
	row("in time", "%d", func(r *Result) any { return r.InTime })
	row("deadline attainment", "%.2f %%", func(r *Result) any { return 100 * r.Attainment })
	for _, q := range []struct {
		name string
		get  func(*Result) Quantiles
	}{
		{"latency", func(r *Result) Quantiles { return r.Latency }},
		{"first token", func(r *Result) Quantiles { return r.FirstToken }},
		{"between tokens", func(r *Result) Quantiles { return r.BetweenTokens }},
	} {
		row(q.name+" p50", "%.1f ms", func(r *Result) any { return q.get(r).P50 })
		row(q.name+" p95", "%.1f ms", func(r *Result) any { return q.get(r).P95 })
		row(q.name+" p99", "%.1f ms", func(r *Result) any { return q.get(r).P99 })
	}
	row("endpoint time per response", "%.1f ms", func(r *Result) any { return r.EndpointMSPerAnswer() })
	row("calls with an unused response", "%d", func(r *Result) any { return r.UnusedCalls })
	for _, cause := range sortedKeys(r, baseline, func(r *Result) map[string]int64 { return r.Attempts }) {
		row("calls: "+cause, "%d", func(r *Result) any { return r.Attempts[cause] })
	}
	for _, kind := range sortedKeys(r, baseline, func(r *Result) map[string]int64 { return r.Refusals }) {
		row("refused: "+kind, "%d", func(r *Result) any { return r.Refusals[kind] })
	}
	for _, c := range r.Cost {
		fmt.Fprintf(tw, "cost: %s %s\t%d calls, %v\n", c.Workspace, c.Stage, c.Calls, time.Duration(c.HeldMS)*time.Millisecond)
	}
	_ = tw.Flush()
}

// sortedKeys returns the sorted keys of a map of both results; b may be nil.
func sortedKeys(a, b *Result, get func(*Result) map[string]int64) []string {
	all := make(map[string]bool)
	for k := range get(a) {
		all[k] = true
	}
	if b != nil {
		for k := range get(b) {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
