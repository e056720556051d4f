// Package entry is the HTTP API for callers' pipeline requests and for the announcements of endpoints.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/caller"
	"godwitplank/connection"
	"godwitplank/control"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/pipeline"
	"godwitplank/telemetry"
	"godwitplank/timer"
	"godwitplank/workspace"
)

// Limits of a request: the size of its body, its deadline in milliseconds, and the length of its idempotency key.
const (
	MaxBodyBytes  = 4 << 20
	MaxDeadlineMS = document.MaxDeadlineMS
	maxKeyBytes   = 200
)

// Views provides the newest view of the control state.
type Views interface {
	View() *control.View
}

// Announcer registers the announcements of endpoints and grants leases. tokenSHA256 is the digest of the bearer token
// that the endpoint sent.
type Announcer interface {
	Announce(ctx context.Context, a godwitplank.Announcement, tokenSHA256 string) (godwitplank.Lease, error)
}

// Server serves callers and endpoints. Set the exported fields before Handler.
type Server struct {
	Views     Views
	Announcer Announcer
	Runner    *pipeline.Runner
	Limiter   *workspace.Limiter
	Clock     timer.Clock
	Meter     *telemetry.Meter
	Log       event.Logger

	inFlight atomic.Int64
}

// Handler returns the HTTP handler of the callers' address.
func (e *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/pipelines/{pipeline}/requests", e.serveRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/endpoints/announce", e.serveAnnouncement).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(unknownPath)
	r.MethodNotAllowedHandler = r.NotFoundHandler
	return r
}

// InFlight returns the number of requests in progress.
func (e *Server) InFlight() int64 {
	return e.inFlight.Load()
}

func unknownPath(w http.ResponseWriter, r *http.Request) {
	WriteError(w, fault.New(fault.UnknownPath, "there is no %s %s; use POST /v1/pipelines/{pipeline}/requests", r.Method, r.URL.Path).WithOutcome(godwitplank.NotRun, 0))
}

// WriteJSON writes a value as a JSON response with a status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError writes an error as a JSON response with the status of its kind. A retry delay is also sent as Retry-After,
// rounded up to whole seconds.
func WriteError(w http.ResponseWriter, err *fault.Error) {
	if err.RetryAfterMS > 0 {
		seconds := (err.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, err.Status(), err)
}

// Bearer returns the bearer token of the Authorization header, or "" if there is none.
func Bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// ReadBody reads a request body of at most limit bytes. Each step of its buffer is charged to the caller's connection before it
// is allocated, and stays charged until the response is complete.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *fault.Error) {
	c := caller.Of(r.Context())
	reader := &bodyReader{Reader: http.MaxBytesReader(w, r.Body, limit), conn: c, controller: http.NewResponseController(w)}
	c.BeginBody()
	body, err := connection.ReadAll(reader, r.ContentLength, limit, connection.Memory{
		Grow: func(n int64) error { return c.Grow(r.Context(), n) }, Shrink: c.Shrink,
	})
	c.EndBody()
	reader.endDeadline()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body is larger than %d bytes; send a smaller one", limit)
	case errors.Is(err, connection.ErrNoMemory):
		return nil, Busy(w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.CountBodyTimeout()
		w.Header().Set("Connection", "close")
	}
	return nil, fault.New(fault.BadRequest, "the body could not be read completely (%v); send it again", err)
}

// Retry-After of a request for which there is no memory; spread, so that its callers do not return together.
const (
	minBusyRetry = time.Second
	maxBusyRetry = 2 * time.Second
)

// Busy returns the refusal of a request for which there is no memory, and closes its connection after the response, so that
// the rest of its body is not read.
func Busy(w http.ResponseWriter) *fault.Error {
	w.Header().Set("Connection", "close")
	return NoMemory()
}

// NoMemory returns the refusal of a request for which there is no memory, without closing its connection.
func NoMemory() *fault.Error {
	return fault.New(fault.Busy, "this VM has no memory for the request at present; try again after the indicated delay").
		WithOutcome(godwitplank.NotRun, minBusyRetry+rand.N(maxBusyRetry-minBusyRetry))
}

// bodyReader gives each part of a body its own time limit.
type bodyReader struct {
	io.Reader
	conn       *caller.Conn
	controller *http.ResponseController
	set        time.Time
}

// deadlineStep is how much later a time limit has to be than the present one to be set again.
const deadlineStep = time.Second

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if deadline := b.conn.BodyDeadline(); deadline.Sub(b.set) > deadlineStep {
		if b.controller.SetReadDeadline(deadline) == nil {
			b.set = deadline
		}
	}
	return b.Reader.Read(p)
}

func (b *bodyReader) endDeadline() {
	if !b.set.IsZero() {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
}

func (e *Server) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, refusal := ReadBody(w, r, endpoint.MaxAnnouncementBytes)
	if refusal != nil {
		WriteError(w, refusal)
		return
	}
	var a godwitplank.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		WriteError(w, fault.New(fault.BadRequest, "the announcement cannot be decoded (%v); see docs/INTERFACES.md", err))
		return
	}
	lease, err := e.Announcer.Announce(r.Context(), a, document.SHA256([]byte(Bearer(r))))
	if err != nil {
		WriteError(w, fault.As(err))
		return
	}
	WriteJSON(w, http.StatusOK, lease)
}

func (e *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	received := e.Clock.Now()
	id := uuid.NewString()
	name := mux.Vars(r)["pipeline"]
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "request", "request_id", id, "pipeline", name)
	defer span.End()
	s := &submission{w: w, r: r, id: id, view: e.Views.View(), received: received}
	output, err := e.run(ctx, s, name)
	outcome, kind := godwitplank.Done, ""
	if err != nil {
		err.RequestID = id
		outcome, kind = err.Outcome, string(err.Kind)
		e.Log.Log(event.RequestRefused, "request_id", id, "pipeline", name, "kind", err.Kind, "outcome", err.Outcome)
	}
	e.Meter.RecordRequest(s.pipelineLabel(name), string(outcome), kind, e.Clock.Now().Sub(received))
	s.respond(output, err)
}

func (e *Server) run(ctx context.Context, s *submission, name string) (json.RawMessage, *fault.Error) {
	job, err := e.admit(s, name)
	if err != nil {
		return nil, s.refuse(err)
	}
	release, err := e.acquireSlot(ctx, job)
	if err != nil {
		return nil, s.refuse(err)
	}
	defer release()
	return e.Runner.Run(ctx, job)
}

// acquireSlot counts the request against the workspace's limits and returns the function that releases its slot. If
// only this VM's share of a limit is exhausted, it waits up to shareTimeout for the next grants from the limit
// broker and tries once more.
func (e *Server) acquireSlot(ctx context.Context, job *pipeline.Job) (func(), *fault.Error) {
	grantsReceived := e.Limiter.GrantsReceived()
	release, refusal, retryable := e.Limiter.Acquire(e.Clock.Now(), job.Workspace)
	if refusal == nil || !retryable {
		return release, refusal
	}
	waitCtx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	select {
	case <-grantsReceived:
	case <-waitCtx.Done():
	}
	release, refusal, _ = e.Limiter.Acquire(e.Clock.Now(), job.Workspace)
	return release, refusal
}

// shareTimeout is how long a request waits for this VM's share of a limit to grow.
const shareTimeout = 100 * time.Millisecond

// admit authenticates and validates a request and returns its job. It has no side effects.
func (e *Server) admit(s *submission, name string) (*pipeline.Job, *fault.Error) {
	d := s.view.Document
	if d == nil {
		return nil, fault.New(fault.NoDocument, "this VM has no operators' document yet; submit one, or try another VM")
	}
	w := d.WorkspaceByKey(Bearer(s.r))
	if w == nil {
		return nil, fault.New(fault.WrongKey, "no workspace has this key; send the workspace's key as Authorization: Bearer")
	}
	p := d.Pipeline(name)
	if p == nil {
		return nil, fault.New(fault.UnknownPipeline, "there is no pipeline %q; use a name from the operators' document", name)
	}
	s.nonIdempotent = p.HasNonIdempotentStage()
	request, err := s.readRequest()
	if err != nil {
		return nil, err
	}
	job := &pipeline.Job{RequestID: s.id, Workspace: w, Pipeline: p, Input: request.Input, Deadline: s.received.Add(p.Deadline()), Attempt: 1}
	if request.DeadlineMS > 0 {
		job.Deadline = s.received.Add(min(p.Deadline(), time.Duration(request.DeadlineMS)*time.Millisecond))
	}
	if request.Stream {
		s.stream = true
		job.OnToken = s.sendToken
	}
	if !s.nonIdempotent {
		return job, nil
	}
	return job, s.readIdempotencyKey(job)
}
