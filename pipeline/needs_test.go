package pipeline

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// First calls and retries at the same time change the budget as they would one after the other. A refill that loaded and
// stored the value lost retries taken in between.
func TestRetryBudgetIsExact(t *testing.T) {
	is := is.New(t)
	const callers, rounds = 8, 2000
	p := &poolStat{}
	var group sync.WaitGroup
	taken := make([]int64, callers)
	for i := range callers {
		group.Go(func() {
			for range rounds {
				if p.takeRetry() {
					taken[i]++
				}
				p.refillRetries()
			}
		})
	}
	group.Wait()
	total := int64(0)
	for _, n := range taken {
		total += n
	}
	is.True(total*retryCost <= retryBurst+callers*rounds*retryRefill)
}
