package gateway

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/connection"
)

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Events without an end were held without a charge, for every stream of a faulty endpoint.
func TestEventIsCharged(t *testing.T) {
	for name, c := range map[string]struct {
		input   io.Reader
		budget  int64
		err     error
		mostRaw int
	}{
		"an event without end":       {endlessReader{}, 1 << 30, errEventTooLong, 2*maxEventBytes + 2*eventStepBytes},
		"no memory for it":           {endlessReader{}, 64 << 10, connection.ErrNoMemory, 128 << 10},
		"a large event":              {strings.NewReader("data: " + strings.Repeat("x", 100<<10) + "\n\n"), 1 << 30, nil, 256 << 10},
		"small events cost no check": {strings.NewReader("id: 1\ndata: x\n\n"), 0, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			charged, largest := int64(0), int64(0)
			m := connection.Memory{
				Grow: func(n int64) error {
					if charged+n > c.budget {
						return connection.ErrNoMemory
					}
					charged += n
					largest = max(largest, charged)
					return nil
				},
				Shrink: func(n int64) { charged -= n },
			}
			e, err := readEvent(bufio.NewReader(c.input), m)
			is.True(errors.Is(err, c.err))
			is.True(largest <= int64(c.mostRaw))
			if e != nil {
				e.release(m)
			}
			is.Equal(charged, int64(0))
		})
	}
}
