package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// evacuationLimit is the time from the acknowledgement to the last call of an evacuated endpoint (EvacuateMs).
	evacuationLimit = 5 * time.Second
	// evacuatedZone has endpoints of each service, as does the other zone.
	evacuatedZone = "dc-0"
)

// lastCall returns when an endpoint of a zone last received a call.
func (h *harness) lastCall(zone string) time.Time {
	var last time.Time
	for _, s := range h.endpoints {
		if at := time.UnixMilli(s.lastCallMs.Load()); s.zone == zone && at.After(last) {
			last = at
		}
	}
	return last
}

// evacuate starts or withdraws an evacuation at any control VM, within the 5 s that the operator tries.
func (h *harness) evacuate(t *testing.T, method string) time.Time {
	t.Helper()
	i, started := 0, time.Now()
	check(t, eventually(5*time.Second, func() error {
		p := h.cluster.controls[i%len(h.cluster.controls)]
		i++
		request, err := http.NewRequest(method, "http://"+p.addr(controlPort)+"/evacuation/"+evacuatedZone, nil)
		if err != nil {
			return err
		}
		response, err := h.operator.client.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", p.name, response.Status)
		}
		return nil
	}))
	t.Logf("%s acknowledged after %v", method, time.Since(started).Round(time.Millisecond))
	return time.Now()
}

// checkNoCalls fails the test if an endpoint of the evacuated zone received a call later than evacuationLimit after the
// evacuation was acknowledged.
func (h *harness) checkNoCalls(t *testing.T, acknowledged time.Time) {
	t.Helper()
	after := h.lastCall(evacuatedZone).Sub(acknowledged).Round(time.Millisecond)
	t.Logf("last call of an evacuated endpoint %v after the acknowledgement", after)
	if after > evacuationLimit {
		t.Errorf("an evacuated endpoint received a call %v after the acknowledgement", after)
	}
}

// An evacuation takes effect at every VM and lasts over the loss of all control VMs right after its acknowledgement and over
// the restart of an entry VM, which once would have started without knowing it. After its withdrawal the endpoints get calls.
func TestEvacuation(t *testing.T) {
	for name, killed := range map[string]bool{"undisturbed": false, "all control VMs and an entry VM killed": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 41, 3, 5)
			h.runWithTraffic(6, func() {
				time.Sleep(time.Second)
				if age := time.Since(h.lastCall(evacuatedZone)); age > time.Second {
					t.Errorf("the endpoints of the zone get no calls before the evacuation, for %v", age)
				}
				acknowledged := h.evacuate(t, http.MethodPost)
				if killed {
					h.killAndRestart(t)
				}
				time.Sleep(2 * evacuationLimit)
				h.checkNoCalls(t, acknowledged)
				h.evacuate(t, http.MethodDelete)
				withdrawn := time.Now()
				check(t, eventually(evacuationLimit, func() error {
					if h.lastCall(evacuatedZone).Before(withdrawn) {
						return fmt.Errorf("the endpoints of %s get no calls after the withdrawal", evacuatedZone)
					}
					return nil
				}))
			})
			h.reportResults(t)
		})
	}
}

// killAndRestart kills all control VMs and an entry VM at once and starts them again.
func (h *harness) killAndRestart(t *testing.T) {
	t.Helper()
	killed := append([]*process{h.cluster.entries[0]}, h.cluster.controls...)
	for _, p := range killed {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range killed {
		restart(t, p, syscall.SIGKILL, 0)
	}
}
