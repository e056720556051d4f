package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fault is one kind of fault; it lasts for a time and ends by itself.
type fault struct {
	name   string
	weight int
	strike func(w *world, t *testing.T, random *rand.Rand, lasts time.Duration)
}

// kindsOfFaults come in series and overlap.
var kindsOfFaults = []fault{
	{"kill an entry VM", 2, func(w *world, t *testing.T, r *rand.Rand, lasts time.Duration) {
		restart(t, any1(r, w.cluster.entries), syscall.SIGKILL, lasts/4)
	}},
	{"stop an entry VM as planned", 2, func(w *world, t *testing.T, r *rand.Rand, lasts time.Duration) {
		restart(t, any1(r, w.cluster.entries), syscall.SIGTERM, lasts/4)
	}},
	{"pause a VM", 2, func(w *world, _ *testing.T, r *rand.Rand, lasts time.Duration) {
		p := any1(r, w.cluster.all())
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
	}},
	{"kill a control VM", 2, func(w *world, t *testing.T, r *rand.Rand, lasts time.Duration) {
		restart(t, any1(r, w.cluster.controls), syscall.SIGKILL, lasts)
	}},
	{"stop a control VM as planned", 1, func(w *world, t *testing.T, r *rand.Rand, lasts time.Duration) {
		restart(t, any1(r, w.cluster.controls), syscall.SIGTERM, lasts/4)
	}},
	{"kill all control VMs", 1, func(w *world, t *testing.T, _ *rand.Rand, lasts time.Duration) {
		for _, p := range w.cluster.controls {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range w.cluster.controls {
			restart(t, p, syscall.SIGKILL, lasts/8)
		}
	}},
	{"links of an entry VM", 3, func(w *world, _ *testing.T, r *rand.Rand, lasts time.Duration) {
		impair(any1(r, w.cluster.proxies), r, lasts)
	}},
	{"link to an endpoint", 4, func(w *world, _ *testing.T, r *rand.Rand, lasts time.Duration) {
		impair(any1(r, w.standins).proxy, r, lasts)
	}},
	{"an endpoint fails", 4, func(w *world, _ *testing.T, r *rand.Rand, lasts time.Duration) {
		s := any1(r, w.standins)
		s.mu.Lock()
		s.rates = rates{reset: r.Float64() / 3, refuse: r.Float64() / 3, fail: r.Float64() / 3, cut: r.Float64() / 2, stall: r.Float64() / 4}
		s.mu.Unlock()
		time.Sleep(lasts)
		s.mu.Lock()
		s.rates = rates{}
		s.mu.Unlock()
	}},
	{"settings read again", 1, func(w *world, _ *testing.T, r *rand.Rand, _ time.Duration) {
		any1(r, w.cluster.all()).signal(syscall.SIGHUP)
	}},
}

func any1[T any](r *rand.Rand, list []T) T {
	return list[r.IntN(len(list))]
}

// restart ends a VM by a signal and starts it again.
func restart(t *testing.T, p *process, s syscall.Signal, after time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.wait()
	time.Sleep(after)
	if err := p.start(); err != nil {
		t.Error(err)
	}
}

// impair delays, resets, cuts or silences the connections through a proxy.
func impair(p *proxy, r *rand.Rand, lasts time.Duration) {
	switch r.IntN(5) {
	case 0:
		p.set(proxyMode{delay: time.Duration(r.IntN(100)) * time.Millisecond})
	case 1:
		p.reset()
	case 2:
		p.set(proxyMode{silentTo: true})
	case 3:
		p.set(proxyMode{silentFrom: true})
	case 4:
		p.set(proxyMode{refuse: true})
		p.reset()
	}
	time.Sleep(lasts)
	p.set(proxyMode{})
}

// faults strikes again and again, up to three faults at a time, and loses one disk in the middle.
func (w *world) faults(t *testing.T, lasts time.Duration) {
	t.Helper()
	total := 0
	for _, f := range kindsOfFaults {
		total += f.weight
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, 3)
	var control sync.Mutex // at most one disk machine is lost at a time, but for those that lose all of them at once
	begun, wiped := time.Now(), false
	for time.Since(begun) < lasts {
		slots <- struct{}{}
		draw, chosen := w.random.IntN(total), kindsOfFaults[0]
		for _, f := range kindsOfFaults {
			if draw -= f.weight; draw < 0 {
				chosen = f
				break
			}
		}
		span := time.Duration(200+w.random.IntN(2500)) * time.Millisecond
		random := rand.New(rand.NewPCG(w.random.Uint64(), 1))
		wipe := !wiped && time.Since(begun) > lasts/2
		if wipe {
			wiped = true
		}
		group.Go(func() {
			defer func() { <-slots }()
			if wipe {
				control.Lock()
				defer control.Unlock()
				p := any1(random, w.cluster.controls)
				t.Logf("seed %d, %s: the disk of %s is lost", w.seed, time.Since(begun).Round(time.Millisecond), p.name)
				if err := w.cluster.wipe(p); err != nil {
					t.Error(err)
				}
				time.Sleep(catchUp)
				return
			}
			if chosen.name == "kill all control VMs" || chosen.name == "kill a control VM" || chosen.name == "stop a control VM as planned" || chosen.name == "pause a VM" {
				control.Lock()
				defer control.Unlock()
			}
			t.Logf("seed %d, %s: %s for %s", w.seed, time.Since(begun).Round(time.Millisecond), chosen.name, span)
			chosen.strike(w, t, random, span)
		})
		time.Sleep(time.Duration(w.random.IntN(600)) * time.Millisecond)
	}
	group.Wait()
}

// catchUp is how long a machine whose disk was lost has to take part again.
const catchUp = 4 * time.Second
