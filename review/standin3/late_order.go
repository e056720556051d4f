package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The bounds are those of demands/sumbangan-kl-grown.toml. The freeze is shorter than on its days.
const (
	evacuatedZones = 2
	evacuateMs     = 5000
	contactMs      = 4000
	freezeTime     = 1500 * time.Millisecond
	orderTimeout   = time.Second
	lateRequests   = 20
	probeRequests  = 8
	probeDelay     = 700 * time.Millisecond
	lateRounds     = 38
)

// placedRunner answers at once and counts the requests that it runs.
type placedRunner struct {
	record *record
	id     string
	zone   string

	mu   sync.Mutex
	runs int
}

func (p *placedRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, p.id) {
		return
	}
	id := r.Header.Get(names.RequestID)
	p.mu.Lock()
	p.runs++
	p.mu.Unlock()
	p.record.printf("runner %s in %s runs %s", p.id, p.zone, id)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "seal-"+id)
	_, _ = io.WriteString(w, "account for "+id)
}

// count returns the number of requests that the runner has run.
func (p *placedRunner) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// order sends an order of the operator to the control VMs, beginning with the nth, until one confirms it. It gives each of them
// orderTimeout, closes the channel and moves on to the next.
func (s *system) order(n int, method, path string) error {
	client := http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 3 * len(s.control) {
		v := s.control[(n+i)%len(s.control)]
		status, err := callAt(&client, fmt.Sprintf("http://%s:%d%s", v.ip, s.port+controlPort, path), method, nil)
		if err != nil {
			s.record.printf("operator: %s %s at %s: no answer within %v", method, path, v.name, orderTimeout)
			continue
		}
		s.record.printf("operator: %s %s at %s: status %d", method, path, v.name, status)
		if status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("%s %s was not confirmed", method, path)
}

// playLateOrder plays an operator who withdraws an evacuation and orders it again, while a control VM is frozen, several times.
func playLateOrder(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.limits["Bounds.EvacuateMs"] = fmt.Sprint(evacuateMs)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runners []*placedRunner
	err = s.start(2, func() error {
		if err := s.configure("late_order"); err != nil {
			return err
		}
		for i, zone := range zones {
			p := &placedRunner{record: rec, id: fmt.Sprintf("i-%d", i+1), zone: zone}
			runners = append(runners, p)
			if _, err := s.startRunner(ctx, i, p.id, "desk", zone, p); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	if err := s.orderAll(0, http.MethodPost); err != nil {
		return false, err
	}
	for round := range lateRounds {
		time.Sleep(200 * time.Millisecond)
		if err := s.playOrders(1+round%2, trouble); err != nil {
			return false, err
		}
		confirmed := time.Now()
		time.Sleep(probeDelay)
		if s.sendAccounts(fmt.Sprintf("probe-%d", round+1), probeRequests, runners[:evacuatedZones]) == 0 {
			continue
		}
		// All machines are in touch again contactMs after the last event at a control VM, and the evacuations have to be in effect.
		time.Sleep(max(contactMs, evacuateMs) * time.Millisecond)
		reached := s.sendAccounts("request", lateRequests, runners[:evacuatedZones])
		rec.printf("round %d: EVAC: from %.1f s after the confirmation of the evacuations, %d of %d requests reached the runners in these zones",
			round+1, time.Since(confirmed).Seconds(), reached, lateRequests)
		return reached > 0, nil
	}
	rec.printf("no request reached the runners in the evacuated zones in %d rounds", lateRounds)
	return false, nil
}

// orderAll sends an order for each of the zones that are evacuated, all at once.
func (s *system) orderAll(n int, method string) error {
	errs := make([]error, evacuatedZones)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() { errs[i] = s.order(n, method, "/evacuation/"+zones[i]) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// playOrders withdraws the evacuations and orders them again. The withdrawals go to the nth control VM first, which is frozen meanwhile if trouble is set.
func (s *system) playOrders(n int, trouble bool) error {
	frozen, began := s.control[n], time.Now()
	if trouble {
		s.signal(frozen, syscall.SIGSTOP)
	}
	if err := s.orderAll(n, http.MethodDelete); err != nil {
		return err
	}
	if err := s.orderAll(n+1, http.MethodPost); err != nil {
		return err
	}
	if trouble {
		time.Sleep(freezeTime - time.Since(began))
		s.signal(frozen, syscall.SIGCONT)
	}
	return nil
}

// sendAccounts sends requests to both entry VMs and returns how many reached some runners.
func (s *system) sendAccounts(name string, n int, runners []*placedRunner) int {
	before := 0
	for _, p := range runners {
		before += p.count()
	}
	for i := range n {
		_, status, err := s.readAccount(s.entry[i%2], fmt.Sprintf("%s-%d", name, i+1), "")
		if err != nil || status != http.StatusOK {
			s.record.printf("%s-%d has status %d, error %v", name, i+1, status, err)
		}
	}
	reached := -before
	for _, p := range runners {
		reached += p.count()
	}
	return reached
}
