// Package piece dispatches stages that are split into pieces: it queues the pieces by service and batches those of several
// requests into each call to an endpoint.
package piece

import (
	"context"
	"net/http"
	"net/netip"
	"time"
	"unicode/utf8"

	"godwitplank/connection"
	"godwitplank/fault"
	"godwitplank/head"
	"godwitplank/route"
)

// MaxPieces bounds the pieces of a job. The largest one takes 2.5 MB, see PieceBytes; the largest jobs of the target deployment have
// some hundreds.
const MaxPieces = 10_000

// Job is one stage of a request, split into pieces.
type Job struct {
	Service   string
	RequestID string
	Stage     int
	Pieces    int
	// Key is the Piece-Key header of the request, set for a stage without inputs from other stages. Otherwise Inputs has
	// the handles of their results.
	Key    string
	Inputs []string
	// Due is when the stage has to end for the request to meet its latency objective. Deadline is when the request's caller
	// stops waiting.
	Due      time.Time
	Deadline time.Time
	Priority int // jobs with lower values are dispatched first
	// DataCentre is where the pieces should run, empty if any will do.
	DataCentre string
	// LocalOnly is set if this VM must dispatch the job since no other VM could.
	LocalOnly bool
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// InputsHoldMemory is true if the inputs occupy a considerable part of other endpoints' memory for results. The job
	// then keeps its place in the queue even if it can no longer meet its objective.
	InputsHoldMemory bool
	// Returned is true if the request's caller was refused before. Due then counts from its first attempt.
	Returned bool
}

// Item is one piece in a call to an endpoint.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	Key       string
	Inputs    []string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// CheckHandle returns a *head.Error for a handle that could not be sent to an endpoint that needs its result: that gets the handles
// of its inputs as a list.
func CheckHandle(handle string) error {
	return head.CheckElement("the handle of a result", handle)
}

// check returns a fault for a job that no endpoint could run.
func (j *Job) check() error {
	switch {
	case j.Pieces < 0 || j.Pieces > MaxPieces:
		return fault.New(fault.BadRequest, "the stage has %d pieces; send at most %d", j.Pieces, MaxPieces)
	case !utf8.ValidString(j.RequestID):
		return fault.New(fault.BadRequest, "the request id %.50q is not UTF-8; send visible ASCII characters", j.RequestID)
	case !utf8.ValidString(j.Key):
		return fault.New(fault.BadRequest, "the key %.50q of the pieces is not UTF-8; send visible ASCII characters", j.Key)
	}
	return nil
}

// Outcome is Succeeded, or the reason why an item has no result.
type Outcome int

// Outcomes of items.
const (
	// Succeeded items have a result.
	Succeeded Outcome = iota
	// DeadlinePassed items reached their deadline before the endpoint ran them.
	DeadlinePassed
	// InputMissing items need a result that no longer exists.
	InputMissing
	// NoMemory items were not run since the endpoint had no memory for their results.
	NoMemory
	// Failed items failed while they ran, or their call failed.
	Failed
)

// Result is the outcome of an item. Handle refers to the stored result if Outcome is Succeeded.
type Result struct {
	Handle  string
	Outcome Outcome
}

// Response is the decoded response to a call: one result for each item, in their order.
type Response struct {
	Results []Result
	// NotRun is true if the endpoint refused the call and ran none of the items.
	NotRun bool
	// Notice is what the response says about calls to come.
	Notice route.Notice
}

// Protocol encodes calls to endpoints and decodes their responses.
type Protocol interface {
	// RunCall returns a call that runs items.
	RunCall(endpoint, host string, items []Item) *connection.Call
	// DecodeRunResponse decodes the response to a RunCall. If CheckHandle refuses a handle, it returns an error that wraps a
	// *head.Error, and the other results, which are to be freed.
	DecodeRunResponse(status int, header http.Header, body []byte) (Response, error)
	// FreeCall returns a call that frees results.
	FreeCall(endpoint, host string, handles []string) *connection.Call
	// HolderAddr returns the address of the endpoint that holds a result.
	HolderAddr(handle string) (netip.AddrPort, error)
}

// Runner has jobs dispatched and their results freed.
type Runner interface {
	// Run waits for a job to end and returns the handles of the results in the order of the pieces.
	Run(ctx context.Context, j *Job) ([]string, error)
	// Free frees results asynchronously.
	Free(service string, handles []string)
}

// Errors that jobs end with.
var (
	ErrDeadline        = fault.New(fault.DeadlineExceeded, "the stage could not finish within the deadline; allow more time or send fewer requests")
	ErrInputsGone      = fault.New(fault.StageFailed, "a result of an earlier stage no longer exists; run that stage again")
	ErrMoved           = fault.New(fault.Stopping, "this VM no longer dispatches pieces of the service; send the job to the VM that does")
	ErrRetryBudget     = fault.New(fault.StageFailed, "the retry budget of the stage's service does not cover a retry of a failed piece; try again later")
	ErrTooManyFailures = fault.New(fault.StageFailed, "a piece of the stage failed too many times; check the logs of the stage's endpoints")
)
