package event

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with the number of refused requests, and against skipped lines that nobody learns of.
func TestSampler(t *testing.T) {
	is := is.New(t)
	s := &Sampler{}
	now := time.Unix(0, 0)
	written, skipped := 0, int64(0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if n, ok := s.Allow(now); ok {
			written++
			skipped += n
		}
	}
	is.True(written <= 11*linesPerSample)
	now = now.Add(sampleInterval)
	n, ok := s.Allow(now)
	is.True(ok)
	is.Equal(int64(written+1)+skipped+n, int64(1001))
}
