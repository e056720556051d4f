package load

import (
	"bufio"
	"io"
	"regexp"
	"strconv"

	"godwitplank/spend"
)

// attemptMetric matches the counter of stage calls in the Prometheus text format.
var attemptMetric = regexp.MustCompile(`^godwitplank_stage_attempts_total\{(.*)\} ([0-9.e+]+)$`)

var attemptLabels = regexp.MustCompile(`(cause|result)="([^"]*)"`)

// Counters is a snapshot of the VMs' counters.
type Counters struct {
	Spend []spend.Total
	// Attempts counts stage calls by cause, UnusedCalls those whose response was not used, such as failed calls and
	// cancelled hedges.
	Attempts    map[string]int64
	UnusedCalls int64
}

// ReadMetrics adds the stage calls in one VM's metrics, in the Prometheus text format. It returns errors of reading or
// of a malformed value.
func (c *Counters) ReadMetrics(r io.Reader) error {
	if c.Attempts == nil {
		c.Attempts = make(map[string]int64)
	}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		match := attemptMetric.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		value, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return err
		}
		labels := make(map[string]string)
		for _, l := range attemptLabels.FindAllStringSubmatch(match[1], -1) {
			labels[l[1]] = l[2]
		}
		c.Attempts[labels["cause"]] += int64(value)
		if labels["result"] != "done" {
			c.UnusedCalls += int64(value)
		}
	}
	return scanner.Err()
}

// SetUsage sets the result's cost and stage calls to the difference between two snapshots.
func (r *Result) SetUsage(before, after *Counters) {
	r.Attempts = make(map[string]int64)
	for cause, n := range after.Attempts {
		r.Attempts[cause] = n - before.Attempts[cause]
	}
	r.UnusedCalls = after.UnusedCalls - before.UnusedCalls
	earlier := make(map[[2]string]spend.Total)
	for _, t := range before.Spend {
		earlier[[2]string{t.Workspace, t.Stage}] = t
	}
	for _, t := range after.Spend {
		o := earlier[[2]string{t.Workspace, t.Stage}]
		t.Calls -= o.Calls
		t.HeldMS -= o.HeldMS
		if t.Calls > 0 {
			r.Cost = append(r.Cost, t)
		}
	}
}
