package daemon

import (
	"time"

	"godwitplank/route"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

// reportingPeriod is how long an endpoint counts as one that reports its load.
const reportingPeriod = 10 * time.Second

// gauges returns the gauges of the VM's current state.
func (d *Daemon) gauges() []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "godwitplank_ready", Description: "1 while the VM tells the balancer that it is ready.", Read: d.readReady},
		{Name: "godwitplank_document_version", Description: "Version of the document in force.", Read: d.readVersion},
		{Name: "godwitplank_document_newest_version", Description: "Highest version of the document that any VM has in force, as this one knows.", Read: d.readNewestVersion},
		{Name: "godwitplank_document_age_seconds", Description: "Time since the document was put in force here.", Read: d.readAge},
		{Name: "godwitplank_endpoints", Description: "Endpoints by pool and state.", Read: d.readEndpoints},
		{Name: "godwitplank_endpoints_quiet", Description: "Endpoints that asked this VM for no calls for a time that is not over.", Read: d.readQuiet},
		{Name: "godwitplank_endpoints_cold", Description: "Endpoints of services that have just started and get few requests.", Read: d.readCold},
		{Name: "godwitplank_endpoints_limited", Description: "Endpoints that state how many calls they take from all VMs, as this one knows.", Read: d.readLimited},
		{Name: "godwitplank_endpoints_reporting_load", Description: "Endpoints whose responses to this VM stated their load in the last ten seconds.", Read: d.readReporting},
		{Name: "godwitplank_endpoints_leaving", Description: "Endpoints that told this VM in a response that they leave, and whose announcements do not say so.", Read: d.readLeaving},
		{Name: "godwitplank_prompt_quarantines", Description: "Sets of prompt parts that are kept from endpoints.", Read: d.readQuarantines},
		{Name: "godwitplank_evacuated_data_centres", Description: "Data centres that are evacuated as this VM knows.", Read: d.readEvacuated},
		{Name: "godwitplank_vms_alive", Description: "VMs that are alive as this one knows, itself among them.", Read: d.readVMs},
		{Name: "godwitplank_stage_queue_pieces", Description: "Pieces of a stage's service that wait here for an endpoint.", Read: d.readQueues},
		{Name: "godwitplank_stage_jobs_refused", Description: "Jobs of a stage's service that this VM refused for lack of capacity in time, since the start.", Read: d.readRefusals},
		{Name: "godwitplank_stage_jobs_without_memory", Description: "Jobs of stages that this VM refused since it had no memory for their pieces, since the start.", Read: d.readWithoutMemory},
		{Name: "godwitplank_stage_job_bytes", Description: "Bytes that are charged for jobs of stages which this VM dispatches, and the budget.", Read: d.readJobBytes},
		{Name: "godwitplank_requests_not_started", Description: "Requests that this VM refused before their first stage since a later one had no capacity in time, since the start.", Read: d.readNotStarted},
		{Name: "godwitplank_retry_budget_left", Description: "Calls of a service that this VM may still repeat now.", Read: d.readBudgets},
		{Name: "godwitplank_disk_full", Description: "1 while the disk of the data folder refuses writes for a lack of space.", Read: d.readDiskFull},
		{Name: "godwitplank_caller_bytes", Description: "Bytes that are charged for callers, and the budget.", Read: d.readCallerBytes},
		{Name: "godwitplank_caller_connections", Description: "Connections of callers by state.", Read: d.readCallerConnections},
		{Name: "godwitplank_caller_refusals", Description: "Connections and requests of callers refused, closed or timed out since the start, by cause.", Read: d.readCallerRefusals},
		{Name: "godwitplank_log_lines_dropped", Description: "Log lines that the output did not take in time, since the start.", Read: d.readDropped},
	}
}

func singleReading(value float64) []telemetry.Reading {
	return []telemetry.Reading{{Value: value}}
}

func (d *Daemon) readReady() []telemetry.Reading {
	if v := d.control.View(); v.Ready && !v.Stopping {
		return singleReading(1)
	}
	return singleReading(0)
}

func (d *Daemon) readVersion() []telemetry.Reading {
	return singleReading(float64(d.control.View().DocumentVersion()))
}

func (d *Daemon) readNewestVersion() []telemetry.Reading {
	return singleReading(float64(d.control.View().NewestVersion()))
}

func (d *Daemon) readAge() []telemetry.Reading {
	v := d.control.View()
	if v.ActiveSince.IsZero() {
		return nil
	}
	return singleReading(timer.System.Now().Sub(v.ActiveSince).Seconds())
}

func (d *Daemon) readEndpoints() []telemetry.Reading {
	v := d.control.View()
	type group struct{ pool, state string }
	counts := make(map[group]int)
	for _, e := range v.Endpoints {
		counts[group{e.Pool, e.State(v.PublishedAt)}]++
	}
	var out []telemetry.Reading
	for g, n := range counts {
		out = append(out, telemetry.Reading{Value: float64(n), Labels: []string{"pool", g.pool, "state", g.state}})
	}
	return out
}

func (d *Daemon) readEvacuated() []telemetry.Reading {
	return singleReading(float64(len(d.control.View().Evacuations.DataCentres())))
}

func (d *Daemon) readVMs() []telemetry.Reading {
	v := d.control.View()
	alive := 0
	for i := range v.VMs {
		if v.VMs[i].Alive(v.PublishedAt) {
			alive++
		}
	}
	return singleReading(float64(alive + 1))
}

func (d *Daemon) readQueues() []telemetry.Reading {
	if d.routes == nil {
		return nil
	}
	var out []telemetry.Reading
	for service, n := range d.routes.dispatcher.QueuedPieces() {
		out = append(out, telemetry.Reading{Value: float64(n), Labels: []string{"service", service}})
	}
	return out
}

func (d *Daemon) readRefusals() []telemetry.Reading {
	if d.routes == nil {
		return nil
	}
	var out []telemetry.Reading
	for service, n := range d.routes.dispatcher.RefusedJobs() {
		out = append(out, telemetry.Reading{Value: float64(n), Labels: []string{"service", service}})
	}
	return out
}

func (d *Daemon) readWithoutMemory() []telemetry.Reading {
	if d.routes == nil {
		return nil
	}
	return singleReading(float64(d.routes.dispatcher.JobsWithoutMemory()))
}

func (d *Daemon) readNotStarted() []telemetry.Reading {
	if d.routes == nil {
		return nil
	}
	return singleReading(float64(d.routes.gateway.RefusedEarly()))
}

func (d *Daemon) readBudgets() []telemetry.Reading {
	v := d.control.View()
	if d.routes == nil || v.Document == nil {
		return nil
	}
	var out []telemetry.Reading
	for i := range v.Document.Services {
		s := &v.Document.Services[i]
		// The pieces of a service are dispatched by a single VM, which has the whole budget of the service.
		vms := 1
		if s.Batch == nil {
			vms = len(v.EntryVMs)
		}
		left := d.routes.gateway.Budget.Remaining(timer.System.Now(), s.Name, vms)
		out = append(out, telemetry.Reading{Value: float64(left), Labels: []string{"service", s.Name}})
	}
	return out
}

func (d *Daemon) readDropped() []telemetry.Reading {
	return singleReading(float64(d.output.Dropped()))
}

func (d *Daemon) readDiskFull() []telemetry.Reading {
	if d.control.View().DiskFullSince.IsZero() {
		return singleReading(0)
	}
	return singleReading(1)
}

func (d *Daemon) readQuiet() []telemetry.Reading {
	now := timer.System.Now()
	return d.countCandidates(func(s *route.Stats) bool { return now.Before(s.QuietUntil()) })
}

func (d *Daemon) readCold() []telemetry.Reading {
	now := timer.System.Now()
	return d.countCandidates(func(s *route.Stats) bool { return s.Schedule.Cold(now) })
}

func (d *Daemon) readLimited() []telemetry.Reading {
	return d.countCandidates(func(s *route.Stats) bool { return s.Quota.Limit() > 0 })
}

func (d *Daemon) readReporting() []telemetry.Reading {
	since := timer.System.Now().Add(-reportingPeriod)
	return d.countCandidates(func(s *route.Stats) bool { return s.ReportedAt().After(since) })
}

func (d *Daemon) readLeaving() []telemetry.Reading {
	return d.countCandidates((*route.Stats).Leaving)
}

func (d *Daemon) countCandidates(counts func(s *route.Stats) bool) []telemetry.Reading {
	n := 0
	for _, candidates := range d.control.View().Pools {
		for i := range candidates {
			if counts(candidates[i].Stats) {
				n++
			}
		}
	}
	return singleReading(float64(n))
}

func (d *Daemon) readQuarantines() []telemetry.Reading {
	return singleReading(float64(len(d.control.Crashes.Quarantines(timer.System.Now()))))
}
