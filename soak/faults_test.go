package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fault is a kind of fault. weight is its relative probability. inject returns once the fault has ended; duration scales how
// long it lasts.
type fault struct {
	name   string
	weight int
	inject func(h *harness, t *testing.T, rng *rand.Rand, duration time.Duration)
}

// faultKinds are injected in random order and overlap.
var faultKinds = []fault{
	{"kill an entry VM", 2, func(h *harness, t *testing.T, rng *rand.Rand, duration time.Duration) {
		restart(t, pickRandom(rng, h.cluster.entries), syscall.SIGKILL, duration/4)
	}},
	{"stop an entry VM gracefully", 2, func(h *harness, t *testing.T, rng *rand.Rand, duration time.Duration) {
		restart(t, pickRandom(rng, h.cluster.entries), syscall.SIGTERM, duration/4)
	}},
	{"pause a VM", 2, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		p := pickRandom(rng, h.cluster.processes())
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	}},
	{"kill a control VM", 2, func(h *harness, t *testing.T, rng *rand.Rand, duration time.Duration) {
		restart(t, pickRandom(rng, h.cluster.controls), syscall.SIGKILL, duration)
	}},
	{"stop a control VM gracefully", 1, func(h *harness, t *testing.T, rng *rand.Rand, duration time.Duration) {
		restart(t, pickRandom(rng, h.cluster.controls), syscall.SIGTERM, duration/4)
	}},
	{"kill all control VMs", 1, func(h *harness, t *testing.T, _ *rand.Rand, duration time.Duration) {
		for _, p := range h.cluster.controls {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range h.cluster.controls {
			restart(t, p, syscall.SIGKILL, duration/8)
		}
	}},
	{"impair the link from an entry VM to a control VM", 3, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		impair(pickRandom(rng, h.cluster.proxies), rng, duration)
	}},
	{"impair the connections to an endpoint", 4, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		impair(pickRandom(rng, h.endpoints).proxy, rng, duration)
	}},
	{"raise the fault rates of an endpoint", 4, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		s := pickRandom(rng, h.endpoints)
		s.mu.Lock()
		s.rates = faultRates{reset: rng.Float64() / 3, refuse: rng.Float64() / 3, fail: rng.Float64() / 3, truncate: rng.Float64() / 2, stall: rng.Float64() / 4}
		s.mu.Unlock()
		time.Sleep(duration)
		s.mu.Lock()
		s.rates = faultRates{}
		s.mu.Unlock()
	}},
	{"let an endpoint spoil texts", 3, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		s := pickRandom(rng, h.endpoints)
		s.mu.Lock()
		s.rates = faultRates{spoil: rng.Float64()}
		s.mu.Unlock()
		time.Sleep(duration)
		s.mu.Lock()
		s.rates = faultRates{}
		s.mu.Unlock()
	}},
	{"let an endpoint leave without an announcement", 3, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		s := pickRandom(rng, h.endpoints)
		s.leave()
		time.Sleep(duration)
		s.returnAsNew()
	}},
	{"let an endpoint state a limit", 3, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		pickRandom(rng, h.endpoints).holdLimit(float64(1+rng.IntN(6)), limitContact+limitWindow+duration)
	}},
	{"let an endpoint ask for quiet", 3, func(h *harness, _ *testing.T, rng *rand.Rand, duration time.Duration) {
		s := pickRandom(rng, h.endpoints)
		s.mu.Lock()
		s.rates = faultRates{refuse: rng.Float64(), quiet: rng.Float64()}
		s.mu.Unlock()
		time.Sleep(duration)
		s.mu.Lock()
		s.rates = faultRates{}
		s.mu.Unlock()
	}},
	{"reload the settings of a VM", 1, func(h *harness, _ *testing.T, rng *rand.Rand, _ time.Duration) {
		pickRandom(rng, h.cluster.processes()).signal(syscall.SIGHUP)
	}},
}

func pickRandom[T any](rng *rand.Rand, items []T) T {
	return items[rng.IntN(len(items))]
}

// restart resumes a paused VM, stops it with a signal and starts it again after downtime. It reports whether the VM exited by
// itself.
func restart(t *testing.T, p *process, sig syscall.Signal, downtime time.Duration) (exited bool) {
	p.signal(syscall.SIGCONT)
	if sig == syscall.SIGTERM {
		exited = p.stop()
	} else {
		p.signal(sig)
		p.wait()
	}
	time.Sleep(downtime)
	if err := p.start(); err != nil {
		t.Error(err)
	}
	return exited
}

// impair delays, resets, stalls in one direction or refuses the connections through a proxy, and restores it after duration.
func impair(p *proxy, rng *rand.Rand, duration time.Duration) {
	switch rng.IntN(5) {
	case 0:
		p.setMode(proxyMode{delay: time.Duration(rng.IntN(100)) * time.Millisecond})
	case 1:
		p.reset()
	case 2:
		p.setMode(proxyMode{stallToTarget: true})
	case 3:
		p.setMode(proxyMode{stallFromTarget: true})
	case 4:
		p.setMode(proxyMode{refuse: true})
		p.reset()
	}
	time.Sleep(duration)
	p.setMode(proxyMode{})
}

// injectFaults injects random faults for the given duration, at most three at a time. One control VM loses its disk halfway.
func (h *harness) injectFaults(t *testing.T, duration time.Duration) {
	t.Helper()
	totalWeight := 0
	for _, f := range faultKinds {
		totalWeight += f.weight
	}
	var wg sync.WaitGroup
	sem := make(chan struct{}, 3)
	// controlMu serialises disk losses and the faults that may stop or pause a control VM, so that only "kill all control
	// VMs" affects several at once.
	var controlMu sync.Mutex
	start, diskLost := time.Now(), false
	for time.Since(start) < duration {
		sem <- struct{}{}
		offset, chosen := h.rng.IntN(totalWeight), faultKinds[0]
		for _, f := range faultKinds {
			if offset -= f.weight; offset < 0 {
				chosen = f
				break
			}
		}
		faultDuration := time.Duration(200+h.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 1))
		loseDisk := !diskLost && time.Since(start) > duration/2
		if loseDisk {
			diskLost = true
		}
		wg.Go(func() {
			defer func() { <-sem }()
			if loseDisk {
				controlMu.Lock()
				defer controlMu.Unlock()
				p := pickRandom(rng, h.cluster.controls)
				t.Logf("seed %d, %s: wipe the disk of %s", h.seed, time.Since(start).Round(time.Millisecond), p.name)
				if err := h.cluster.wipe(p); err != nil {
					t.Error(err)
				}
				time.Sleep(catchUpTime)
				return
			}
			if chosen.name == "kill all control VMs" || chosen.name == "kill a control VM" || chosen.name == "stop a control VM gracefully" || chosen.name == "pause a VM" {
				controlMu.Lock()
				defer controlMu.Unlock()
			}
			t.Logf("seed %d, %s: %s for %s", h.seed, time.Since(start).Round(time.Millisecond), chosen.name, faultDuration)
			chosen.inject(h, t, rng, faultDuration)
		})
		time.Sleep(time.Duration(h.rng.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
}

// catchUpTime is how long other faults on control VMs are held off after a disk loss, so that the VM can rejoin the group.
const catchUpTime = 4 * time.Second
