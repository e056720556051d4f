package piece

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures one job that is inserted and one offer that is taken while others wait, which the dispatcher of a
// service of hundreds of VMs does a thousand times a second.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := &queue{}
			for i := range waiting {
				q.insert(start, job(fmt.Sprint("w", i), 8, 1+i%2, 900+i).units()...)
			}
			for i := 0; b.Loop(); i++ {
				q.insert(start, job("j", 8, 0, 900).units()...)
				q.take(offer{now: start.Add(time.Millisecond), share: 8, maxPieces: 8, freeBytes: -1, allowed: allowAll})
			}
		})
	}
}
