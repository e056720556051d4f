// Package crash finds the prompts that crash endpoints, from the runs that VMs saw end with their endpoint and from those
// that were completed. It performs no I/O.
package crash

import (
	"time"
)

// Endpoint identifies one incarnation of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
}

// Run is a run that ended because its endpoint closed the connection.
type Run struct {
	At       time.Time
	Endpoint Endpoint
	// Prompt is a hash of the complete prompt.
	Prompt uint64
	// Parts are the IDs of the prompt's shared parts.
	Parts []string
}

// Quarantine excludes the prompts that have all of Parts from endpoints.
type Quarantine struct {
	// Parts are sorted. They are the parts that the prompts of all crashes have in common and without which no evidence
	// tells which one of them is the cause.
	Parts []string
	Until time.Time
	// Repeats is the number of earlier quarantines of the same parts.
	Repeats int
	// Crashes is the number of endpoints that crashed under Parts, 0 if the quarantine comes from another VM.
	Crashes int
}

// Evidence for a quarantine, and how long it lasts.
const (
	// minCrashes different endpoints have to crash under a part, at moments that are minInterval apart, since one failure may
	// hit several endpoints at once.
	minCrashes  = 3
	minInterval = 500 * time.Millisecond
	// commonCauseWindow is the time within which crashes of several endpoints count as one failure, which speaks only against
	// parts that ran at all of them.
	commonCauseWindow = 100 * time.Millisecond
	// minPrompts different prompts have to have the part: one request that is sent again and again condemns nothing but
	// itself.
	minPrompts = 2
	// reportTime has to pass after the first crash was learned of, so that other VMs can report completed runs with the part.
	reportTime = 1500 * time.Millisecond
	// runRetention and survivalRetention are how long crashed and completed runs are remembered.
	runRetention      = 5 * time.Minute
	survivalRetention = 30 * time.Second
	// suspicionPeriod is how long after a crash the parts of its runs are suspects, of which other VMs report completed runs.
	suspicionPeriod = 30 * time.Second
	// firstDuration doubles with each repeat. For probationPeriod after its end, one more crash renews a quarantine.
	firstDuration   = 5 * time.Minute
	maxDuration     = time.Hour
	probationPeriod = 10 * time.Minute
)

// Limits on what is remembered and sent.
const (
	maxRuns        = 1024
	maxSurvivals   = 4096
	maxQuarantines = 64
	maxSuspects    = 128
	maxParts       = 16
	maxPartBytes   = 64
	// evaluationInterval bounds how often new evidence is evaluated.
	evaluationInterval = 100 * time.Millisecond
)
