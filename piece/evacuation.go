package piece

import (
	"godwitplank"
	"godwitplank/fault"
)

// onlyEvacuated reports whether a service has endpoints, but none that may get new work.
func (d *Dispatcher) onlyEvacuated(service string) bool {
	return len(d.Services.Endpoints(service)) == 0 && len(d.Services.Holders(service)) > 0
}

// refuseEvacuated ends the jobs that have not started, since no endpoint may take their pieces.
func (q *queue) refuseEvacuated(service string) {
	for _, j := range q.jobs {
		if !j.started && !j.ended {
			j.end(fault.New(fault.StageFailed, "all endpoints of service %s are in evacuated data centres; try again later", service).
				WithOutcome(godwitplank.NotRun, minOverloadRetry))
		}
	}
}
