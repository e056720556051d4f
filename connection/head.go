package connection

import (
	"errors"
	"io"
)

// MaxHeadBytes limits the head of an endpoint's response, including informational (1xx) responses before it.
const MaxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("the head of the response exceeds the size limit; check what the endpoint sends")

// HeadLimiter is a reader that fails once more than MaxHeadBytes were read since StartHead. An endpoint in trouble may send
// a head without end. The zero value with a reader does not limit.
type HeadLimiter struct {
	Reader io.Reader

	limited bool
	left    int
}

// StartHead begins to limit the bytes that are read.
func (l *HeadLimiter) StartHead() {
	l.limited, l.left = true, MaxHeadBytes
}

// EndHead ends the limit.
func (l *HeadLimiter) EndHead() {
	l.limited = false
}

// Read reads from the underlying reader within the limit.
func (l *HeadLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
