package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/head"
)

// listen starts an endpoint that writes a response to each request until the test ends.
func listen(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(c, response)
				}
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// A response with a malformed head is no answer, whichever way the call is sent. A sound one with unusual names is.
func TestMalformedHead(t *testing.T) {
	call := godwitplank.StageCall{RequestID: "r", Stage: "s", Attempt: 1, Input: json.RawMessage(`1`)}
	body, err := json.Marshal(godwitplank.StageAnswer{RequestID: "r", Stage: "s", Attempt: 1, Output: json.RawMessage(`2`)})
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient()
	ways := map[string]func(ctx context.Context, addr netip.AddrPort) (godwitplank.StageAnswer, error){
		"call": func(ctx context.Context, addr netip.AddrPort) (godwitplank.StageAnswer, error) {
			return c.Call(ctx, addr, call)
		},
		"call once": func(ctx context.Context, addr netip.AddrPort) (godwitplank.StageAnswer, error) {
			return c.CallOnce(ctx, addr, call, func() bool { return true })
		},
		"stream": func(ctx context.Context, addr netip.AddrPort) (godwitplank.StageAnswer, error) {
			return c.Stream(ctx, addr, call, StreamTimeouts{Idle: time.Second, OnTimeout: func() bool { return true }}, func(godwitplank.StageToken) {})
		},
	}
	for _, r := range []struct {
		text  string
		whole bool
	}{
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: a\r\n", true},
		{"HTTP/1.0 200\r\n", true},
		{"HTTP/1.1 200 OK\r\nX Own: a\r\n", false},
		{"HTTP/1.1 200 OK\r\nX-Own : a\r\n", false},
		{"HTTP/1.1 200 OK\r\nX\x01Own: a\r\n", false},
		{"HTTP/2.0 200 OK\r\n", false},
		{"HTTP/1.1 000 Unknown\r\n", false},
		{"HTTP/1.1 600 Unknown\r\n", false},
		{"HTTP/1.1 101 Switching Protocols\r\n", false},
	} {
		addr := listen(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.text, len(body), body))
		for way, send := range ways {
			t.Run(fmt.Sprintf("%s %q", way, r.text), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				answer, err := send(ctx, addr)
				if r.whole {
					is.NoErr(err)
					is.Equal(string(answer.Output), "2")
					return
				}
				var e *Error
				is.True(errors.As(err, &e))
				is.Equal(e.Reason, Mismatched)
				var malformed *head.Error
				is.True(errors.As(err, &malformed))
				is.Equal(string(answer.Output), "")
			})
		}
	}
}
