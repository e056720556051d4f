package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// consumerKey is the key of all consumers, as in configuration.json.
const consumerKey = "9dnn2ctnfzs989anu6ws"

// consumer sends requests to the front of an entry machine, over kept channels of its own.
type consumer struct {
	script *script
	client *http.Client
	front  string
	host   string
}

func newConsumer(s *script, m *machine, host string) *consumer {
	return &consumer{script: s, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}, front: fmt.Sprintf("http://%s:%d", m.ip, frontPort), host: host}
}

// answer is what a consumer received.
type answer struct {
	id     string
	status int
	body   []byte
	err    error
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request with an id and reads the whole answer.
func (c *consumer) send(id, method, path string, deadline time.Duration, header map[string]string, body []byte) *answer {
	a := &answer{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = c.host
	r.Header.Set(names.RequestID, a.id)
	r.Header.Set("Key", consumerKey)
	r.Header.Set(names.Remaining, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c.script.note("consumer sends request %s %s %s, %d bytes, pieces %s", a.id, method, path, len(body), header[names.Pieces])
	response, err := c.client.Do(r)
	if err != nil {
		a.err = err
		c.script.note("request %s: no answer: %v", a.id, err)
		return a
	}
	a.status = response.StatusCode
	a.body, a.err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.script.note("request %s: status %d, %d bytes, error %v", a.id, a.status, len(a.body), a.err)
	return a
}
