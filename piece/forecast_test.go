package piece

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/admission"
)

// A forecast of another VM is used for forecastTTL from its arrival, and a VM of the previous build, which sends none, leaves
// it unknown.
func TestForecastStore(t *testing.T) {
	is := is.New(t)
	var s forecastStore
	_, ok := s.get(start, "s")
	is.True(!ok)
	s.put(start, "s", nil)
	_, ok = s.get(start, "s")
	is.True(!ok)

	e := newEndpoint(t, "a")
	d := startDispatcher(t, 5, e)
	is.True(d.encodeForecast("s") == nil) // no jobs so far
	d.Overload = LeastCost
	_, err := d.Run(t.Context(), &Job{Service: "s", RequestID: "r", Pieces: 8, Priority: 3, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)})
	is.NoErr(err)
	time.Sleep(2 * roomTTL) // the capacity was computed before the job arrived
	encoded := d.encodeForecast("s")
	encoded.LateMs = -1
	s.put(start, "s", encoded)
	f, ok := s.get(start.Add(forecastTTL), "s")
	is.True(ok)
	is.Equal(f.LateWait, admission.Never)
	is.Equal(len(f.Waits), 2) // priorities above 3, and 3
	is.True(f.Wait(3) < 50*time.Millisecond)
	_, ok = s.get(start.Add(forecastTTL+time.Millisecond), "s")
	is.True(!ok)
}
