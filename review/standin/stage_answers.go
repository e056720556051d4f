package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the stage service and of the model service.
const (
	stageCallTime  = 150 * time.Millisecond
	stagePieceTime = 16 * time.Millisecond
	handleLifetime = 4 * time.Second
	firstEventTime = 64 * time.Millisecond
	eventGap       = 15 * time.Millisecond
	streamEvents   = 4
	// answersPerExtra is the number of answers of which one is written a second time: under 3 in 100.
	answersPerExtra = 36
	// minArrivalGap and arrivalSpread set the time between two requests, 170 ms on average: the stage server is nearly always busy.
	minArrivalGap = 110 * time.Millisecond
	arrivalSpread = 120 * time.Millisecond
	playTime      = 60 * time.Second
)

// result of a stage, held by its server.
type stageResult struct {
	requestID    string
	stage, piece int
	expires      time.Time
}

// stagePlay is the state of the servers in the case of stage answers.
type stagePlay struct {
	d *deployment

	mu      sync.Mutex
	results map[string]*stageResult // by handle; freed and expired results are removed
	makers  map[string]string       // request id by handle, also of freed results
	next    int
	// answers counts the answers of the stage server, working the calls in work.
	answers, working, extras int
	// foreignLive and foreignGone count the requests that were given inputs of another request.
	foreignLive, foreignGone int
	ran                      int
}

// stageAnswers checks MIXED for inputs. A stage server sometimes writes an answer a second time, late.
func stageAnswers(d *deployment) (bool, error) {
	p := &stagePlay{d: d, results: make(map[string]*stageResult), makers: make(map[string]string)}
	stageServer, err := d.newServer("i-prep-1", "prep", 21, 1, nil)
	if err != nil {
		return false, err
	}
	stageServer.answer = func(c *channel, r *http.Request, body []byte) []byte { return p.answerStage(stageServer, c, r, body) }
	model, err := d.newServer("i-model-1", "model", 22, 128, nil)
	if err != nil {
		return false, err
	}
	model.answer = func(c *channel, r *http.Request, _ []byte) []byte { return p.answerModel(model, c, r) }
	if err := d.startMachines(3, 2, stagesConfiguration); err != nil {
		return false, err
	}
	stageServer.startBeats()
	model.startBeats()
	probe := func() error {
		if r := stageRequest("warm-up-" + fmt.Sprint(time.Now().UnixNano())).send(d.entries[0]); r.status != http.StatusOK {
			return fmt.Errorf("warm-up request: status %d, error %v", r.status, r.err)
		}
		return nil
	}
	if err := eventually(startTimeout, probe); err != nil {
		return false, err
	}
	served, failed := p.sendRequests()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.record("answers of the stage server: %d, written a second time: %d; requests served: %d, failed: %d; runs at the model server: %d", p.answers, p.extras, served, failed, p.ran)
	d.record("runs given a result of another request that exists: %d; requests given one that is gone: %d", p.foreignLive, p.foreignGone)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return p.foreignLive > 0, nil
}

func stageRequest(id string) *request {
	return &request{
		id: id, method: http.MethodPost, path: "/notice/1", deadline: 8 * time.Second, body: "notice",
		headers: map[string]string{"Model": "m", protocol.Tokens: "400,40", protocol.Prefix: "5c1e07a2:300," + id[len(id)-8:] + ":100", protocol.Pieces: "1", protocol.PieceKey: id},
	}
}

// sendRequests sends requests through the entry machines by turns.
func (p *stagePlay) sendRequests() (served, failed int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	started := time.Now()
	for n := 0; time.Since(started) < playTime; n++ {
		id := fmt.Sprintf("req%05d%08x", n, n)
		group.Go(func() {
			r := stageRequest(id).send(p.d.entries[n%len(p.d.entries)])
			p.d.record("client: request %s answered: status %d, %d bytes, error %v", id, r.status, len(r.body), r.err)
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK && r.err == nil {
				served++
			} else {
				failed++
			}
		})
		time.Sleep(minArrivalGap + rand.N(arrivalSpread))
	}
	group.Wait()
	return served, failed
}

// answerStage runs a call of the stage server. With trouble, it writes one answer in answersPerExtra again, extraDelay later.
func (p *stagePlay) answerStage(s *server, c *channel, r *http.Request, body []byte) []byte {
	switch r.URL.Path {
	case protocol.RunPath:
		return p.runStage(s, c, body)
	case protocol.FreePath:
		var call struct{ Handles []string }
		if json.Unmarshal(body, &call) != nil {
			return []byte(s.response(http.StatusBadRequest, "Not-Executed: 1\r\n", ""))
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range call.Handles {
			delete(p.results, h)
		}
		p.d.record("stage server: freed %s", strings.Join(call.Handles, " "))
		return []byte(s.response(http.StatusOK, "", ""))
	}
	return []byte(s.response(http.StatusOK, "Instance-Id: "+s.id+"\r\n", ""))
}

func (p *stagePlay) runStage(s *server, c *channel, body []byte) []byte {
	var call struct {
		Items []struct {
			ID           string `json:"Id"`
			Stage, Piece int
		}
	}
	if json.Unmarshal(body, &call) != nil {
		return []byte(s.response(http.StatusBadRequest, "Not-Executed: 1\r\n", ""))
	}
	p.mu.Lock()
	if p.working >= s.slots {
		p.mu.Unlock()
		return []byte(s.response(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""))
	}
	p.working++
	p.mu.Unlock()
	time.Sleep(stageCallTime + time.Duration(len(call.Items))*stagePieceTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.working--
	items := make([]map[string]string, len(call.Items))
	var log []string
	for i, item := range call.Items {
		p.next++
		handle := fmt.Sprintf("%s/%08x", s.address, p.next)
		p.results[handle] = &stageResult{requestID: item.ID, stage: item.Stage, piece: item.Piece, expires: time.Now().Add(handleLifetime)}
		p.makers[handle] = item.ID
		items[i] = map[string]string{"Handle": handle}
		log = append(log, fmt.Sprintf("%s for %s stage %d piece %d", handle, item.ID, item.Stage, item.Piece))
	}
	text, err := json.Marshal(map[string]any{"Items": items})
	if err != nil {
		return nil
	}
	answer := []byte(s.response(http.StatusOK, "Content-Type: application/json\r\nServer-Load: 1,0,2\r\n", string(text)))
	p.answers++
	p.d.record("stage server: channel %s: answer %d: %s", c.RemoteAddr(), p.answers, strings.Join(log, ", "))
	if p.d.trouble && p.answers%answersPerExtra == 0 {
		c.extra = answer
		p.extras++
		p.d.record("stage server: channel %s: answer %d will be written again", c.RemoteAddr(), p.answers)
	}
	return answer
}

// answerModel runs a request of the model server, if all its inputs exist.
func (p *stagePlay) answerModel(s *server, c *channel, r *http.Request) []byte {
	id := r.Header.Get(protocol.RequestID)
	if r.Method == http.MethodGet || id == "" {
		return []byte(s.response(http.StatusOK, "Instance-Id: "+s.id+"\r\n", ""))
	}
	inputs, present := r.Header[protocol.Inputs]
	if !present {
		return []byte(s.response(http.StatusBadRequest, "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n", ""))
	}
	if !p.fetchInputs(id, inputs[0]) {
		return []byte(s.response(http.StatusConflict, "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n", ""))
	}
	time.Sleep(firstEventTime)
	head := "HTTP/1.1 200 OK\r\n" + sealed(r) + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return nil
	}
	for i := range streamEvents {
		event := fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i+1, id, i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil
		}
		time.Sleep(eventGap)
	}
	return []byte("0\r\n\r\n")
}

// fetchInputs reads the inputs of a request. It returns false if one is gone, so that the request is not run.
func (p *stagePlay) fetchInputs(id, inputs string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	foreign, gone := "", false
	for _, handle := range strings.Split(inputs, ",") {
		handle = strings.TrimSpace(handle)
		if held := p.results[handle]; held == nil || time.Now().After(held.expires) {
			gone = true
		}
		if maker := p.makers[handle]; maker != id {
			foreign += fmt.Sprintf(" %s made for %s", handle, maker)
		}
	}
	switch {
	case foreign != "" && gone:
		p.foreignGone++
		p.d.record("model server: request %s was given%s, which is gone: refused with 409", id, foreign)
	case foreign != "":
		p.foreignLive++
		p.d.record("model server: BROKEN: request %s runs with%s", id, foreign)
	case gone:
		p.d.record("model server: request %s: an input is gone: refused with 409", id)
	}
	if !gone {
		p.ran++
	}
	return !gone
}
