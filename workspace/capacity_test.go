package workspace

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequestGrants measures one call on the leader, by number of VMs and of workspaces in use on the requesting VM.
func BenchmarkRequestGrants(b *testing.B) {
	for _, size := range [][2]int{{8, 5}, {30, 50}, {420, 5}, {420, 50}} {
		b.Run(fmt.Sprintf("vms=%d/workspaces=%d", size[0], size[1]), func(b *testing.B) {
			broker := &Broker{}
			now := time.Unix(1000, 0)
			broker.Reset(now)
			var names []string
			for i := range size[0] {
				names = append(names, fmt.Sprintf("vm-%d", i))
			}
			var demands []Demand
			for i := range size[1] {
				demands = append(demands, Demand{Workspace: fmt.Sprintf("w-%d", i), Rate: 1, Concurrency: 1})
			}
			limits := func(string) Amount { return Amount{1000, 400} }
			for _, name := range names {
				broker.RequestGrants(now, name, names, limits, demands)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				broker.RequestGrants(now, names[i%len(names)], names, limits, demands)
			}
		})
	}
}
