package soak

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	firstSeed    = flag.Uint64("soak.first", 1, "first seed to run")
	seedCount    = flag.Int("soak.seeds", 1, "number of seeds to run, counted up from soak.first")
	entryCount   = flag.Int("soak.entries", 3, "number of entry VMs for each seed, at most 40")
	faultPhase   = flag.Duration("soak.length", 12*time.Second, "how long faults are injected for each seed")
	failedLogDir = flag.String("soak.keep", "", "directory for the VM logs of failed seeds; empty keeps none")
)

// regressionSeeds failed in the past and run in every soak, before the other seeds. Each has a comment on its cause.
var regressionSeeds = []uint64{}

// harness is a cluster with simulated endpoints, callers and an operator, all driven by one seed.
type harness struct {
	cluster   *cluster
	checker   *checker
	outcomes  *outcomes
	operator  *operator
	endpoints []*simulatedEndpoint
	rng       *rand.Rand
	seed      uint64
	// callersOfKind is the number of callers that send one kind of request only, for each kind, beside those that send all kinds.
	callersOfKind int
}

// services lists the configured services and how many endpoints each has.
var services = []struct {
	name  string
	count int
}{{"orders", 3}, {"engines", 3}, {"encoders", 3}}

// newHarness starts a cluster and its endpoints and waits until the first configuration is acknowledged and the entry VMs are
// ready.
func newHarness(t *testing.T, seed uint64, entries, controls int) *harness {
	t.Helper()
	subnet := fmt.Sprintf("127.%d.%d", 20+seed%200, os.Getpid()%250)
	h := &harness{
		checker:  &checker{runs: make(map[string]int), entries: make(map[string]*process)},
		outcomes: &outcomes{statuses: make(map[string]int), cut: make(map[string]error), served: make(map[string]int), failed: make(map[string]int)},
		rng:      rand.New(rand.NewPCG(seed, 7)), seed: seed,
	}
	h.cluster = newCluster(t, subnet, entries, controls)
	h.operator = newOperator(h.cluster, h.checker)
	t.Cleanup(func() {
		for _, s := range h.endpoints {
			s.stop()
		}
	})
	host := 150
	for _, service := range services {
		for range service.count {
			h.addEndpoint(t, host, service.name)
			host++
		}
	}
	version := h.operator.nextVersion(1)
	check(t, eventually(10*time.Second, func() error {
		if !h.operator.put(h.cluster.controls[0], version) {
			return errors.New("the first configuration was not acknowledged")
		}
		return nil
	}))
	check(t, h.cluster.waitReady(15*time.Second))
	// Leave time for the endpoints to announce themselves and for the VMs to exchange the announcements.
	time.Sleep(1500 * time.Millisecond)
	return h
}

func (h *harness) addEndpoint(t *testing.T, host int, service string) *simulatedEndpoint {
	t.Helper()
	s, err := startEndpoint(h.cluster.subnet, host, service, h.checker, h.cluster.controls, h.seed)
	check(t, err)
	h.endpoints = append(h.endpoints, s)
	return s
}

// runWithTraffic runs callers and the operator in the background until scenario returns.
func (h *harness) runWithTraffic(callers int, scenario func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { newCaller(i, h.cluster, h.checker, h.outcomes, h.seed).run(stop) })
	}
	for i := range h.callersOfKind * len(requestKinds) {
		c := newCaller(callers+i, h.cluster, h.checker, h.outcomes, h.seed)
		c.kinds = requestKinds[i%len(requestKinds) : i%len(requestKinds)+1]
		wg.Go(func() { c.run(stop) })
	}
	wg.Go(func() { h.operator.run(stop, rand.New(rand.NewPCG(h.seed, 9))) })
	scenario()
	close(stop)
	wg.Wait()
}

// reportResults fails the test with every violation, logs totals, and saves the VM logs if the test failed and soak.keep is
// set.
func (h *harness) reportResults(t *testing.T) {
	t.Helper()
	time.Sleep(300 * time.Millisecond)
	h.outcomes.checkRuns(h.checker)
	for _, violation := range h.checker.violations {
		t.Errorf("seed %d: %s", h.seed, violation)
	}
	t.Logf("seed %d: served %v, failed %v, newest configuration acknowledged %d, sent %d", h.seed, h.outcomes.served, h.outcomes.failed, h.operator.newestAcknowledged(), h.operator.newestSent)
	if t.Failed() && *failedLogDir != "" {
		check(t, os.MkdirAll(*failedLogDir, 0o755))
		for _, p := range h.cluster.processes() {
			text, err := os.ReadFile(p.logFile.Name())
			check(t, err)
			check(t, os.WriteFile(filepath.Join(*failedLogDir, fmt.Sprintf("%d-%s.log", h.seed, p.name)), text, 0o644))
		}
	}
}

// TestPlannedChanges runs half a minute without faults. Requests keep being served while an endpoint drains, a VM reloads its
// settings, an entry VM and a control VM are stopped gracefully and restarted, and the configuration changes.
func TestPlannedChanges(t *testing.T) {
	h := newHarness(t, 1, 2, 3)
	h.runWithTraffic(6, func() {
		time.Sleep(2 * time.Second)
		s := h.endpoints[0]
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		h.cluster.entries[1].signal(syscall.SIGHUP)
		time.Sleep(4 * time.Second)
		if !restart(t, h.cluster.entries[1], syscall.SIGTERM, time.Second) {
			t.Errorf("%s was still running %v after SIGTERM", h.cluster.entries[1].name, stopGrace)
		}
		time.Sleep(6 * time.Second)
		if !restart(t, h.cluster.controls[0], syscall.SIGTERM, time.Second) {
			t.Errorf("%s was still running %v after SIGTERM", h.cluster.controls[0].name, stopGrace)
		}
		time.Sleep(10 * time.Second)
	})
	h.outcomes.checkCuts(h.checker)
	h.reportResults(t)
	for kind, n := range h.outcomes.served {
		// Callers cancel one request in twenty early, so some failures are expected.
		if failed := h.outcomes.failed[kind]; failed*6 > n {
			t.Errorf("%s: %d served, %d failed without faults", kind, n, failed)
		}
	}
	if len(h.outcomes.served) != len(requestKinds) {
		t.Errorf("not every kind of request was served, only %v", h.outcomes.served)
	}
	h.checkMetrics(t)
}

// checkMetrics checks that each VM exposes the expected metrics, with values where they are known.
func (h *harness) checkMetrics(t *testing.T) {
	t.Helper()
	for _, p := range h.cluster.processes() {
		resp, err := http.Get("http://" + p.addr(metricsPort) + "/metrics")
		check(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		check(t, err)
		patterns := []string{
			fmt.Sprintf("godwitplank_document_version{.*} %d\n", h.operator.newestAcknowledged()), `godwitplank_vms_alive{.*} 5\n`,
			`godwitplank_endpoints{.*pool="orders",state="working"} [23]\n`, "godwitplank_document_age_seconds", "godwitplank_log_lines_dropped",
		}
		if p.isControl {
			patterns = append(patterns, `godwitplank_sync_seconds_count{.*} [1-9]`, `godwitplank_commit_seconds`)
		} else {
			patterns = append(patterns, `godwitplank_requests_total{.*outcome="done".*} [1-9]`, `godwitplank_retry_budget_left{.*service="orders"`)
		}
		for _, pattern := range patterns {
			if !regexp.MustCompile(pattern).Match(body) {
				t.Errorf("no match for %s in the metrics of %s; last submissions:\n%s\n%s", pattern, p.name, strings.Join(h.operator.lastSubmissions(), "\n"), body)
			}
		}
	}
}

// TestSoak injects random faults under traffic. No guarantee may be violated, and requests must be served again after the
// faults have ended.
func TestSoak(t *testing.T) {
	allSeeds := append([]uint64(nil), regressionSeeds...)
	for i := range *seedCount {
		allSeeds = append(allSeeds, *firstSeed+uint64(i))
	}
	for _, seed := range allSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHarness(t, seed, *entryCount, 4)
			h.runWithTraffic(8, func() {
				h.injectFaults(t, *faultPhase)
				h.checkRecovery(t)
			})
			h.reportResults(t)
		})
	}
}

// checkRecovery ends all faults and checks that entry VMs become ready and control VMs return an up-to-date configuration,
// each within recoveryTimeout, and that requests are served again.
func (h *harness) checkRecovery(t *testing.T) {
	t.Helper()
	const recoveryTimeout = 12 * time.Second
	for _, p := range h.cluster.processes() {
		p.signal(syscall.SIGCONT)
		check(t, p.start())
	}
	for _, p := range h.cluster.proxies {
		p.setMode(proxyMode{})
	}
	for _, s := range h.endpoints {
		s.proxy.setMode(proxyMode{})
		s.mu.Lock()
		s.rates = faultRates{}
		s.mu.Unlock()
		s.returnAsNew()
	}
	if err := h.cluster.waitReady(recoveryTimeout); err != nil {
		t.Errorf("seed %d: entry VMs did not become ready after the faults: %v", h.seed, err)
	}
	for _, p := range h.cluster.controls {
		if err := eventually(recoveryTimeout, func() error { return h.operator.read(p) }); err != nil {
			t.Errorf("seed %d: %s cannot read the configuration after the faults: %v", h.seed, p.name, err)
		}
	}
	servedBefore := h.servedRequests()
	time.Sleep(2 * time.Second)
	if servedAfter := h.servedRequests(); servedAfter < servedBefore+20 {
		t.Errorf("seed %d: only %d requests were served in 2 s after the faults", h.seed, servedAfter-servedBefore)
	}
}

func (h *harness) servedRequests() int {
	h.outcomes.mu.Lock()
	defer h.outcomes.mu.Unlock()
	total := 0
	for _, count := range h.outcomes.served {
		total += count
	}
	return total
}
