package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Times of the stand-in for a model runner: to the first event, and between two.
const (
	firstEvent = 20 * time.Millisecond
	eventPause = 10 * time.Millisecond
	events     = 3
)

// modelRunner is a stand-in for a model runner. Each event of its streams names the requests whose results it was given.
type modelRunner struct {
	*runner
	results *results
	seal    atomic.Int64
}

func (m *modelRunner) serve(c *channel, r *http.Request, _ []byte) bool {
	id := r.Header.Get("Request-Id")
	script := m.deployment.script
	if _, ok := r.Header["Input-Count"]; !ok {
		c.send(response(http.StatusBadRequest, http.Header{"Request-Id": {id}, "Not-Executed": {"1"}}, nil))
		return true
	}
	var owners []string
	gone, foreign := false, ""
	for _, h := range strings.Split(r.Header.Get("Input-Count"), ",") {
		if h == "" {
			continue
		}
		found, exists := m.results.find(h)
		gone = gone || !exists
		owners = append(owners, found.request)
		if found.request != id {
			foreign = h
		}
	}
	if foreign != "" {
		script.breakRule("MIXED, a request is given inputs of another", "request %s reaches %s with the result %s, made for %v; exists: %v", id, m.id, foreign, owners, !gone)
	}
	if gone {
		script.note("%s: request %s gets 409, an input is gone", m.id, id)
		c.send(response(http.StatusConflict, http.Header{"Request-Id": {id}, "Not-Executed": {"1"}}, nil))
		return true
	}
	script.note("%s runs request %s with the results of %s", m.id, id, strings.Join(owners, " "))
	time.Sleep(firstEvent)
	c.send([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, m.id, m.seal.Add(1))))
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: made from the results of %s\n\n", i+1, strings.Join(owners, ","))
		c.send([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)))
		time.Sleep(eventPause)
	}
	c.send([]byte("0\r\n\r\n"))
	return true
}
