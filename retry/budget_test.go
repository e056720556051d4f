package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTryRetry(t *testing.T) {
	is := is.New(t)
	b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	is.Equal(b.Remaining(now, "s", 1), 8) // usableShare of the slack
	taken := 0
	for b.TryRetry(now, "s", 1) {
		taken++
	}
	is.Equal(taken, 8)
	is.True(b.TryRetry(now, "t", 1)) // each service has its own budget
	for range 50 {
		b.CountRequest(now, "s")
	}
	is.True(b.TryRetry(now, "s", 1))
	is.True(!b.TryRetry(now, "s", 5)) // the slack is divided among the VMs
	is.Equal(b.Remaining(now.Add(12*time.Second), "s", 1), 8)
}

// Within any window, retries never exceed what the ratio and the slack allow.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, "s")
				requests = append(requests, now)
				continue
			}
			if b.TryRetry(now, "s", 1) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			n := countWithin(retries, end, 10*time.Second)
			// Counts the requests of this window and of the one before: the larger of the two determines the allowance.
			allowed := 0.2*float64(countWithin(requests, end, 20*time.Second)) + 10
			if float64(n) > allowed {
				t.Fatalf("%d retries in a window, want at most %.1f", n, allowed)
			}
		}
	})
}

// countWithin returns the number of times in the span that ends at end.
func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}
