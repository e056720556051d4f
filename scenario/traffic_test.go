package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"godwitplank"
	"godwitplank/fault"
)

// reply is the result of a request as its caller sees it.
type reply struct {
	status  int
	outcome godwitplank.Outcome
	kind    fault.Kind
	output  string
	version uint64
	err     error
}

// sendRequest sends a request to the callers' address of a VM. The attempt number is sent only with an idempotency
// key. The body hides its type from net/http, which could otherwise resend a request with an idempotency key by itself.
func sendRequest(addr, pipeline, input, idempotencyKey string, attempt int) reply {
	body, err := json.Marshal(godwitplank.Request{Input: json.RawMessage(input)})
	if err != nil {
		return reply{err: err}
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/pipelines/"+pipeline+"/requests", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer crews-key")
	if idempotencyKey != "" {
		r.Header.Set(godwitplank.HeaderIdempotencyKey, idempotencyKey)
		r.Header.Set(godwitplank.HeaderAttempt, strconv.Itoa(attempt))
		r.Close = true
	}
	response, err := httpClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	var answer struct {
		godwitplank.Answer
		Kind fault.Kind `json:"kind"`
	}
	err = json.Unmarshal(responseBody, &answer)
	return reply{response.StatusCode, answer.Outcome, answer.Kind, string(answer.Output), answer.DocumentVersion, err}
}

var httpClient = &http.Client{Timeout: 15 * time.Second}

// sendStreamRequest sends a streamed request and checks that its tokens arrive complete, in order and without duplicates:
// joined, they must be the text of the final response.
func sendStreamRequest(addr, pipeline, input, _ string, _ int) reply {
	body := fmt.Sprintf(`{"input":%s,"stream":true}`, input)
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/pipelines/"+pipeline+"/requests", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer crews-key")
	response, err := httpClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: response.StatusCode, output: string(responseBody)}
	streamedText := ""
	for _, event := range strings.Split(string(responseBody), "\n\n") {
		name, data, _ := strings.Cut(event, "\ndata: ")
		switch name {
		case "event: token":
			var t godwitplank.Token
			got.err = errors.Join(got.err, json.Unmarshal([]byte(data), &t))
			streamedText += t.Text
		case "event: done":
			var a godwitplank.Answer
			got.err = errors.Join(got.err, json.Unmarshal([]byte(data), &a))
			got.outcome, got.output, got.version = a.Outcome, string(a.Output), a.DocumentVersion
		}
	}
	if got.outcome == godwitplank.Done && !strings.Contains(got.output, strconv.Quote(streamedText)) {
		got.err = fmt.Errorf("the streamed tokens %q differ from the text of the response", streamedText)
	}
	return got
}

// isDoneFor reports whether a reply has outcome done and is the response to an input.
func (r reply) isDoneFor(input string) bool {
	return r.err == nil && r.outcome == godwitplank.Done && strings.Contains(r.output, `"input":`+input+`,`)
}

// backgroundLoad sends requests while a script runs. It collects replies by input, or by change ID for changes of the
// document, and descriptions of failed requests.
type backgroundLoad struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
	replies  map[string][]reply
}

var backgroundLoads sync.Map // [*system, name] -> *backgroundLoad

func startLoad(s *system, name string) *backgroundLoad {
	l := &backgroundLoad{stop: make(chan struct{}), replies: make(map[string][]reply)}
	backgroundLoads.Store([2]any{s, name}, l)
	return l
}

func stopLoad(ts *testscript.TestScript, name string) *backgroundLoad {
	v, ok := backgroundLoads.LoadAndDelete([2]any{systemOf(ts), name})
	if !ok {
		ts.Fatalf("no background load %q is running; start it first", name)
	}
	l := v.(*backgroundLoad)
	close(l.stop)
	l.wg.Wait()
	if l.sent.Load() == 0 {
		ts.Fatalf("the background load sent no request")
	}
	return l
}

func (l *backgroundLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// steadyCommand sends plain and streamed requests continuously. A VM whose readiness probe fails gets none, as behind the
// platform's load balancer. Any error or wrong response fails the script.
//
// Usage: steady start PIPELINE VM..., steady stop
func steadyCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "steady")
		lb := newLoadBalancer(s, args[2:])
		l.wg.Go(func() { lb.run(l) })
		for i := range 4 {
			l.wg.Go(func() { l.sendSteadily(s, lb, args[1], i) })
		}
		return
	}
	l := stopLoad(ts, "steady")
	ts.Logf("%d requests were sent", l.sent.Load())
	if len(l.failures) > 0 {
		ts.Fatalf("%d of %d requests failed: %s", len(l.failures), l.sent.Load(), strings.Join(l.failures[:min(3, len(l.failures))], "; "))
	}
}

// loadBalancer simulates the platform's load balancer: it probes the readiness of VMs and picks only ready ones.
type loadBalancer struct {
	s     *system
	vms   []string
	mu    sync.Mutex
	ready []string
}

func newLoadBalancer(s *system, vms []string) *loadBalancer {
	b := &loadBalancer{s: s, vms: vms}
	b.probe()
	return b
}

// probeInterval is the pause between two rounds of readiness probes.
const probeInterval = 500 * time.Millisecond

func (b *loadBalancer) run(l *backgroundLoad) {
	for !l.stopped() {
		time.Sleep(probeInterval)
		b.probe()
	}
}

func (b *loadBalancer) probe() {
	var ready []string
	for _, vm := range b.vms {
		if b.s.readinessStatus(vm) == "200" {
			ready = append(ready, vm)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the ready VM for the nth request, or an empty string if none is ready.
func (b *loadBalancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[n%len(b.ready)]
}

func (l *backgroundLoad) sendSteadily(s *system, b *loadBalancer, pipeline string, worker int) {
	for n := 0; !l.stopped(); n++ {
		vm := b.pick(n)
		if vm == "" {
			time.Sleep(pollInterval)
			continue
		}
		input := fmt.Sprintf(`"w%d-%d"`, worker, n)
		send := sendRequest
		if n%3 == 2 {
			send = sendStreamRequest
		}
		got := send(s.vms[vm].addr("callers_addr"), pipeline, input, "", 0)
		l.sent.Add(1)
		if !got.isDoneFor(input) {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("%s at %s: %+v (%v)", input, vm, got, got.err))
			l.mu.Unlock()
		}
	}
}

// ordersCommand sends orders, requests of a non-idempotent pipeline, continuously. Each order goes concurrently to two VMs
// and then to a third, with the same idempotency key. On stop it checks the replies against the journal.
//
// Usage: orders start PREFIX VM..., orders stop JOURNAL
func ordersCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "orders")
		l.wg.Go(func() { l.sendOrders(s, args[1], args[2:]) })
		return
	}
	l := stopLoad(ts, "orders")
	countByOutcome := make(map[godwitplank.Outcome]int)
	for _, replies := range l.replies {
		for _, r := range replies {
			countByOutcome[r.outcome]++
		}
	}
	ts.Logf("%d orders, replies %v", len(l.replies), countByOutcome)
	ts.Check(checkOrders(ts.MkAbs(args[1]), l.replies))
	if countByOutcome[godwitplank.Done] == 0 {
		ts.Fatalf("no order has outcome done")
	}
}

const orderInterval = 15 * time.Millisecond

// sendOrders starts an order every orderInterval.
func (l *backgroundLoad) sendOrders(s *system, prefix string, vms []string) {
	for n := 0; !l.stopped(); n++ {
		input := fmt.Sprintf(`"%s-%d"`, prefix, n)
		l.sent.Add(1)
		l.wg.Go(func() {
			var concurrent sync.WaitGroup
			for k := range 2 {
				concurrent.Go(func() { l.sendOrder(s, vms[(n+k)%len(vms)], input) })
			}
			concurrent.Wait()
			l.sendOrder(s, vms[(n+2)%len(vms)], input)
		})
		time.Sleep(orderInterval)
	}
}

func (l *backgroundLoad) sendOrder(s *system, vm, input string) {
	got := sendRequest(s.vms[vm].addr("callers_addr"), "shutoff_order", input, strings.Trim(input, `"`), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies[input] = append(l.replies[input], got)
}

// checkOrders compares the replies with the journal: an order ran at most once, a reply is done only if the order ran, and
// not_run only if it did not.
func checkOrders(journalPath string, repliesByInput map[string][]reply) error {
	entries, err := readJournal(journalPath)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	runCount := make(map[string]int)
	for _, entry := range entries {
		if entry.Stage == "order" {
			runCount[string(entry.Input)]++
		}
	}
	for input, replies := range repliesByInput {
		if runCount[input] > 1 {
			return fmt.Errorf("order %s ran %d times, want at most 1", input, runCount[input])
		}
		for _, r := range replies {
			if r.outcome == godwitplank.Done && (runCount[input] != 1 || !r.isDoneFor(input)) {
				return fmt.Errorf("order %s ran %d times, but a caller got %+v", input, runCount[input], r)
			}
			if r.outcome == godwitplank.NotRun && runCount[input] != 0 {
				return fmt.Errorf("order %s ran, but a caller got %+v", input, r)
			}
		}
	}
	return nil
}

// quietCommand checks that an endpoint gets no calls for a duration.
//
// Usage: quiet JOURNAL ENDPOINT DURATION
func quietCommand(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[2])
	ts.Check(err)
	countCalls := func() int {
		entries, err := readJournal(ts.MkAbs(args[0]))
		ts.Check(err)
		calls := 0
		for _, entry := range entries {
			if entry.Endpoint == args[1] {
				calls++
			}
		}
		return calls
	}
	before := countCalls()
	time.Sleep(duration)
	if after := countCalls(); after != before {
		ts.Fatalf("%s got %d calls, want none", args[1], after-before)
	}
}
