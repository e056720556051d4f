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

// reply is what a caller was told.
type reply struct {
	status  int
	outcome godwitplank.Outcome
	kind    fault.Kind
	output  string
	version uint64
	err     error
}

// post sends a request as a caller does.
func post(addr, pipeline, input, key string, attempt int) reply {
	body, err := json.Marshal(godwitplank.Request{Input: json.RawMessage(input)})
	if err != nil {
		return reply{err: err}
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/pipelines/"+pipeline+"/requests", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer crews-key")
	if key != "" {
		r.Header.Set(godwitplank.HeaderIdempotencyKey, key)
		r.Header.Set(godwitplank.HeaderAttempt, strconv.Itoa(attempt))
		r.Close = true
	}
	response, err := callers.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	var answer struct {
		godwitplank.Answer
		Kind fault.Kind `json:"kind"`
	}
	err = json.Unmarshal(text, &answer)
	return reply{response.StatusCode, answer.Outcome, answer.Kind, string(answer.Output), answer.DocumentVersion, err}
}

var callers = &http.Client{Timeout: 15 * time.Second}

// stream sends a request that asks for tokens, and checks that they come once, in order and whole.
func stream(addr, pipeline, input, _ string, _ int) reply {
	body := fmt.Sprintf(`{"input":%s,"stream":true}`, input)
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/pipelines/"+pipeline+"/requests", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer crews-key")
	response, err := callers.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: response.StatusCode, output: string(text)}
	tokens := ""
	for _, event := range strings.Split(string(text), "\n\n") {
		name, data, _ := strings.Cut(event, "\ndata: ")
		switch name {
		case "event: token":
			var t godwitplank.Token
			got.err = errors.Join(got.err, json.Unmarshal([]byte(data), &t))
			tokens += t.Text
		case "event: done":
			var a godwitplank.Answer
			got.err = errors.Join(got.err, json.Unmarshal([]byte(data), &a))
			got.outcome, got.output, got.version = a.Outcome, string(a.Output), a.DocumentVersion
		}
	}
	if got.outcome == godwitplank.Done && !strings.Contains(got.output, strconv.Quote(tokens)) {
		got.err = fmt.Errorf("the tokens %q are not the answer", tokens)
	}
	return got
}

// own reports whether a reply is the whole answer to an input.
func (r reply) own(input string) bool {
	return r.err == nil && r.outcome == godwitplank.Done && strings.Contains(r.output, `"input":`+input+`,`)
}

// traffic is requests that run beside a script.
type traffic struct {
	stop   chan struct{}
	group  sync.WaitGroup
	sent   atomic.Int64
	mu     sync.Mutex
	faults []string
	told   map[string][]reply
}

var loads sync.Map // system and name -> *traffic

func startLoad(s *system, name string) *traffic {
	l := &traffic{stop: make(chan struct{}), told: make(map[string][]reply)}
	loads.Store([2]any{s, name}, l)
	return l
}

func stopLoad(ts *testscript.TestScript, name string) *traffic {
	v, ok := loads.LoadAndDelete([2]any{systemOf(ts), name})
	if !ok {
		ts.Fatalf("no load %q runs", name)
	}
	l := v.(*traffic)
	close(l.stop)
	l.group.Wait()
	if l.sent.Load() == 0 {
		ts.Fatalf("no request was sent")
	}
	return l
}

func (l *traffic) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// steadyCommand sends requests all the time: steady start PIPELINE VM..., steady stop. A VM whose probe
// fails gets none, as behind the platform's balancer. Any refusal or wrong answer fails the script.
func steadyCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "steady")
		health := newBalancer(s, args[2:])
		l.group.Go(func() { health.run(l) })
		for i := range 4 {
			l.group.Go(func() { l.steady(s, health, args[1], i) })
		}
		return
	}
	l := stopLoad(ts, "steady")
	ts.Logf("%d requests were sent", l.sent.Load())
	if len(l.faults) > 0 {
		ts.Fatalf("%d of %d requests failed: %s", len(l.faults), l.sent.Load(), strings.Join(l.faults[:min(3, len(l.faults))], "; "))
	}
}

// balancer probes VMs as the platform's balancer does.
type balancer struct {
	s     *system
	vms   []string
	mu    sync.Mutex
	ready []string
}

func newBalancer(s *system, vms []string) *balancer {
	b := &balancer{s: s, vms: vms}
	b.probe()
	return b
}

// probeInterval is how often the balancer asks each VM.
const probeInterval = 500 * time.Millisecond

func (b *balancer) run(l *traffic) {
	for !l.stopped() {
		time.Sleep(probeInterval)
		b.probe()
	}
}

func (b *balancer) probe() {
	var ready []string
	for _, vm := range b.vms {
		if b.s.ready(vm) == "200" {
			ready = append(ready, vm)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[n%len(b.ready)]
}

func (l *traffic) steady(s *system, b *balancer, pipeline string, worker int) {
	for n := 0; !l.stopped(); n++ {
		vm := b.pick(n)
		if vm == "" {
			time.Sleep(pollPause)
			continue
		}
		input := fmt.Sprintf(`"w%d-%d"`, worker, n)
		send := post
		if n%3 == 2 {
			send = stream
		}
		got := send(s.vms[vm].addr("callers_addr"), pipeline, input, "", 0)
		l.sent.Add(1)
		if !got.own(input) {
			l.mu.Lock()
			l.faults = append(l.faults, fmt.Sprintf("%s at %s: %+v (%v)", input, vm, got, got.err))
			l.mu.Unlock()
		}
	}
}

// ordersCommand sends orders all the time, each at once to two VMs and again to a third until it is decided:
// orders start PREFIX VM..., orders stop JOURNAL. What callers were told is then held against the journal.
func ordersCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "orders")
		l.group.Go(func() { l.orders(s, args[1], args[2:]) })
		return
	}
	l := stopLoad(ts, "orders")
	count := make(map[godwitplank.Outcome]int)
	for _, replies := range l.told {
		for _, r := range replies {
			count[r.outcome]++
		}
	}
	ts.Logf("%d orders, replies %v", len(l.told), count)
	ts.Check(checkOrders(ts.MkAbs(args[1]), l.told))
	if count[godwitplank.Done] == 0 {
		ts.Fatalf("no order was done")
	}
}

const orderPause = 15 * time.Millisecond

func (l *traffic) orders(s *system, prefix string, vms []string) {
	for n := 0; !l.stopped(); n++ {
		input := fmt.Sprintf(`"%s-%d"`, prefix, n)
		l.sent.Add(1)
		l.group.Go(func() {
			var pair sync.WaitGroup
			for k := range 2 {
				pair.Go(func() { l.order(s, vms[(n+k)%len(vms)], input) })
			}
			pair.Wait()
			l.order(s, vms[(n+2)%len(vms)], input)
		})
		time.Sleep(orderPause)
	}
}

func (l *traffic) order(s *system, vm, input string) {
	got := post(s.vms[vm].addr("callers_addr"), "shutoff_order", input, strings.Trim(input, `"`), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[input] = append(l.told[input], got)
}

// checkOrders holds what callers were told against the journal: at most one run, an answer only for a run, and
// not_run only without one.
func checkOrders(journal string, told map[string][]reply) error {
	runs, err := readJournal(journal)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	ran := make(map[string]int)
	for _, r := range runs {
		if r.Stage == "order" {
			ran[string(r.Input)]++
		}
	}
	for input, replies := range told {
		if ran[input] > 1 {
			return fmt.Errorf("order %s ran %d times", input, ran[input])
		}
		for _, r := range replies {
			if r.outcome == godwitplank.Done && (ran[input] != 1 || !r.own(input)) {
				return fmt.Errorf("order %s ran %d times and a caller was told %+v", input, ran[input], r)
			}
			if r.outcome == godwitplank.NotRun && ran[input] != 0 {
				return fmt.Errorf("order %s ran and a caller was told %+v", input, r)
			}
		}
	}
	return nil
}

// quietCommand checks that an endpoint gets no new work for a time: quiet JOURNAL ENDPOINT LENGTH
func quietCommand(ts *testscript.TestScript, _ bool, args []string) {
	length, err := time.ParseDuration(args[2])
	ts.Check(err)
	count := func() int {
		runs, err := readJournal(ts.MkAbs(args[0]))
		ts.Check(err)
		n := 0
		for _, r := range runs {
			if r.Endpoint == args[1] {
				n++
			}
		}
		return n
	}
	before := count()
	time.Sleep(length)
	if after := count(); after != before {
		ts.Fatalf("%s got %d calls", args[1], after-before)
	}
}
