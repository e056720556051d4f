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

// Sizes of the measured system: 8 VMs and 12 language runners, as at one user today.
const (
	measuredRunners = 12
	measuredSlots   = 4
	measuredTokens  = 20
	measuredLength  = 8 * time.Second
	// capacity is about what the runners answer in a second.
	capacity = 110
)

// measuredStandins describes the endpoints: runners whose speeds differ by up to 2.5 times.
func measuredStandins(s *system) string {
	var b strings.Builder
	fmt.Fprintf(&b, "token: endpoint-token\njournal: %s/journal\nseed: 1\npools:\n", s.dir)
	for i, pool := range []string{"encoders", "retrievers", "rerankers"} {
		for k, dc := range []string{"a", "b", "c", "d"} {
			fmt.Fprintf(&b, "  - {pool: %s, prefix: %s-%s, count: 1, data_centre: dc-%s, slots: 16, latency_ms: %d, announce: [\"%s\"]}\n",
				pool, strings.TrimSuffix(pool, "s"), dc, dc, 8+4*i, s.vms[s.names[2*k]].addr("callers_addr"))
		}
	}
	for i := range measuredRunners {
		k := i % 4
		fmt.Fprintf(&b, "  - {pool: language, prefix: language-%d, count: 1, data_centre: dc-%c, slots: %d, latency_ms: 20, token_ms: %d, tokens: %d, models: [m1], announce: [\"%s\"]}\n",
			i, 'a'+k, measuredSlots, 10+i*15/(measuredRunners-1), measuredTokens, s.vms[s.names[2*k]].addr("callers_addr"))
	}
	return b.String()
}

// measuredCases are what happens to the system, and the load, for each case.
var measuredCases = []struct {
	name   string
	rate   float64
	bursts *load.Bursts
	begin  func(s *system) error
	end    func(s *system) error
}{
	{"calm", 0.5 * capacity, nil, nil, nil},
	{"bursts", 0.5 * capacity, &load.Bursts{Every: 5 * time.Second, Length: time.Second, Factor: 4}, nil, nil},
	{
		"straggler", 0.5 * capacity, nil,
		func(s *system) error { return s.behave("language-0-1", `{"latency_ms": 200, "token_ms": 100}`) },
		func(s *system) error { return s.behave("language-0-1", `{"latency_ms": 20, "token_ms": 10}`) },
	},
	{
		"dead", 0.5 * capacity, nil,
		func(s *system) error { return s.behave("language-1-1", `{"hang": true}`) },
		func(s *system) error { return s.behave("language-1-1", `{"hang": false}`) },
	},
	{
		"cut", 0.4 * capacity, nil,
		func(s *system) error {
			s.cut([]string{"vm-g", "vm-h"}, s.others([]string{"vm-g", "vm-h"}), true, true)
			return nil
		},
		func(s *system) error { s.cut(s.names, s.names, true, false); return nil },
	},
}

// BenchmarkPolicies measures each policy of choice in each case, over some seeds, in one run:
//
//	go test ./scenario -run '^$' -bench Policies -benchtime 1x -timeout 60m
//
// GODWITPLANK_MEASURE_SEEDS is the number of seeds (3), GODWITPLANK_MEASURE_POLICIES the policies.
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
				measure(b, policy, seed+1, results)
			}
		}
	}
	for _, c := range measuredCases {
		for _, policy := range policies {
			printMeasure(c.name, policy, results[[2]string{c.name, policy}])
		}
	}
}

func printMeasure(name, policy string, results []*load.Result) {
	var missed, cost, p95, first, lost []float64
	refusals := make(map[string]int64)
	for _, r := range results {
		missed = append(missed, 100*(1-r.Attainment))
		cost = append(cost, r.HeldPerDone())
		p95 = append(p95, r.Latency.P95)
		first = append(first, r.FirstToken.P95)
		lost = append(lost, float64(r.Lost))
		for kind, n := range r.Refusals {
			refusals[kind] += n
		}
	}
	fmt.Printf("%-9s %-15s missed %s %%, endpoint time %s ms, p95 %s ms, first token p95 %s ms, lost calls %s, refusals %v\n",
		name, policy, spread(missed), spread(cost), spread(p95), spread(first), spread(lost), refusals)
}

// spread returns the median, and the least and the most.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", values[len(values)/2], values[0], values[len(values)-1])
}

// measure runs all cases on a fresh system with one policy.
func measure(b *testing.B, policy string, seed uint64, results map[[2]string][]*load.Result) {
	b.Helper()
	s := newSystem(b.TempDir())
	s.extra = []string{"--policy", policy, "--log_level", "warn"}
	defer s.close()
	check := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	kind := systems["eight"]
	check(s.add(kind.vms))
	document, err := os.ReadFile(filepath.Join(sourceDir, "..", "example", "document.yaml"))
	check(err)
	check(eventually(patience, func() error { _, err := s.createGroup("vm-a", kind.voters); return err }))
	check(eventually(patience, func() error { _, err := s.submit("vm-a", document, firstChange); return err }))
	config := filepath.Join(s.dir, "standins.yaml")
	check(os.WriteFile(config, []byte(measuredStandins(s)), 0o640))
	check(s.startStandins(config))
	for _, name := range s.names {
		check(s.serving(name, 12+measuredRunners))
	}
	for _, c := range measuredCases {
		runCase(b, s, seed, 2*time.Second, c.rate, nil) // warms up
		if c.begin != nil {
			check(c.begin(s))
		}
		r := runCase(b, s, seed, measuredLength, c.rate, c.bursts)
		if c.end != nil {
			check(c.end(s))
		}
		results[[2]string{c.name, policy}] = append(results[[2]string{c.name, policy}], r)
		fmt.Printf("seed %d %s %s: missed %.2f %%, %.1f ms for an answer, attempts %v, refusals %v\n", seed, c.name, policy, 100*(1-r.Attainment), r.HeldPerDone(), r.Attempts, r.Refusals)
	}
}

func runCase(b *testing.B, s *system, seed uint64, length time.Duration, rate float64, bursts *load.Bursts) *load.Result {
	b.Helper()
	d := &load.Description{Seed: seed, Duration: length}
	for _, name := range s.names {
		d.Callers = append(d.Callers, netip.MustParseAddrPort(s.vms[name].addr("callers_addr")))
	}
	for _, tokens := range []bool{false, true} {
		d.Streams = append(d.Streams, load.Stream{
			Pipeline: "supply_notice", WorkspaceKey: "crews-key", Rate: rate / 2, Bursts: bursts, Tokens: tokens, DeadlineMS: 2000,
		})
	}
	before := s.counts(b)
	r := &load.Runner{Description: d, Clock: timer.System}
	result, err := r.Run(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // the counts reach every VM
	result.Add(before, s.counts(b))
	return result
}

func (s *system) counts(b *testing.B) *load.Counts {
	b.Helper()
	c := &load.Counts{}
	if err := s.ask("vm-a", "GET", "/v1/spend", nil, "", &c.Spend); err != nil {
		b.Fatal(err)
	}
	for _, name := range s.names {
		response, err := callers.Get("http://" + s.vms[name].addr("operators_addr") + "/metrics")
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
