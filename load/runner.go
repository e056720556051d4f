package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"godwitplank"
	"godwitplank/fault"
	"godwitplank/timer"
)

const (
	// maxInFlight limits the concurrent requests; further ones are counted as not_sent.
	maxInFlight = 4000
	// responseGrace is how long a request is awaited past its deadline, so that late responses are measured.
	responseGrace = 2 * time.Second
	// maxEventBytes limits a line of a streamed response.
	maxEventBytes = 16 << 20
)

// Runner generates the load of a Description. Set the exported fields before Run.
type Runner struct {
	Description *Description
	Clock       timer.Clock
	// Progress, if set, is called every second with the total numbers of requests sent and finished, with or without a response.
	Progress func(sent, finished int64)

	client   http.Client
	recorder *recorder
	inFlight atomic.Int64
	sent     atomic.Int64
	finished atomic.Int64
	wg       sync.WaitGroup
}

// Run sends the load, waits for all requests to end and returns the result. Its error is that of ctx, or that no VM
// address is known.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	if len(r.Description.Addrs) == 0 {
		return nil, fmt.Errorf("no address to send requests to is known; list addresses under callers in the description, or give --callers or --server")
	}
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	r.recorder = newRecorder()
	progress, stop := context.WithCancel(ctx)
	if r.Progress != nil {
		r.wg.Go(func() { r.reportProgress(progress) })
	}
	var streams sync.WaitGroup
	for i := range r.Description.Streams {
		streams.Go(func() { r.sendStream(ctx, i) })
	}
	streams.Wait()
	stop()
	r.wg.Wait()
	return r.recorder.result(r.Description), ctx.Err()
}

func (r *Runner) reportProgress(ctx context.Context) {
	for range timer.Subscribe(ctx, time.Second) {
		r.Progress(r.sent.Load(), r.finished.Load())
		if ctx.Err() != nil {
			return
		}
	}
}

// sendStream sends one stream's requests at their random arrival times without waiting for earlier ones (open loop).
func (r *Runner) sendStream(ctx context.Context, index int) {
	s := &r.Description.Streams[index]
	rng := rand.New(rand.NewPCG(r.Description.Seed, uint64(index)))
	start := r.Clock.Now()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(rng.ExpFloat64() / s.rateAt(offset) * float64(time.Second))
		if offset > r.Description.Duration || timer.Wait(ctx, start.Add(offset).Sub(r.Clock.Now())) != nil {
			return
		}
		if r.inFlight.Load() >= maxInFlight {
			r.sent.Add(1)
			r.recorder.recordRefusal(s, "not_sent")
			continue
		}
		addr := r.Description.Addrs[n%len(r.Description.Addrs)]
		input := fmt.Sprintf("%d-%d-%d", r.Description.Seed, index, n)
		r.wg.Go(func() { r.send(ctx, s, addr, input) })
	}
}

// send sends one request and records its outcome.
func (r *Runner) send(ctx context.Context, s *Stream, addr netip.AddrPort, input string) {
	r.sent.Add(1)
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	defer r.finished.Add(1)
	deadline := time.Duration(s.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline+responseGrace)
	defer cancel()
	start := r.Clock.Now()
	kind, tokens := r.roundTrip(ctx, s, addr, input)
	latency := r.Clock.Now().Sub(start)
	if kind != "" {
		r.recorder.recordRefusal(s, kind)
		return
	}
	r.recorder.recordAnswer(latency, latency <= deadline, start, tokens)
}

// roundTrip sends one request. It returns the kind of its error, "" for none, and the arrival times of its tokens.
func (r *Runner) roundTrip(ctx context.Context, s *Stream, addr netip.AddrPort, input string) (string, []time.Time) {
	inputJSON, err := json.Marshal(input)
	if err != nil {
		return "not_sent", nil
	}
	body, err := json.Marshal(godwitplank.Request{Input: inputJSON, DeadlineMS: s.DeadlineMS, Stream: s.Streamed})
	if err != nil {
		return "not_sent", nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/pipelines/%s/requests", addr, s.Pipeline), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return "not_sent", nil
	}
	request.Header.Set("Authorization", "Bearer "+s.WorkspaceKey)
	if s.WithIdempotencyKey {
		request.Header.Set(godwitplank.HeaderIdempotencyKey, uuid.NewString())
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "no_answer", nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorKind(response.Body), nil
	}
	if !s.Streamed {
		return r.readAnswer(response.Body, input), nil
	}
	return r.readStreamedAnswer(response.Body, input)
}

// errorKind returns the fault kind in an error body, or "no_answer" if there is none.
func errorKind(body io.Reader) string {
	e := &fault.Error{}
	if json.NewDecoder(body).Decode(e) != nil || e.Kind == "" {
		return "no_answer"
	}
	return string(e.Kind)
}

// readAnswer reads a response that is not streamed and returns its error kind, "" if it is valid.
func (r *Runner) readAnswer(body io.Reader, input string) string {
	var a godwitplank.Answer
	if json.NewDecoder(body).Decode(&a) != nil {
		return "no_answer"
	}
	return checkAnswer(a, input)
}

// checkAnswer returns "wrong_answer" if the output does not contain the input, for example because the response is that
// of another request.
func checkAnswer(a godwitplank.Answer, input string) string {
	if !strings.Contains(string(a.Output), input) {
		return "wrong_answer"
	}
	return ""
}

// readStreamedAnswer reads a streamed response. It returns its error kind, "" if it is valid, and the arrival times of
// its tokens.
func (r *Runner) readStreamedAnswer(body io.Reader, input string) (string, []time.Time) {
	var times []time.Time
	eventName := ""
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			eventName = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch eventName {
		case "token":
			times = append(times, r.Clock.Now())
		case "error":
			return errorKind(strings.NewReader(data)), nil
		case "done":
			var a godwitplank.Answer
			if json.Unmarshal([]byte(data), &a) != nil {
				return "no_answer", nil
			}
			return checkAnswer(a, input), times
		}
	}
	return "no_answer", nil
}
