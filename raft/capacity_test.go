package raft

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkCommit measures the CPU time of one committed entry summed over all replicas, without disk and network, and
// the bytes that the leader sends for it.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			s := newSimulation(1, voters, 0)
			s.chaos = false
			leader := 0
			for leader = 0; s.nodes[leader].core.role != Leader; leader = (leader + 1) % voters {
				s.step()
			}
			leaderNode := s.nodes[leader]
			data := make([]byte, 300)
			sentBytes, committed := 0, 0
			for b.Loop() {
				leaderNode.core.Propose(data)
				leaderNode.processOutput()
				for len(s.network) > 0 {
					for _, m := range s.network {
						if m.From == leaderNode.disk.id {
							sentBytes += proto.Size(m)
						}
					}
					s.deliver()
				}
				committed++
			}
			b.ReportMetric(float64(sentBytes)/float64(committed), "leader_bytes/entry")
		})
	}
}
