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

// kinds are the kinds of requests, by the path that selects their route.
var kinds = []string{"once", "read", "chat", "stream"}

// outcomes is what callers were told, by request.
type outcomes struct {
	mu       sync.Mutex
	statuses map[string]int
	// served and failed count by kind.
	served, failed map[string]int
}

// caller sends requests on kept connections.
type caller struct {
	name     string
	cluster  *cluster
	ledger   *ledger
	outcomes *outcomes
	random   *rand.Rand
	client   *http.Client
	sent     int
}

func newCaller(i int, c *cluster, l *ledger, o *outcomes, seed uint64) *caller {
	return &caller{
		name: fmt.Sprintf("c%d", i), cluster: c, ledger: l, outcomes: o, random: rand.New(rand.NewPCG(seed, uint64(1000+i))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// work sends requests until stop is closed.
func (c *caller) work(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		p := c.cluster.entries[c.random.IntN(len(c.cluster.entries))]
		if !p.running() {
			continue
		}
		c.request(p, kinds[c.random.IntN(len(kinds))])
	}
}

// request sends one request and checks what comes back.
func (c *caller) request(p *process, kind string) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	patience := 4 * time.Second
	if c.random.IntN(20) == 0 {
		patience = time.Duration(c.random.IntN(50)) * time.Millisecond // leaves early
	}
	c.send(p, kind, id, patience)
}

// send sends a request of an id and checks what comes back.
func (c *caller) send(p *process, kind, id string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr(routesPort)+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	r.Host = "soak.example"
	r.GetBody = nil // nothing is sent twice by the client itself
	r.Header = http.Header{
		"Request-Id": {id}, "Key": {"secret"}, "Tenant": {"somebody else"}, "Deadline-Remaining": {strconv.FormatInt(patience.Milliseconds(), 10)},
		"Piece-Count": {fmt.Sprintf("%d,%d", pieces, pieces)}, "Piece-Key": {"key-" + id}, "Prompt-Prefix": {"aa:100,bb" + c.name + ":50"},
	}
	answer, err := c.client.Do(r)
	if err != nil {
		c.note(id, kind, 0, false)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	c.note(id, kind, answer.StatusCode, err == nil && answer.StatusCode == http.StatusOK)
	c.check(id, kind, answer, string(body), err == nil)
}

func (c *caller) note(id, kind string, status int, served bool) {
	c.outcomes.mu.Lock()
	defer c.outcomes.mu.Unlock()
	c.outcomes.statuses[kind+" "+id] = status
	if served {
		c.outcomes.served[kind]++
	} else {
		c.outcomes.failed[kind]++
	}
}

// check compares an answer with the only right one.
func (c *caller) check(id, kind string, answer *http.Response, body string, isWhole bool) {
	switch {
	case answer.StatusCode != http.StatusOK:
		if answer.StatusCode == 401 || answer.StatusCode == 403 || answer.StatusCode == 404 {
			c.ledger.broken("%s was denied with %d", id, answer.StatusCode)
		}
		return
	case answer.Header.Get("Server-Seal") == "" || answer.Header.Get("Request-Id") != id:
		c.ledger.broken("%s got a success without the endpoint's own marks", id)
	}
	if kind == "once" || kind == "read" {
		if isWhole && body != "answer to "+id {
			c.ledger.broken("%s got %q", id, body)
		}
		return
	}
	c.checkEvents(id, body, isWhole)
}

// checkEvents expects all events once and in order; only an answer that visibly ends early may have fewer.
func (c *caller) checkEvents(id, body string, isWhole bool) {
	n := 0
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			if event != "" && isWhole {
				c.ledger.broken("%s has a part of an event at the end of a whole stream", id)
			}
			continue
		}
		n++
		if event != fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) {
			c.ledger.broken("%s has %q as its event %d", id, event, n)
			return
		}
	}
	if isWhole && n != events {
		c.ledger.broken("%s ended as complete after %d events", id, n)
	}
}

// judge checks, after everything is quiet, what was run against what was told.
func (o *outcomes) judge(l *ledger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, status := range o.statuses {
		kind, id, _ := strings.Cut(key, " ")
		runs := l.ran(id)
		if (kind == "once" || kind == "chat") && runs > 1 {
			l.broken("%s %s ran %d times", kind, id, runs)
		}
		promised := status == 429 || status == 503 || status == 408 || status == 421
		if (kind == "once" || kind == "chat") && promised && runs > 0 {
			l.broken("%s %s was told %d and ran", kind, id, status)
		}
	}
}
