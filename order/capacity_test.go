package order

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkLedger measures the time to claim and finish a call, and the heap memory per stored record.
func BenchmarkLedger(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := heapBytes()
			l := &Ledger{}
			for i := range records {
				completeCall(l, i)
			}
			used := heapBytes() - before
			i := records
			for b.Loop() {
				completeCall(l, i)
				i++
			}
			b.ReportMetric(float64(used)/float64(records), "heap_bytes/record")
			runtime.KeepAlive(l)
		})
	}
}

func completeCall(l *Ledger, i int) {
	key := &Key{Workspace: "workspace", Key: fmt.Sprintf("b9f2a3a0-0000-4000-8000-%012d", i), Stage: "order"}
	c := &Change{Action: Action_CLAIM, Key: key, Attempt: 1, Claim: key.Key, InputSha256: key.Key + key.Key, OwnerVm: "vm-a", ValidMs: 4000}
	l.Apply(int64(i), c)
	l.Apply(int64(i), &Change{Action: Action_FINISH, Key: key, Attempt: 1, Claim: key.Key, Outcome: State_DONE, Answer: make([]byte, 200)})
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
