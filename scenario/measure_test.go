package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"godwitplank/load"
	"godwitplank/timer"
)

// Sizes of the benchmarked system: 8 VMs and 12 endpoints that run language models, as in one user's deployment today.
const (
	benchLanguageEndpoints = 12
	benchSlots             = 4
	benchTokens            = 20
	benchDuration          = 8 * time.Second
	// benchCapacity is approximately the number of requests per second that the language endpoints complete.
	benchCapacity = 110
)

// benchStandinConfig returns the configuration of the simulated endpoints. The language endpoints differ in speed by up to
// 2.5 times.
func benchStandinConfig(s *system) string {
	var b strings.Builder
	fmt.Fprintf(&b, "token: endpoint-token\njournal: %s/journal\nseed: 1\npools:\n", s.dir)
	for i, pool := range []string{"encoders", "retrievers", "rerankers"} {
		for k, dc := range []string{"a", "b", "c", "d"} {
			fmt.Fprintf(&b, "  - {pool: %s, prefix: %s-%s, count: 1, data_centre: dc-%s, slots: 16, latency_ms: %d, announce: [\"%s\"]}\n",
				pool, strings.TrimSuffix(pool, "s"), dc, dc, 8+4*i, s.vms[s.names[2*k]].addr("callers_addr"))
		}
	}
	for i := range benchLanguageEndpoints {
		k := i % 4
		fmt.Fprintf(&b, "  - {pool: language, prefix: language-%d, count: 1, data_centre: dc-%c, slots: %d, latency_ms: 20, token_ms: %d, tokens: %d, models: [m1], announce: [\"%s\"]}\n",
			i, 'a'+k, benchSlots, 10+i*15/(benchLanguageEndpoints-1), benchTokens, s.vms[s.names[2*k]].addr("callers_addr"))
	}
	return b.String()
}

// benchCases are the fault, if any, and the load of each case. The rate is in requests per second.
var benchCases = []struct {
	name     string
	rate     float64
	bursts   *load.Bursts
	setUp    func(s *system) error
	tearDown func(s *system) error
}{
	{"calm", 0.5 * benchCapacity, nil, nil, nil},
	{"bursts", 0.5 * benchCapacity, &load.Bursts{Every: 5 * time.Second, Length: time.Second, Factor: 4}, nil, nil},
	{
		"straggler", 0.5 * benchCapacity, nil,
		func(s *system) error { return s.setBehaviour("language-0-1", `{"latency_ms": 200, "token_ms": 100}`) },
		func(s *system) error { return s.setBehaviour("language-0-1", `{"latency_ms": 20, "token_ms": 10}`) },
	},
	{
		"dead", 0.5 * benchCapacity, nil,
		func(s *system) error { return s.setBehaviour("language-1-1", `{"hang": true}`) },
		func(s *system) error { return s.setBehaviour("language-1-1", `{"hang": false}`) },
	},
	{
		"cut", 0.4 * benchCapacity, nil,
		func(s *system) error {
			s.setCut([]string{"vm-g", "vm-h"}, s.otherVMs([]string{"vm-g", "vm-h"}), true, true)
			return nil
		},
		func(s *system) error { s.setCut(s.names, s.names, true, false); return nil },
	},
}

// BenchmarkPolicies compares the endpoint selection policies in each case, over several seeds:
//
//	go test ./scenario -run '^$' -bench Policies -benchtime 1x -timeout 60m
//
// GODWITPLANK_MEASURE_SEEDS sets the number of seeds (default 3) and GODWITPLANK_MEASURE_POLICIES the policies, separated
// by commas (default all). Each seed runs the policies in a random order, on a new system for each.
func BenchmarkPolicies(b *testing.B) {
	seeds := uint64(3)
	if text := os.Getenv("GODWITPLANK_MEASURE_SEEDS"); text != "" {
		if _, err := fmt.Sscan(text, &seeds); err != nil {
			b.Fatal(err)
		}
	}
	policies := []string{"predicted", "least_in_flight", "round_robin", "random"}
	if text := os.Getenv("GODWITPLANK_MEASURE_POLICIES"); text != "" {
		policies = strings.Split(text, ",")
	}
	results := make(map[[2]string][]*load.Result)
	for range b.N {
		for seed := range seeds {
			order := slices.Clone(policies)
			rand.New(rand.NewPCG(seed, 9)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			for _, policy := range order {
				benchmarkPolicy(b, policy, seed+1, results)
			}
		}
	}
	for _, c := range benchCases {
		for _, policy := range policies {
			printSummary(c.name, policy, results[[2]string{c.name, policy}])
		}
	}
}

func printSummary(name, policy string, results []*load.Result) {
	var missedPercent, endpointTime, latencyP95, firstTokenP95, unusedCalls []float64
	refusals := make(map[string]int64)
	for _, r := range results {
		missedPercent = append(missedPercent, 100*(1-r.Attainment))
		endpointTime = append(endpointTime, r.EndpointMSPerAnswer())
		latencyP95 = append(latencyP95, r.Latency.P95)
		firstTokenP95 = append(firstTokenP95, r.FirstToken.P95)
		unusedCalls = append(unusedCalls, float64(r.UnusedCalls))
		for kind, n := range r.Refusals {
			refusals[kind] += n
		}
	}
	fmt.Printf("%-9s %-15s missed %s %%, endpoint time %s ms, p95 %s ms, first token p95 %s ms, unused calls %s, refusals %v\n",
		name, policy, formatMedianAndRange(missedPercent), formatMedianAndRange(endpointTime), formatMedianAndRange(latencyP95), formatMedianAndRange(firstTokenP95), formatMedianAndRange(unusedCalls), refusals)
}

// formatMedianAndRange formats the median, the minimum and the maximum. It sorts values.
func formatMedianAndRange(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", values[len(values)/2], values[0], values[len(values)-1])
}

// benchmarkPolicy runs all cases with one policy on a new system and appends the results by case and policy.
func benchmarkPolicy(b *testing.B, policy string, seed uint64, results map[[2]string][]*load.Result) {
	b.Helper()
	s := newSystem(b.TempDir())
	s.extraFlags = []string{"--policy", policy, "--log_level", "warn"}
	defer s.close()
	check := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	topology := topologies["eight"]
	check(s.startVMs(topology.vmSpecs))
	document, err := os.ReadFile(filepath.Join(sourceDir, "..", "example", "document.yaml"))
	check(err)
	check(eventually(defaultTimeout, func() error { _, err := s.createGroup("vm-a", topology.voters); return err }))
	check(eventually(defaultTimeout, func() error { _, err := s.submit("vm-a", document, firstChangeID); return err }))
	config := filepath.Join(s.dir, "standins.yaml")
	check(os.WriteFile(config, []byte(benchStandinConfig(s)), 0o640))
	check(s.startStandins(config))
	for _, name := range s.names {
		check(s.waitUntilServing(name, 12+benchLanguageEndpoints))
	}
	for _, c := range benchCases {
		runLoad(b, s, seed, 2*time.Second, c.rate, nil) // warm-up
		if c.setUp != nil {
			check(c.setUp(s))
		}
		r := runLoad(b, s, seed, benchDuration, c.rate, c.bursts)
		if c.tearDown != nil {
			check(c.tearDown(s))
		}
		results[[2]string{c.name, policy}] = append(results[[2]string{c.name, policy}], r)
		fmt.Printf("seed %d %s %s: missed %.2f %%, %.1f ms of endpoint time per response, attempts %v, refusals %v\n", seed, c.name, policy, 100*(1-r.Attainment), r.EndpointMSPerAnswer(), r.Attempts, r.Refusals)
	}
}

// runLoad sends rate requests per second, half of them plain and half streamed, and adds the change of the VMs' counters
// to the result.
func runLoad(b *testing.B, s *system, seed uint64, duration time.Duration, rate float64, bursts *load.Bursts) *load.Result {
	b.Helper()
	d := &load.Description{Seed: seed, Duration: duration}
	for _, name := range s.names {
		d.Addrs = append(d.Addrs, netip.MustParseAddrPort(s.vms[name].addr("callers_addr")))
	}
	for _, tokens := range []bool{false, true} {
		d.Streams = append(d.Streams, load.Stream{
			Pipeline: "supply_notice", WorkspaceKey: "crews-key", Rate: rate / 2, Bursts: bursts, Streamed: tokens, DeadlineMS: 2000,
		})
	}
	before := s.readCounts(b)
	r := &load.Runner{Description: d, Clock: timer.System}
	result, err := r.Run(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // until every VM has the counters of the others
	result.SetUsage(before, s.readCounts(b))
	return result
}

func (s *system) readCounts(b *testing.B) *load.Counters {
	b.Helper()
	c := &load.Counters{}
	if err := s.callOperators("vm-a", "GET", "/v1/spend", nil, "", &c.Spend); err != nil {
		b.Fatal(err)
	}
	for _, name := range s.names {
		response, err := httpClient.Get("http://" + s.vms[name].addr("operators_addr") + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		if err := c.ReadMetrics(response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
	return c
}
