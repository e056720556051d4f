package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/control"
	"godwitplank/fault"
	"godwitplank/pipeline"
	"godwitplank/stage"
)

// submission is one HTTP request of a caller.
type submission struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	view     *control.View
	received time.Time
	// nonIdempotent is set once the pipeline is known to have a non-idempotent stage.
	nonIdempotent bool
	stream        bool
	streamStarted bool
}

func (s *submission) readRequest() (*godwitplank.Request, *fault.Error) {
	body, refusal := ReadBody(s.w, s.r, MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	request := &godwitplank.Request{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, fault.New(fault.BadRequest, "the body is not JSON of the form {\"input\": …, \"deadline_ms\": …, \"stream\": …} (%v); correct it", err)
	}
	if request.DeadlineMS < 0 || request.DeadlineMS > MaxDeadlineMS {
		return nil, fault.New(fault.BadRequest, "deadline_ms is %d; send 1 to %d, or omit it to use the pipeline's deadline", request.DeadlineMS, MaxDeadlineMS)
	}
	if len(request.Input) == 0 {
		return nil, fault.New(fault.BadRequest, "the input is missing; send it as \"input\"")
	}
	return request, nil
}

// refuse sets the outcome of a request that was rejected before any stage ran. That is not_run, except for a request
// with an idempotency key: an earlier submission of the key may have run, or a delayed duplicate of this one may still
// run, so its outcome is unknown. If the pipeline is known, this applies only to non-idempotent pipelines and to
// requests with a wrong workspace key.
func (s *submission) refuse(err *fault.Error) *fault.Error {
	hasKey := s.r.Header.Get(godwitplank.HeaderIdempotencyKey) != ""
	pipelineKnown := s.view.Document != nil && s.view.Document.Pipeline(mux.Vars(s.r)["pipeline"]) != nil
	if hasKey && (s.nonIdempotent || !pipelineKnown || err.Kind == fault.WrongKey) {
		return err.WithOutcome(godwitplank.Unknown, retryDelay(err.Kind)).WithSent(false)
	}
	return err.WithOutcome(godwitplank.NotRun, retryDelay(err.Kind))
}

// retryDelays holds how long a caller should wait before it retries after a temporary rejection.
var retryDelays = map[fault.Kind]time.Duration{
	fault.NoDocument:       time.Second,
	fault.RateLimit:        time.Second,
	fault.ConcurrencyLimit: 200 * time.Millisecond,
}

func retryDelay(k fault.Kind) time.Duration {
	return retryDelays[k]
}

// sendToken sends one token event to a caller that requested a stream.
func (s *submission) sendToken(t godwitplank.Token) {
	s.startStream()
	_ = stage.WriteEvent(s.w, "token", t)
}

// pipelineLabel returns the name of a pipeline as a metric label, empty if there is none of that name: a caller may send any text, and
// each makes a time series, or one that is not UTF-8 makes all metrics unreadable.
func (s *submission) pipelineLabel(name string) string {
	if d := s.view.Document; d == nil || d.Pipeline(name) == nil {
		return ""
	}
	return name
}

func (s *submission) startStream() {
	if s.streamStarted {
		return
	}
	s.streamStarted = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("X-Request-Id", s.id)
	s.w.WriteHeader(http.StatusOK)
}

func (s *submission) respond(output json.RawMessage, err *fault.Error) {
	switch {
	case err != nil && s.streamStarted:
		_ = stage.WriteEvent(s.w, "error", err)
	case err != nil:
		WriteError(s.w, err)
	case s.stream:
		s.startStream()
		_ = stage.WriteEvent(s.w, "done", s.answer(output))
	default:
		WriteJSON(s.w, http.StatusOK, s.answer(output))
	}
}

func (s *submission) answer(output json.RawMessage) godwitplank.Answer {
	return godwitplank.Answer{RequestID: s.id, Outcome: godwitplank.Done, Output: output, DocumentVersion: s.view.Document.Version}
}

// readIdempotencyKey reads the key and the attempt number from the request header.
func (s *submission) readIdempotencyKey(job *pipeline.Job) *fault.Error {
	job.Key = s.r.Header.Get(godwitplank.HeaderIdempotencyKey)
	if job.Key == "" || len(job.Key) > maxKeyBytes {
		return fault.New(fault.KeyRequired, "pipeline %s has a non-idempotent stage; send an Idempotency-Key header of 1 to %d bytes", job.Pipeline.Name, maxKeyBytes)
	}
	if !utf8.ValidString(job.Key) {
		// The ledger of orders stores the key as UTF-8.
		return fault.New(fault.BadRequest, "Idempotency-Key is %.50q, which is not UTF-8; send visible ASCII characters", job.Key)
	}
	text := s.r.Header.Get(godwitplank.HeaderAttempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.ParseUint(text, 10, 31)
	if err != nil || attempt == 0 {
		return fault.New(fault.BadRequest, "Idempotency-Attempt is %q; send a positive integer", text)
	}
	job.Attempt = uint32(attempt)
	return nil
}
