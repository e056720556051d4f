package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// pieces is the number of pieces of each stage of a request.
const pieces = 3

// configuration returns the configuration of a version. Each version changes a timeout, so that all differ.
func configuration(version uint64) []byte {
	route := func(name, kind, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"Name": name, "Host": "soak.example", "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": 5000 + version,
			"TargetLatencyMs": 1000, "Service": service, "MaxAttempts": attempts,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	stage := func(after ...int) map[string]any {
		return map[string]any{"Service": "encoders", "After": after, "Bytes": 1000}
	}
	text, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{
			route("once", "non_idempotent", "orders", 1, nil),
			route("read", "idempotent", "orders", 2, nil),
			route("chat", "streaming", "engines", 1, map[string]any{"TargetGapMs": 500}),
			route("stream", "streaming", "engines", 2, map[string]any{
				"TargetGapMs": 500, "StreamResume": true, "Stages": []any{stage(), stage(0)},
			}),
		},
		"Services": []any{
			map[string]any{"Name": "orders", "MaxConnections": 200},
			map[string]any{"Name": "engines", "MaxConnections": 200, "Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 100000}},
			map[string]any{"Name": "encoders", "MaxConnections": 200, "Pieces": map[string]any{
				"Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 10, "ItemMs": 1, "HeadroomMb": 10, "HandleS": 4,
			}},
		},
		"Limits":  map[string]any{"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "crews", "ApiKeys": []string{"secret"}}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// operator sends configurations and reads them back.
type operator struct {
	cluster *cluster
	ledger  *ledger
	client  *http.Client

	mu sync.Mutex
	// acknowledged is the newest acknowledged version, sent the newest one sent.
	acknowledged, sent uint64
}

func newOperator(c *cluster, l *ledger) *operator {
	return &operator{cluster: c, ledger: l, client: &http.Client{Timeout: 1200 * time.Millisecond}}
}

// next returns a version that was not sent before, in uneven steps.
func (o *operator) next(step uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += step
	return o.sent
}

func (o *operator) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
}

// put sends a version to one VM, and reports whether it was acknowledged.
func (o *operator) put(p *process, version uint64) bool {
	r, err := http.NewRequest(http.MethodPut, "http://"+p.addr(controlPort)+"/config", bytes.NewReader(configuration(version)))
	if err != nil {
		return false
	}
	answer, err := o.client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	switch {
	case answer.StatusCode == http.StatusOK:
		o.mu.Lock()
		o.acknowledged = max(o.acknowledged, version)
		o.mu.Unlock()
		return true
	case answer.StatusCode < 500:
		o.ledger.broken("configuration %d was refused with %d", version, answer.StatusCode)
	}
	return false
}

// read asks one VM. It may not know, but what it says is never older than what was acknowledged before the question.
func (o *operator) read(p *process) error {
	before := o.newest()
	answer, err := o.client.Get("http://" + p.addr(controlPort) + "/config")
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	var c struct{ Version uint64 }
	if err := json.Unmarshal(text, &c); err != nil {
		o.ledger.broken("configuration read back does not decode: %v", err)
		return nil
	}
	if c.Version < before {
		o.ledger.broken("%s answered with version %d after %d was acknowledged", p.name, c.Version, before)
	}
	if !bytes.Equal(text, configuration(c.Version)) {
		o.ledger.broken("version %d read back is not what was sent", c.Version)
	}
	return nil
}

// work changes and reads the configuration until stop is closed.
func (o *operator) work(stop <-chan struct{}, random *rand.Rand) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond):
		}
		target := o.cluster.controls[random.IntN(len(o.cluster.controls))]
		switch random.IntN(4) {
		case 0, 1:
			version := o.next(1 + random.Uint64N(3))
			// The same change goes to other VMs until one acknowledges it.
			for range 3 {
				if o.put(target, version) {
					break
				}
				target = o.cluster.controls[random.IntN(len(o.cluster.controls))]
			}
		default:
			_ = o.read(target)
		}
	}
}
