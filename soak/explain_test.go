package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"godwitplank/explain"
)

// TestExplain breaks one thing at a time and checks that the logs of a request that suffered name it.
func TestExplain(t *testing.T) {
	w := newWorld(t, 2, 2, 3)
	for _, c := range []struct {
		name, kind string
		hurt, mend func()
		// story matches a line of the request or its cause.
		story string
	}{
		{
			"slow endpoints of a stage", "stream",
			w.rated("encoders", rates{slow: 200 * time.Millisecond}), w.rated("encoders", rates{}),
			`cause: endpoint i-encoders-\d+ of service encoders took \d+ ms for a call of \d+ ms`,
		},
		{
			"a data centre is cut off", "read",
			w.cut("dc-0", proxyMode{silentTo: true, silentFrom: true}), w.cut("dc-0", proxyMode{}),
			`cause: endpoint i-orders-15[02] failed after`,
		},
		{
			"the retry budget is spent", "read",
			w.rated("orders", rates{refuse: 1}), w.rated("orders", rates{}),
			`the retry budget is spent.*service=orders`,
		},
		{
			"no configuration", "read",
			w.forget(t, proxyMode{silentTo: true, silentFrom: true}), w.heard(t),
			`cause: no_document`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.hurt()
			defer c.mend()
			pattern := regexp.MustCompile(c.story)
			story := ""
			for i := range 120 {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "_"), i)
				w.ask(c.kind, id)
				if story = w.story(t, id); pattern.MatchString(story) {
					return
				}
			}
			t.Errorf("the last request's story does not match %s:\n%s", c.story, story)
		})
	}
}

// rated sets the rates of a service's endpoints.
func (w *world) rated(service string, r rates) func() {
	return func() {
		for _, s := range w.standins {
			if s.service == service {
				s.mu.Lock()
				s.rates = r
				s.mu.Unlock()
			}
		}
	}
}

// cut does something to all connections to the endpoints of a data centre.
func (w *world) cut(zone string, m proxyMode) func() {
	return func() {
		for _, s := range w.standins {
			if s.zone == zone {
				s.proxy.set(m)
			}
		}
	}
}

// forget starts the first entry VM again while it reaches no other VM.
func (w *world) forget(t *testing.T, m proxyMode) func() {
	return func() {
		for _, p := range w.cluster.proxies {
			p.set(m)
		}
		p := w.cluster.entries[0]
		p.kill()
		check(t, p.start())
		check(t, eventually(5*time.Second, func() error {
			r, err := http.Get("http://" + p.addr(readyPort) + "/ready")
			if err == nil {
				_ = r.Body.Close()
			}
			return err
		}))
	}
}

func (w *world) heard(t *testing.T) func() {
	return func() {
		for _, p := range w.cluster.proxies {
			p.set(proxyMode{})
		}
		check(t, w.cluster.ready(10*time.Second))
	}
}

// ask sends a request to the first entry VM.
func (w *world) ask(kind, id string) {
	c := newCaller(0, w.cluster, w.ledger, w.outcomes, w.seed)
	defer c.client.CloseIdleConnections()
	c.send(w.cluster.entries[0], kind, id, time.Second)
}

// story returns what the VMs' logs say of a request. Its last line may come a moment later.
func (w *world) story(t *testing.T, id string) string {
	t.Helper()
	var out strings.Builder
	check(t, eventually(2*time.Second, func() error {
		var logs []io.Reader
		for _, p := range w.cluster.all() {
			file, err := os.Open(p.log.Name())
			if err != nil {
				return err
			}
			defer file.Close()
			logs = append(logs, file)
		}
		s, err := explain.Read(id, logs...)
		if err != nil {
			return err
		}
		out.Reset()
		if err := s.Write(&out); err != nil {
			return err
		}
		if !strings.Contains(out.String(), "request answered") {
			return fmt.Errorf("request %s has no last line:\n%s", id, out.String())
		}
		return nil
	}))
	return out.String()
}
