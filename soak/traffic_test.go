package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// requestKinds are the kinds of requests, named after the path prefix that selects the route.
var requestKinds = []string{"once", "read", "chat", "stream"}

// outcomes collects the results that callers received.
type outcomes struct {
	mu sync.Mutex
	// statuses has the HTTP status by "KIND ID" of a request, 0 if there was no response.
	statuses map[string]int
	// cut has the error by ID of a request whose connection ended without a response before its caller gave up.
	cut map[string]error
	// served and failed count requests by kind.
	served, failed map[string]int
}

// caller sends requests over keep-alive connections and checks the responses.
type caller struct {
	name string
	// kinds are the kinds of requests that it sends.
	kinds     []string
	cluster   *cluster
	checker   *checker
	outcomes  *outcomes
	rng       *rand.Rand
	client    *http.Client
	sentCount int
}

func newCaller(i int, c *cluster, ch *checker, o *outcomes, seed uint64) *caller {
	return &caller{
		name: fmt.Sprintf("c%d", i), kinds: requestKinds, cluster: c, checker: ch, outcomes: o, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends random requests to random entry VMs until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.IntN(60)) * time.Millisecond):
		}
		p := c.cluster.entries[c.rng.IntN(len(c.cluster.entries))]
		if !p.running() {
			continue
		}
		c.sendNext(p, c.kinds[c.rng.IntN(len(c.kinds))])
	}
}

// sendNext sends a request with a new ID. One in twenty is cancelled within 50 ms.
func (c *caller) sendNext(p *process, kind string) {
	c.sentCount++
	id := fmt.Sprintf("%s-%d", c.name, c.sentCount)
	timeout := 4 * time.Second
	if c.rng.IntN(20) == 0 {
		timeout = time.Duration(c.rng.IntN(50)) * time.Millisecond
	}
	c.send(p, kind, id, timeout)
}

// send sends a request with the given ID, records its outcome and checks the response.
func (c *caller) send(p *process, kind, id string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr(routesPort)+"/"+pathOf(kind)+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	c.checker.recordEntry(id, p)
	req.Host = "soak.example"
	req.GetBody = nil // keeps the client from retrying the request itself
	req.Header = http.Header{
		"Request-Id": {id}, "Key": {"secret"}, "Tenant": {"somebody else"}, "Deadline-Remaining": {strconv.FormatInt(timeout.Milliseconds(), 10)},
		"Piece-Count": {fmt.Sprintf("%d,%d", piecesPerStage, piecesPerStage)}, "Piece-Key": {"key-" + id}, "Prompt-Prefix": {"aa:100,bb" + c.name + ":50"},
	}
	if kind == deadlyKind {
		req.Header.Set("Prompt-Prefix", "aa:100,subject-"+id+":20,"+deadlyPart+":50,own-"+id+":10")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.recordOutcome(id, kind, 0, false)
		if ctx.Err() == nil {
			c.outcomes.recordCut(id, err)
		}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.recordOutcome(id, kind, resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK)
	c.checkResponse(id, kind, resp, string(body), err == nil)
}

// pathOf returns the path segment of a kind of request.
func pathOf(kind string) string {
	if kind == deadlyKind {
		return "chat"
	}
	return kind
}

func (o *outcomes) recordCut(id string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut[id] = err
}

// checkCuts records a violation for each request that ran and whose connection ended without a response, which planned
// changes must not cause. Call it only after all traffic has ended.
func (o *outcomes) checkCuts(ch *checker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, err := range o.cut {
		if ch.runCount(id) > 0 {
			ch.violation("request %s ran and got no response: %v", id, err)
		}
	}
}

func (c *caller) recordOutcome(id, kind string, status int, served bool) {
	c.outcomes.mu.Lock()
	defer c.outcomes.mu.Unlock()
	c.outcomes.statuses[kind+" "+id] = status
	if served {
		c.outcomes.served[kind]++
	} else {
		c.outcomes.failed[kind]++
	}
}

// checkResponse records a violation if a response is not the only correct one for the request, or denies a valid request.
func (c *caller) checkResponse(id, kind string, resp *http.Response, body string, complete bool) {
	switch {
	case resp.StatusCode != http.StatusOK:
		if resp.StatusCode == 401 || resp.StatusCode == 403 || resp.StatusCode == 404 {
			c.checker.violation("valid request %s was denied with status %d", id, resp.StatusCode)
		}
		return
	case resp.Header.Get("Server-Seal") == "" || resp.Header.Get("Request-Id") != id:
		c.checker.violation("%s got a successful response without the headers that the endpoint sets", id)
	}
	if kind == "once" || kind == "read" {
		if complete && body != "answer to "+id {
			c.checker.violation("%s got the wrong body %q", id, body)
		}
		return
	}
	c.checkEvents(id, body, complete)
}

// checkEvents checks that a stream has each event once and in order. Only a stream that ended with a read error may have fewer.
func (c *caller) checkEvents(id, body string, complete bool) {
	n := 0
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			if event != "" && complete {
				c.checker.violation("%s got a stream that ended without an error in the middle of an event", id)
			}
			continue
		}
		n++
		// A spoiled id is passed on where the stream cannot go on elsewhere.
		if strings.Replace(event, spoiledByte, "", 1) != fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) {
			c.checker.violation("%s got %q as event %d", id, event, n)
			return
		}
	}
	if complete && n != eventsPerStream {
		c.checker.violation("the stream of %s ended without an error after %d events", id, n)
	}
}

// checkRuns compares the runs at endpoints with the responses to callers. Requests that aren't idempotent must run at most
// once, and not at all if their status says that nothing ran. Call it only after all traffic has ended.
func (o *outcomes) checkRuns(ch *checker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, status := range o.statuses {
		kind, id, _ := strings.Cut(key, " ")
		runs := ch.runCount(id)
		if (kind == "once" || kind == "chat") && runs > 1 {
			ch.violation("%s %s ran %d times", kind, id, runs)
		}
		notRun := status == 429 || status == 503 || status == 408 || status == 421
		if (kind == "once" || kind == "chat") && notRun && runs > 0 {
			ch.violation("%s %s was answered with status %d, which promises that nothing ran, but it ran", kind, id, status)
		}
	}
}
