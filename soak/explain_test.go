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

// TestExplain injects one fault at a time and checks that the explanation of an affected request names the fault.
func TestExplain(t *testing.T) {
	h := newHarness(t, 2, 2, 3)
	for _, c := range []struct {
		name, kind      string
		inject, restore func()
		// want is a regular expression for a line of the explanation.
		want string
	}{
		{
			"slow endpoints of a stage", "stream",
			h.ratesSetter("encoders", faultRates{extraLatency: 200 * time.Millisecond}), h.ratesSetter("encoders", faultRates{}),
			`cause: endpoint i-encoders-\d+ of service encoders took \d+ ms for a call with a predicted time of \d+ ms`,
		},
		{
			"a data centre is cut off", "read",
			h.proxyModeSetter("dc-0", proxyMode{stallToTarget: true, stallFromTarget: true}), h.proxyModeSetter("dc-0", proxyMode{}),
			`cause: endpoint i-orders-15[02] failed after`,
		},
		{
			"the retry budget is spent", "read",
			h.ratesSetter("orders", faultRates{refuse: 1}), h.ratesSetter("orders", faultRates{}),
			`the retry budget is spent.*service=orders`,
		},
		{
			"no configuration", "read",
			h.isolatedRestart(t, proxyMode{stallToTarget: true, stallFromTarget: true}), h.linkRestorer(t),
			`cause: no_document`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.inject()
			defer c.restore()
			want := regexp.MustCompile(c.want)
			explanation := ""
			for i := range 120 {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "_"), i)
				h.sendRequest(c.kind, id)
				if explanation = h.explanation(t, id); want.MatchString(explanation) {
					return
				}
			}
			t.Errorf("the explanation of the last request does not match %s:\n%s", c.want, explanation)
		})
	}
}

// ratesSetter returns a function that sets the fault rates of all endpoints of a service.
func (h *harness) ratesSetter(service string, rates faultRates) func() {
	return func() {
		for _, s := range h.endpoints {
			if s.service == service {
				s.mu.Lock()
				s.rates = rates
				s.mu.Unlock()
			}
		}
	}
}

// proxyModeSetter returns a function that sets the proxy mode of all endpoints in a data centre.
func (h *harness) proxyModeSetter(zone string, mode proxyMode) func() {
	return func() {
		for _, s := range h.endpoints {
			if s.zone == zone {
				s.proxy.setMode(mode)
			}
		}
	}
}

// isolatedRestart returns a function that sets the mode of all link proxies and then restarts the first entry VM, which
// comes up without a configuration if the mode stalls the links.
func (h *harness) isolatedRestart(t *testing.T, mode proxyMode) func() {
	return func() {
		for _, p := range h.cluster.proxies {
			p.setMode(mode)
		}
		p := h.cluster.entries[0]
		p.kill()
		check(t, p.start())
		check(t, eventually(5*time.Second, func() error {
			resp, err := http.Get("http://" + p.addr(readyPort) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}))
	}
}

// linkRestorer returns a function that ends all link faults and waits until the entry VMs are ready.
func (h *harness) linkRestorer(t *testing.T) func() {
	return func() {
		for _, p := range h.cluster.proxies {
			p.setMode(proxyMode{})
		}
		check(t, h.cluster.waitReady(10*time.Second))
	}
}

// sendRequest sends one request to the first entry VM, with a timeout of 1 s.
func (h *harness) sendRequest(kind, id string) {
	c := newCaller(0, h.cluster, h.checker, h.outcomes, h.seed)
	defer c.client.CloseIdleConnections()
	c.send(h.cluster.entries[0], kind, id, time.Second)
}

// explanation returns the explanation of a request from the logs of all VMs. It waits for the request's last line, which may
// be logged after the caller has the response.
func (h *harness) explanation(t *testing.T, id string) string {
	t.Helper()
	var out strings.Builder
	check(t, eventually(2*time.Second, func() error {
		var logs []io.Reader
		for _, p := range h.cluster.processes() {
			file, err := os.Open(p.logFile.Name())
			if err != nil {
				return err
			}
			defer file.Close()
			logs = append(logs, file)
		}
		report, err := explain.Read(id, logs...)
		if err != nil {
			return err
		}
		out.Reset()
		if err := report.Write(&out); err != nil {
			return err
		}
		if !strings.Contains(out.String(), "request answered") {
			return fmt.Errorf("no \"request answered\" line for request %s:\n%s", id, out.String())
		}
		return nil
	}))
	return out.String()
}
