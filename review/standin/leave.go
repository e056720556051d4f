package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the cases of servers that leave.
const (
	orderWork     = 20 * time.Millisecond
	orderDeadline = 3 * time.Second
	leaves        = 7
	orderServers  = 15
	// reportToLeave is the time from a server's last status report to its DELETE.
	reportToLeave = 100 * time.Millisecond
	// afterDrain is how long after the bound the clients send their next requests.
	afterDrain = 300 * time.Millisecond
	// lingerTime is how long a server serves beyond the bound after its departure was acknowledged.
	lingerTime     = 4 * time.Second
	ordersPerEntry = 24
	// ackToKill is the time from the acknowledgement of a departure to the kill of the machine that acknowledged it.
	ackToKill = 100 * time.Millisecond
	// settleTime is the time after a restart in which the core counts as unstable, and a margin.
	settleTime = contactTime + 500*time.Millisecond
)

// orderServer is a server of the orders service and what reached it after its departure was acknowledged.
type orderServer struct {
	*server
	// leftAt is when the DELETE was acknowledged, in Unix nanoseconds; 0 before that.
	leftAt atomic.Int64
	late   atomic.Int64
}

// ordersPlay is the state of the cases of servers that leave.
type ordersPlay struct {
	d       *deployment
	servers []*orderServer
	sent    int
	failed  int
}

func newOrdersPlay(d *deployment) (*ordersPlay, error) {
	p := &ordersPlay{d: d}
	for range orderServers {
		if err := p.addServer(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addServer starts another server, without status reports yet.
func (p *ordersPlay) addServer() error {
	o := &orderServer{}
	n := len(p.servers) + 1
	s, err := p.d.newServer(fmt.Sprintf("i-desk-%d", n), "desk", 20+n, 6, func(_ *channel, r *http.Request, _ []byte) []byte { return p.answer(o, r) })
	if err != nil {
		return err
	}
	o.server = s
	p.servers = append(p.servers, o)
	return nil
}

// replace starts the server that replaces the next one that leaves.
func (p *ordersPlay) replace() error {
	if err := p.addServer(); err != nil {
		return err
	}
	p.servers[len(p.servers)-1].startBeats()
	return nil
}

// answer runs an order. It notes an order that reaches the server later than the bound after its departure.
func (p *ordersPlay) answer(o *orderServer, r *http.Request) []byte {
	id := r.Header.Get(protocol.RequestID)
	if id == "" {
		return []byte(o.response(http.StatusOK, "Instance-Id: "+o.id+"\r\n", ""))
	}
	if left := o.leftAt.Load(); left != 0 {
		since := time.Since(time.Unix(0, left))
		p.d.record("%s: request %s arrives %d ms after the departure was acknowledged", o.id, id, since.Milliseconds())
		if since > drainTime {
			o.late.Add(1)
			p.d.record("%s: BROKEN: request %s arrives later than DrainMs (%d ms) after the departure was acknowledged", o.id, id, drainTime.Milliseconds())
		}
	}
	time.Sleep(orderWork)
	return []byte(o.response(http.StatusOK, sealed(r), "done"))
}

// sendOrders sends orders through every entry machine, one after the other.
func (p *ordersPlay) sendOrders(label string) {
	for _, entry := range p.d.entries {
		for range ordersPerEntry {
			p.sent++
			id := fmt.Sprintf("%s%06d", label, p.sent)
			q := &request{id: id, method: http.MethodPost, path: "/order/1", deadline: orderDeadline, body: "valve 3"}
			if r := q.send(entry); r.status != http.StatusOK || r.err != nil {
				p.failed++
				p.d.record("client: request %s at %s: status %d, error %v", id, entry.name, r.status, r.err)
			}
		}
	}
}

// begin starts the machines and the servers and waits until all servers get orders.
func (p *ordersPlay) begin() error {
	if err := p.d.startMachines(3, 2, ordersConfiguration); err != nil {
		return err
	}
	for i, s := range p.servers {
		s.nextBeat = i
		s.startBeats()
	}
	time.Sleep(2 * heartbeatPeriod)
	return eventually(startTimeout, func() error {
		r := (&request{id: fmt.Sprintf("warm%d", time.Now().UnixNano()), method: http.MethodPost, path: "/order/1", deadline: orderDeadline, body: "valve 1"}).send(p.d.entries[0])
		if r.status != http.StatusOK {
			return fmt.Errorf("warm-up request: status %d, error %v", r.status, r.err)
		}
		return nil
	})
}

// verdict reports whether an order reached a server too late.
func (p *ordersPlay) verdict() (bool, error) {
	late := int64(0)
	for _, s := range p.servers {
		late += s.late.Load()
	}
	p.d.record("orders sent: %d, not served: %d, arrived at a server later than DrainMs after its departure was acknowledged: %d", p.sent, p.failed, late)
	if p.sent == p.failed {
		return false, fmt.Errorf("no order was served")
	}
	return late > 0, nil
}

// crossedLeave checks DRAIN for servers that leave with a DELETE shortly after a status report. With trouble, the DELETE goes to
// another control machine than the report, without it to the same one.
func crossedLeave(d *deployment) (bool, error) {
	p, err := newOrdersPlay(d)
	if err != nil {
		return false, err
	}
	if err := p.begin(); err != nil {
		return false, err
	}
	p.sendOrders("first")
	for _, s := range p.servers[:leaves] {
		if err := p.replace(); err != nil {
			return false, err
		}
		s.stopBeats()
		time.Sleep(heartbeatPeriod)
		reportTo := s.nextBeat + 1
		if !s.beat(reportTo) {
			return false, fmt.Errorf("the last report of %s was not acknowledged", s.id)
		}
		d.record("%s: last status report acknowledged by %s", s.id, s.lastBeat.name)
		time.Sleep(reportToLeave)
		if d.trouble {
			reportTo++
		}
		if !s.leave(d.controls[reportTo%len(d.controls)]) {
			return false, fmt.Errorf("the departure of %s was not acknowledged", s.id)
		}
		s.leftAt.Store(time.Now().UnixNano())
		s.leaving.Store(true)
		time.Sleep(drainTime + afterDrain)
		p.sendOrders("next")
		time.Sleep(lingerTime - afterDrain)
		s.stop()
		d.record("%s ends", s.id)
	}
	return p.verdict()
}

// forgottenLeave checks DRAIN for servers that leave with a DELETE. With trouble, the control machine that acknowledged it is
// killed shortly after that and restarted.
func forgottenLeave(d *deployment) (bool, error) {
	p, err := newOrdersPlay(d)
	if err != nil {
		return false, err
	}
	if err := p.begin(); err != nil {
		return false, err
	}
	p.sendOrders("first")
	for i, s := range p.servers[:len(d.controls)] {
		if err := p.replace(); err != nil {
			return false, err
		}
		s.stopBeats()
		time.Sleep(heartbeatPeriod)
		m := d.controls[i%len(d.controls)]
		if !s.leave(m) {
			return false, fmt.Errorf("the departure of %s was not acknowledged", s.id)
		}
		s.leftAt.Store(time.Now().UnixNano())
		s.leaving.Store(true)
		time.Sleep(ackToKill)
		if d.trouble {
			d.kill(m)
			time.Sleep(restartDelay)
			if err := d.startMachine(m); err != nil {
				return false, err
			}
		} else {
			time.Sleep(restartDelay)
		}
		time.Sleep(settleTime)
		p.sendOrders("next")
		time.Sleep(drainTime + lingerTime - ackToKill - restartDelay - settleTime)
		s.stop()
		d.record("%s ends", s.id)
		// The killed machine has to catch up before the next loss.
		time.Sleep(4 * time.Second)
	}
	return p.verdict()
}
