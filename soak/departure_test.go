package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A departure was lost if the one control VM that had acknowledged it was killed before it told others, even with its disk intact.
func TestAcknowledgedDepartureSurvivesKill(t *testing.T) {
	kill := func(t *testing.T, _ *harness, acknowledging *process) {
		restart(t, acknowledging, syscall.SIGKILL, time.Second)
	}
	loseDisk := func(t *testing.T, h *harness, acknowledging *process) { check(t, h.cluster.wipe(acknowledging)) }
	killAll := func(t *testing.T, h *harness, _ *process) {
		for _, p := range h.cluster.controls {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range h.cluster.controls {
			restart(t, p, syscall.SIGKILL, 0)
		}
	}
	for name, c := range map[string]struct {
		announce bool
		fault    func(t *testing.T, h *harness, acknowledging *process)
	}{
		"draining announcement":          {true, kill},
		"delete":                         {false, kill},
		"delete, disk lost":              {false, loseDisk},
		"delete, all control VMs killed": {false, killAll},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 2, 3)
			acknowledging := h.cluster.controls[2]
			check(t, eventually(5*time.Second, func() error {
				if !h.endpoints[0].depart(acknowledging, c.announce) {
					return fmt.Errorf("%s did not acknowledge the departure", acknowledging.name)
				}
				return nil
			}))
			time.Sleep(20 * time.Millisecond) // shorter than the interval of the exchange between VMs
			c.fault(t, h, acknowledging)
			time.Sleep(4500 * time.Millisecond) // the VMs have recovered
			for i := range 60 {
				r := rawRequest{kind: "once", id: fmt.Sprintf("once-%d", i)}
				status, err := r.send(h.cluster.entries[i%2].addr(routesPort))
				check(t, err)
				if status != http.StatusOK {
					t.Errorf("%s got status %d", r.id, status)
				}
			}
			h.reportResults(t)
		})
	}
}
