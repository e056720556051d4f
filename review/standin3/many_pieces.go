package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The stages of this case have the figures of notice-board and crew-roster in large/dhwa-fleet-large.toml. The entry VMs have the memory of
// the largest entry machines there, which are those that dispatch stages.
const (
	firstRunners  = 36
	secondRunners = 42
	edgeMemoryMB  = 424
	hugePieces    = "9900,2800"
	deskCallers   = 8
	deskTime      = 300 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	watchPeriod   = 10 * time.Millisecond
)

// pieceRunner is a sound runner of a stage.
type pieceRunner struct {
	record  *record
	id      string
	address string
	perItem time.Duration
	made    atomic.Int64
	turn    sync.Mutex
}

func (p *pieceRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, p.id) {
		return
	}
	items, size := countItems(r.Body)
	if r.URL.Path != names.Run {
		return
	}
	p.turn.Lock()
	time.Sleep(150*time.Millisecond + time.Duration(items)*p.perItem)
	p.turn.Unlock()
	p.record.printf("runner %s made %d pieces of a call of %d bytes", p.id, items, size)
	type item struct{ Handle string }
	var out struct{ Items []item }
	for range items {
		out.Items = append(out.Items, item{fmt.Sprintf("%s/%011x", p.address, p.made.Add(1)+1<<40)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// countItems reads the body of a call without keeping it, and returns the number of its items and of its bytes.
func countItems(body io.Reader) (items int, size int64) {
	reader := bufio.NewReader(body)
	for {
		part, err := reader.ReadSlice('{')
		size += int64(len(part))
		if next, _ := reader.Peek(5); bytes.Equal(next, []byte(`"Id":`)) {
			items++
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return items, size
		}
	}
}

// deskRunner answers each request after deskTime.
type deskRunner struct {
	record *record
	id     string
	runs   sync.Map
}

func (d *deskRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, d.id) {
		return
	}
	id := r.Header.Get(names.RequestID)
	d.runs.Store(id, true)
	time.Sleep(deskTime)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "seal-"+id)
	_, _ = io.WriteString(w, "account for "+id)
}

// watchMemory kills the process of a VM that uses more memory than its machine has, as the platform does, and starts it again.
func (s *system) watchMemory(ctx context.Context, v *vm, kills *atomic.Int64) {
	most := 0
	for ctx.Err() == nil {
		if used := residentMB(v.command.Process.Pid); used > edgeMemoryMB {
			s.record.printf("%s uses %d MB of %d MB: the platform kills it", v.name, used, edgeMemoryMB)
			s.signal(v, syscall.SIGKILL)
			kills.Add(1)
			<-v.ended
			time.Sleep(restartDelay)
			if s.startProcess(v) != nil {
				return
			}
		} else if used > most+20 {
			most = used
			s.record.printf("%s uses %d MB", v.name, used)
		}
		time.Sleep(watchPeriod)
	}
}

func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// useKeptChannel sends one request after the other on a kept channel until ctx ends. It counts those that were passed on to the runner
// and whose channel was closed without an answer.
func (s *system) useKeptChannel(ctx context.Context, front *vm, name string, desk *deskRunner, lost *atomic.Int64) {
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", front.ip, s.port+routesPort), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(c)
		for first := true; ctx.Err() == nil; first = false {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			_, _ = fmt.Fprintf(c, "GET /account/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Remaining: 3000\r\n\r\n", id)
			_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
			r, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
			if err != nil {
				if _, passedOn := desk.runs.Load(id); passedOn && !first {
					lost.Add(1)
					s.record.printf("%s at %s: LOST: it was passed on to the runner, and the kept channel was closed without an answer", id, front.name)
				}
				break
			}
		}
		_ = c.Close()
	}
}

// playManyPieces plays a caller whose request has thousands of pieces, beside callers with kept channels.
func playManyPieces(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.limits["Limits.MemoryMb"] = strconv.Itoa(edgeMemoryMB)
	ctx, cancel := context.WithCancel(context.Background())
	desk := &deskRunner{record: rec, id: "i-desk"}
	model := &shortStream{id: "i-llm", runs: &atomic.Int64{}}
	err = s.start(2, func() error { return s.startPieceRunners(ctx, desk, model) })
	if err != nil {
		cancel()
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than ContactMs, so that the machines are in touch
	var lost, kills atomic.Int64
	var group sync.WaitGroup
	for _, v := range s.entry {
		group.Go(func() { s.watchMemory(ctx, v, &kills) })
		for i := range deskCallers {
			group.Go(func() { s.useKeptChannel(ctx, v, fmt.Sprintf("account-%s-%d", v.name, i+1), desk, &lost) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.sendHugeRequest(s.entry[0])
	}
	time.Sleep(10 * time.Second)
	cancel()
	group.Wait()
	rec.printf("%d processes used more memory than their machine has; %d requests of kept channels were lost", kills.Load(), lost.Load())
	return kills.Load() > 0 && lost.Load() > 3, nil
}

// startPieceRunners submits the configuration and starts the runners.
func (s *system) startPieceRunners(ctx context.Context, desk *deskRunner, model *shortStream) error {
	if err := s.configure("many_pieces"); err != nil {
		return err
	}
	if _, err := s.startRunner(ctx, 0, model.id, "llm", zones[0], model); err != nil {
		return err
	}
	if _, err := s.startRunner(ctx, 1, desk.id, "desk", zones[1], desk); err != nil {
		return err
	}
	for i := range firstRunners + secondRunners {
		service, perItem := "notice-board", 3200*time.Microsecond
		if i >= firstRunners {
			service, perItem = "crew-roster", 1900*time.Microsecond
		}
		p := &pieceRunner{record: s.record, id: fmt.Sprintf("i-%s-%d", service, i), perItem: perItem}
		p.address = s.runnerAddress(10 + i)
		if _, err := s.startRunner(ctx, 10+i, p.id, service, zones[i%len(zones)], p); err != nil {
			return err
		}
	}
	return nil
}

// sendHugeRequest sends one request with thousands of pieces in the background.
func (s *system) sendHugeRequest(front *vm) {
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/notice/1", front.ip, s.port+routesPort), strings.NewReader("prompt"))
	request.Host = "notice.example"
	for name, value := range map[string]string{
		names.RequestID: "huge-1", "Model": "m", names.Tokens: "100,30", names.Prefix: "5c1e07a2:100", names.Remaining: "8000",
		names.Pieces: hugePieces, names.PieceKey: "7c1e07a291bd",
	} {
		request.Header.Set(name, value)
	}
	s.record.printf("a caller sends huge-1 with Piece-Count %s to %s", hugePieces, front.name)
	go func() {
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			s.record.printf("huge-1 has no answer: %v", err)
			return
		}
		_ = r.Body.Close()
		s.record.printf("huge-1 has status %d", r.StatusCode)
	}()
}
