package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that returns with less time than first attempts have is not taken for a new one, and a route whose callers
// have less time than before is not taken for one of returning callers for longer than a minute.
func TestWaited(t *testing.T) {
	is := is.New(t)
	var e waitedEstimator
	now := time.Unix(1000, 0)
	is.Equal(e.observe(now, "r", 0, 10*time.Second), time.Duration(0)) // no time budget
	is.Equal(e.observe(now, "r", 8*time.Second, 10*time.Second), time.Duration(0))
	is.Equal(e.observe(now, "r", 5*time.Second, 10*time.Second), 3*time.Second)
	is.Equal(e.observe(now, "r", 8*time.Second-minWaited/2, 10*time.Second), time.Duration(0))
	is.Equal(e.observe(now, "other", 5*time.Second, 10*time.Second), time.Duration(0))
	is.Equal(e.observe(now, "r", 5*time.Second, 6*time.Second), time.Second) // at most the timeout of the route
	is.Equal(e.observe(now.Add(29*time.Second), "r", 5*time.Second, 10*time.Second), 3*time.Second)
	is.Equal(e.observe(now.Add(59*time.Second), "r", 5*time.Second, 10*time.Second), 3*time.Second)
	is.Equal(e.observe(now.Add(60*time.Second), "r", 5*time.Second, 10*time.Second), time.Duration(0))
	is.Equal(e.observe(now.Add(300*time.Second), "r", 4*time.Second, 10*time.Second), time.Duration(0))
}
