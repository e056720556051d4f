package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTake(t *testing.T) {
	is := is.New(t)
	b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	is.Equal(b.Left(now, "s", 1), 8) // the slack less the reserve
	taken := 0
	for b.Take(now, "s", 1) {
		taken++
	}
	is.Equal(taken, 8)
	is.True(b.Take(now, "t", 1)) // services have budgets of their own
	for range 50 {
		b.Request(now, "s")
	}
	is.True(b.Take(now, "s", 1))
	is.True(!b.Take(now, "s", 5)) // the slack is shared by the VMs
	is.Equal(b.Left(now.Add(12*time.Second), "s", 1), 8)
}

// In no window of the given length are there more repeats than the ratio and the slack allow.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "s")
				requests = append(requests, now)
				continue
			}
			if b.Take(now, "s", 1) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			n := within(repeats, end, 10*time.Second)
			// The requests of this window and of the one before it: the rule takes the larger one.
			allowed := 0.2*float64(within(requests, end, 20*time.Second)) + 10
			if float64(n) > allowed {
				t.Fatalf("%d repeats in a window, allowed are %.1f", n, allowed)
			}
		}
	})
}

func within(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}
