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
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	first  = flag.Uint64("soak.first", 1, "first seed of the soak")
	seeds  = flag.Int("soak.seeds", 1, "number of seeds of the soak")
	length = flag.Duration("soak.length", 12*time.Second, "time of faults for each seed")
	keep   = flag.String("soak.keep", "", "folder for the logs of seeds that fail")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{}

// world is a cluster with its endpoints, callers and operator.
type world struct {
	cluster  *cluster
	ledger   *ledger
	outcomes *outcomes
	operator *operator
	standins []*standin
	random   *rand.Rand
	seed     uint64
}

// services are the services with the number of their endpoints.
var services = []struct {
	name  string
	count int
}{{"orders", 3}, {"engines", 3}, {"encoders", 3}}

func newWorld(t *testing.T, seed uint64, entries, controls int) *world {
	t.Helper()
	subnet := fmt.Sprintf("127.%d.%d", 20+seed%200, os.Getpid()%250)
	w := &world{
		ledger:   &ledger{runs: make(map[string]int)},
		outcomes: &outcomes{statuses: make(map[string]int), served: make(map[string]int), failed: make(map[string]int)},
		random:   rand.New(rand.NewPCG(seed, 7)), seed: seed,
	}
	w.cluster = newCluster(t, subnet, entries, controls)
	w.operator = newOperator(w.cluster, w.ledger)
	t.Cleanup(func() {
		for _, s := range w.standins {
			s.stop()
		}
	})
	host := 150
	for _, service := range services {
		for range service.count {
			w.add(t, host, service.name)
			host++
		}
	}
	version := w.operator.next(1)
	check(t, eventually(10*time.Second, func() error {
		if !w.operator.put(w.cluster.controls[0], version) {
			return errors.New("the first configuration is not acknowledged")
		}
		return nil
	}))
	check(t, w.cluster.ready(15*time.Second))
	// Endpoints announce themselves and the VMs exchange what they heard.
	time.Sleep(1500 * time.Millisecond)
	return w
}

func (w *world) add(t *testing.T, host int, service string) *standin {
	t.Helper()
	s, err := startStandin(w.cluster.subnet, host, service, w.ledger, w.cluster.controls, w.seed)
	check(t, err)
	w.standins = append(w.standins, s)
	return s
}

// traffic runs callers and the operator while a function lasts.
func (w *world) traffic(callers int, during func()) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { newCaller(i, w.cluster, w.ledger, w.outcomes, w.seed).work(stop) })
	}
	group.Go(func() { w.operator.work(stop, rand.New(rand.NewPCG(w.seed, 9))) })
	during()
	close(stop)
	group.Wait()
}

// finish reports what was broken.
func (w *world) finish(t *testing.T) {
	t.Helper()
	time.Sleep(300 * time.Millisecond)
	w.outcomes.judge(w.ledger)
	for _, f := range w.ledger.faults {
		t.Errorf("seed %d: %s", w.seed, f)
	}
	t.Logf("seed %d: served %v, failed %v, configuration %d of %d acknowledged", w.seed, w.outcomes.served, w.outcomes.failed, w.operator.newest(), w.operator.sent)
	if t.Failed() && *keep != "" {
		check(t, os.MkdirAll(*keep, 0o755))
		for _, p := range w.cluster.all() {
			text, err := os.ReadFile(p.log.Name())
			check(t, err)
			check(t, os.WriteFile(filepath.Join(*keep, fmt.Sprintf("%d-%s.log", w.seed, p.name)), text, 0o644))
		}
	}
}

// A calm half minute: every request is served, also while an endpoint leaves, settings are read again, VMs stop as planned
// and the configuration changes.
func TestCalm(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.traffic(6, func() {
		time.Sleep(2 * time.Second)
		s := w.standins[0]
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		w.cluster.entries[1].signal(syscall.SIGHUP)
		time.Sleep(4 * time.Second)
		restart(t, w.cluster.entries[1], syscall.SIGTERM, time.Second)
		time.Sleep(6 * time.Second)
		restart(t, w.cluster.controls[0], syscall.SIGTERM, time.Second)
		time.Sleep(10 * time.Second)
	})
	w.finish(t)
	for kind, n := range w.outcomes.served {
		// Callers leave one request in twenty early.
		if failed := w.outcomes.failed[kind]; failed*6 > n {
			t.Errorf("%s: %d served, %d failed on a calm day", kind, n, failed)
		}
	}
	if len(w.outcomes.served) != len(kinds) {
		t.Errorf("served are %v only", w.outcomes.served)
	}
	w.checkFigures(t)
}

// checkFigures looks for the figures of each VM on its metrics address.
func (w *world) checkFigures(t *testing.T) {
	t.Helper()
	for _, p := range w.cluster.all() {
		answer, err := http.Get("http://" + p.addr(metricsPort) + "/metrics")
		check(t, err)
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		check(t, err)
		figures := []string{
			fmt.Sprintf("godwitplank_document_version{.*} %d\n", w.operator.newest()), `godwitplank_vms_alive{.*} 5\n`,
			`godwitplank_endpoints{.*pool="orders",state="working"} [23]\n`, "godwitplank_document_age_seconds", "godwitplank_log_lines_dropped",
		}
		if p.disk {
			figures = append(figures, `godwitplank_sync_seconds_count{.*} [1-9]`, `godwitplank_commit_seconds`)
		} else {
			figures = append(figures, `godwitplank_requests_total{.*outcome="done".*} [1-9]`, `godwitplank_retry_budget_left{.*service="orders"`)
		}
		for _, f := range figures {
			if !regexp.MustCompile(f).Match(body) {
				t.Errorf("%s is missing at %s in\n%s", f, p.name, body)
			}
		}
	}
}

// Whatever fails, no promise is broken, and service is back once the faults end.
func TestSoak(t *testing.T) {
	list := append([]uint64(nil), regressions...)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 3, 4)
			w.traffic(8, func() {
				w.faults(t, *length)
				w.heal(t)
			})
			w.finish(t)
		})
	}
}

// heal ends all faults and checks that service and the newest configuration are back within the time for recovery.
func (w *world) heal(t *testing.T) {
	t.Helper()
	const recovery = 12 * time.Second
	for _, p := range w.cluster.all() {
		p.signal(syscall.SIGCONT)
		check(t, p.start())
	}
	for _, p := range w.cluster.proxies {
		p.set(proxyMode{})
	}
	for _, s := range w.standins {
		s.proxy.set(proxyMode{})
		s.mu.Lock()
		s.rates = rates{}
		s.mu.Unlock()
	}
	if err := w.cluster.ready(recovery); err != nil {
		t.Errorf("seed %d: after the faults: %v", w.seed, err)
	}
	for _, p := range w.cluster.controls {
		if err := eventually(recovery, func() error { return w.operator.read(p) }); err != nil {
			t.Errorf("seed %d: %s cannot read the configuration after the faults: %v", w.seed, p.name, err)
		}
	}
	before := w.served()
	time.Sleep(2 * time.Second)
	if after := w.served(); after < before+20 {
		t.Errorf("seed %d: only %d requests were served in 2 s after the faults", w.seed, after-before)
	}
}

func (w *world) served() int {
	w.outcomes.mu.Lock()
	defer w.outcomes.mu.Unlock()
	n := 0
	for _, k := range w.outcomes.served {
		n += k
	}
	return n
}
