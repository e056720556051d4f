// Package piece makes the pieces of the stages of requests, several in each call to an endpoint.
package piece

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"godwitplank/connection"
	"godwitplank/fault"
)

// Job is one stage of a request, made in pieces.
type Job struct {
	Service   string
	RequestID string
	Stage     int
	Pieces    int
	// Key is given for a stage that needs no other, Inputs otherwise.
	Key    string
	Inputs []string
	// Due is when the request's latency objective ends, Deadline when its caller leaves.
	Due      time.Time
	Deadline time.Time
	Priority int
	// DataCentre is where the pieces should be made, empty where it does not matter.
	DataCentre string
	// Here is set where no other VM is left that could make the job.
	Here bool
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Holding is true where the inputs take a noticeable part of other endpoints' memory for results, so that the job is
	// not put off.
	Holding bool
}

// Item is one piece in a call.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	Key       string
	Inputs    []string
	Remaining time.Duration
}

// Reason says why an item has no result.
type Reason int

// The reasons.
const (
	// Made items have a result.
	Made Reason = iota
	// Late items had no time left when their turn came.
	Late
	// InputGone items need a result that no longer exists.
	InputGone
	// NoRoom items found no memory for a result.
	NoRoom
	// Broken items failed.
	Broken
)

// Result is what became of an item.
type Result struct {
	Handle string
	Reason Reason
}

// Answer is what an endpoint answered to a call.
type Answer struct {
	Results []Result
	// NotRun is true where the endpoint says that it took none of the items.
	NotRun bool
}

// Protocol is how endpoints are spoken to.
type Protocol interface {
	// RunCall asks an endpoint for items.
	RunCall(endpoint, host string, items []Item) *connection.Call
	// RunAnswer decodes the answer.
	RunAnswer(status int, header http.Header, body []byte) (Answer, error)
	// FreeCall gives results back.
	FreeCall(endpoint, host string, handles []string) *connection.Call
	// Holder returns the address of the endpoint that holds a result.
	Holder(handle string) (netip.AddrPort, error)
}

// Runner has jobs made and takes back their results.
type Runner interface {
	// Run returns the handles of the results in the order of the pieces.
	Run(ctx context.Context, j *Job) ([]string, error)
	// Free gives results back.
	Free(service string, handles []string)
}

// Errors of jobs.
var (
	ErrLate       = fault.New(fault.DeadlineExceeded, "the stage could not be made within the deadline; give more time or send fewer requests")
	ErrInputsGone = fault.New(fault.StageFailed, "a result of an earlier stage no longer exists; it has to be made again")
	ErrMoved      = fault.New(fault.Stopping, "this VM makes no pieces of the service any more; ask the VM that does")
	ErrBudget     = fault.New(fault.StageFailed, "the retry budget of the stage's service does not cover making a lost piece again; try again later")
	ErrTries      = fault.New(fault.StageFailed, "the endpoints of the stage failed several times; look at their logs")
)
