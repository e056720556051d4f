package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"godwitplank/connection"
)

// Whatever an endpoint streams, the events are its bytes in order, each ends with an empty line, and an id is on one line.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("id: 1\r2\n\nid:\x00\n\n: comment\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		reader := bufio.NewReader(bytes.NewReader(text))
		var read []byte
		for {
			e, err := readEvent(reader, connection.Memory{})
			if err != nil {
				is.Equal(errors.Is(err, io.EOF), len(read) == len(text))
				break
			}
			is.True(bytes.HasSuffix(e.raw, []byte("\n")))
			is.True(len(e.raw) <= maxEventBytes)
			is.True(!bytes.Contains([]byte(e.id), []byte("\n")))
			is.True(bytes.Contains(e.raw, []byte(e.id)))
			read = append(read, e.raw...)
		}
		is.True(bytes.HasPrefix(text, read))
	})
}
