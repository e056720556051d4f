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

// piecesPerStage is the number of pieces that each stage of a request is split into.
const piecesPerStage = 3

// configuration returns the JSON configuration with the given version. The version also sets a timeout, so that the content
// of a configuration read back identifies its version.
func configuration(version uint64) []byte {
	route := func(name, kind, service string, attempts int, extra map[string]any) map[string]any {
		fields := map[string]any{
			"Name": name, "Host": "soak.example", "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": 5000 + version,
			"TargetLatencyMs": 1000, "Service": service, "MaxAttempts": attempts,
		}
		for k, v := range extra {
			fields[k] = v
		}
		return fields
	}
	stage := func(after ...int) map[string]any {
		return map[string]any{"Service": "encoders", "After": after, "Bytes": 1000}
	}
	routes := []any{
		route("once", "non_idempotent", "orders", 1, nil),
		route("read", "idempotent", "orders", 2, nil),
		route("chat", "streaming", "engines", 1, map[string]any{"TargetGapMs": 500}),
		route("stream", "streaming", "engines", 2, map[string]any{
			"TargetGapMs": 500, "StreamResume": true, "Stages": []any{stage(), stage(0)},
		}),
	}
	// Some versions are much larger than others.
	for i := range version % 3 * 300 {
		routes = append(routes, route(fmt.Sprintf("unused-%d", i), "idempotent", "orders", 1, nil))
	}
	text, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes":  routes,
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

// operator submits configurations to control VMs and checks the ones that it reads back.
type operator struct {
	cluster *cluster
	checker *checker
	client  *http.Client

	mu sync.Mutex
	// Versions; a version counts as acknowledged once any control VM answered its PUT with 200.
	acknowledgedVersion, newestSent uint64
	// submissions describes each submission and its result, to trace a version that was not acknowledged.
	submissions []string
}

// recordSubmission adds the result of one submission.
func (o *operator) recordSubmission(p *process, version uint64, started time.Time, result any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submissions = append(o.submissions, fmt.Sprintf("%s version %d to %s: %v after %v", started.Format(time.StampMilli), version, p.name, result, time.Since(started).Round(time.Millisecond)))
}

// lastSubmissions returns the results of the newest submissions.
func (o *operator) lastSubmissions() []string {
	const shown = 20
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.submissions[max(0, len(o.submissions)-shown):]
}

func newOperator(c *cluster, ch *checker) *operator {
	return &operator{cluster: c, checker: ch, client: &http.Client{Timeout: 1200 * time.Millisecond}}
}

// nextVersion advances the newest sent version by step and returns it.
func (o *operator) nextVersion(step uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestSent += step
	return o.newestSent
}

func (o *operator) newestAcknowledged() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledgedVersion
}

// put submits a version to one control VM and reports whether it was acknowledged. A 4xx status is a violation: every version
// that the operator submits is valid.
func (o *operator) put(p *process, version uint64) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+p.addr(controlPort)+"/config", bytes.NewReader(configuration(version)))
	if err != nil {
		return false
	}
	started := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		o.recordSubmission(p, version, started, err)
		return false
	}
	o.recordSubmission(p, version, started, resp.Status)
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
		o.mu.Lock()
		o.acknowledgedVersion = max(o.acknowledgedVersion, version)
		o.mu.Unlock()
		return true
	case resp.StatusCode < 500:
		o.checker.violation("configuration version %d was rejected with status %d", version, resp.StatusCode)
	}
	return false
}

// read reads the configuration from one control VM. The read may fail, but a successful one must return a version at least as
// new as the newest one acknowledged before it, with the content that was submitted.
func (o *operator) read(p *process) error {
	minVersion := o.newestAcknowledged()
	resp, err := o.client.Get("http://" + p.addr(controlPort) + "/config")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET /config returned status %d", resp.StatusCode)
	}
	var c struct{ Version uint64 }
	if err := json.Unmarshal(body, &c); err != nil {
		o.checker.violation("the configuration read back is not valid JSON: %v", err)
		return nil
	}
	if c.Version < minVersion {
		o.checker.violation("stale read: %s returned version %d after version %d was acknowledged", p.name, c.Version, minVersion)
	}
	if !bytes.Equal(body, configuration(c.Version)) {
		o.checker.violation("version %d read back differs from the version submitted", c.Version)
	}
	return nil
}

// run submits and reads configurations at random until stop is closed. Versions advance by one to three, which leaves gaps.
func (o *operator) run(stop <-chan struct{}, rng *rand.Rand) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(500)) * time.Millisecond):
		}
		target := o.cluster.controls[rng.IntN(len(o.cluster.controls))]
		switch rng.IntN(4) {
		case 0, 1:
			version := o.nextVersion(1 + rng.Uint64N(3))
			// Try up to three control VMs, since the outcome of a failed submission is unknown.
			for range 3 {
				if o.put(target, version) {
					break
				}
				target = o.cluster.controls[rng.IntN(len(o.cluster.controls))]
			}
		default:
			_ = o.read(target)
		}
	}
}
