package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one request of a client, sent on a channel of its own.
type request struct {
	id, method, path string
	headers          map[string]string
	body             string
	deadline         time.Duration
}

const clientHost = "pule25.example"

// result is what the client saw.
type result struct {
	status int
	seal   string
	body   []byte
	err    error
}

// send sends a request to an entry machine and reads the whole answer.
func (q *request) send(entry *machine) result {
	conn, err := net.DialTimeout("tcp", entry.settings["Listen.Front"], time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return result{err: err}
	}
	return readResult(bufio.NewReader(conn), q.method)
}

// text returns the request as it is sent.
func (q *request) text() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\n", q.method, q.path, clientHost, q.id, q.deadline.Milliseconds())
	for name, value := range q.headers {
		text += name + ": " + value + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
}

// readResult reads one whole answer.
func readResult(reader *bufio.Reader, method string) result {
	r, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return result{status: r.StatusCode, seal: r.Header.Get(protocol.Seal), body: body, err: err}
}
