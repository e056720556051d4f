package untrusted

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Limits of each process. The memory is that of the smallest entry VM of the target deployment.
const (
	memoryMB = 144
	maxFDs   = 300
	// fdBound leaves descriptors of maxFDs for connections to endpoints and other VMs.
	fdBound = 260
)

// Limits of requests in the configuration of the tests.
const (
	maxHeadBytes = 16384
	maxBodyBytes = 4194304
)

const (
	linkPort, operatorsPort, routesPort, readyPort, controlPort, callersPort = 7740, 7741, 8625, 8621, 8628, 8630
	// largeResponseBytes is the size of a response to a path that contains "large".
	largeResponseBytes = 2 << 20
	// answerTimeout is long enough for the slowest machine; it is no bound on the speed.
	answerTimeout = 20 * time.Second
)

// logBytes is how much of a log a failed test shows.
const logBytes = 1500

var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "godwitplank-untrusted-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "godwitplank/cmd/godwitplankd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot build godwitplankd:", err)
		return 1
	}
	return m.Run()
}

// process is one VM.
type process struct {
	name, ip string
	logPath  string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (p *process) addr(port int) string {
	return fmt.Sprintf("%s:%d", p.ip, port)
}

// system is an entry VM and a control VM with one endpoint for each service.
type system struct {
	subnet         string
	entry, control *process
	endpoints      map[string]*httptest.Server // by service, which is also the endpoint's id
	done           chan struct{}
	wg             sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn // hostile connections, held open until the end of the test
	dials int
}

// targets are the addresses that hostile callers reach.
func (s *system) targets() []string {
	return []string{s.entry.addr(routesPort), s.entry.addr(callersPort), s.control.addr(controlPort)}
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{subnet: fmt.Sprintf("127.88.%d", os.Getpid()%250), done: make(chan struct{})}
	dir := t.TempDir()
	t.Cleanup(func() { s.close(t) })
	s.control = s.start(t, dir, "control", ".1", []string{
		`callers_addr: ""`, fmt.Sprintf("control_addr: %q", s.subnet+".1:"+strconv.Itoa(controlPort)),
		fmt.Sprintf("data_dir: %q", filepath.Join(dir, "data")), `bootstrap: "true"`,
	})
	s.entry = s.start(t, dir, "entry", ".2", []string{
		fmt.Sprintf("callers_addr: %q", s.subnet+".2:"+strconv.Itoa(callersPort)),
		fmt.Sprintf("routes_addr: %q", s.subnet+".2:"+strconv.Itoa(routesPort)),
		fmt.Sprintf("ready_addr: %q", s.subnet+".2:"+strconv.Itoa(readyPort)),
	})
	s.endpoints = make(map[string]*httptest.Server)
	for _, service := range []string{"orders", "encoders", "resizers"} {
		s.endpoints[service] = httptest.NewServer(http.HandlerFunc(serveEndpoint))
	}
	s.wg.Go(s.announce)
	check(t, eventually(func() error { return s.put("/config", configuration()) }))
	check(t, eventually(func() error {
		_, err := s.send("/once/x", "")
		return err
	}))
	return s
}

// start runs a VM with maxFDs descriptors.
func (s *system) start(t *testing.T, dir, name, host string, lines []string) *process {
	t.Helper()
	p := &process{name: name, ip: s.subnet + host, logPath: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	lines = append(lines,
		fmt.Sprintf("vm: %q", p.ip), "data_centre: d", fmt.Sprintf("link_addr: %q", p.addr(linkPort)), fmt.Sprintf("operators_addr: %q", p.addr(operatorsPort)),
		fmt.Sprintf("join: %q", s.subnet+".1:"+strconv.Itoa(linkPort)), `hubs_only: "true"`, fmt.Sprintf("memory_mb: %q", strconv.Itoa(memoryMB)),
	)
	settings := filepath.Join(dir, name+".yaml")
	check(t, os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.Create(p.logPath)
	check(t, err)
	defer log.Close()
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" run --settings_file "$1"`, maxFDs), filepath.Join(binDir, "godwitplankd"), settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	check(t, p.cmd.Start())
	s.wg.Go(func() {
		_ = p.cmd.Wait()
		close(p.exited)
	})
	return p
}

func (s *system) close(t *testing.T) {
	close(s.done)
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	for _, p := range []*process{s.entry, s.control} {
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		if t.Failed() {
			text, _ := os.ReadFile(p.logPath)
			t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-logBytes):])
		}
	}
	s.wg.Wait()
	for _, endpoint := range s.endpoints {
		endpoint.CloseClientConnections()
		endpoint.Close()
	}
}

// announce announces the endpoints until the end of the test.
func (s *system) announce() {
	for i := 1; ; i++ {
		for service, endpoint := range s.endpoints {
			body, _ := json.Marshal(map[string]any{
				"Service": service, "Address": endpoint.Listener.Addr().String(), "Zone": "d", "Slots": 8, "State": "ready", "Seq": i, "born": 1,
			})
			_ = s.put("/instances/"+service, body)
		}
		select {
		case <-s.done:
			return
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// client sends from an address of its own, since limits per caller's address may apply to hostile callers.
func (s *system) client() *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.subnet + ".200")}}
	return &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

func (s *system) put(path string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+s.control.addr(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = s.do(req, http.StatusOK)
	return err
}

// send sends one ordinary request to a route and returns the body of its response.
func (s *system) send(path, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.entry.addr(routesPort)+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Host = "untrusted.example"
	req.Header.Set("Request-Id", "ordinary")
	return s.do(req, http.StatusOK)
}

// stageRequest returns a request to a route with stages.
func (s *system) stageRequest(path, pieces string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.entry.addr(routesPort)+path, nil)
	if err == nil {
		req.Host = "untrusted.example"
		req.Header.Set("Request-Id", "ordinary")
		req.Header.Set("Piece-Count", pieces)
	}
	return req, err
}

// sendPieces sends an ordinary request with pieces of two stages.
func (s *system) sendPieces(pieces string) (string, error) {
	req, err := s.stageRequest("/wide/x", pieces)
	if err != nil {
		return "", err
	}
	return s.do(req, http.StatusOK)
}

func (s *system) do(req *http.Request, status int) (string, error) {
	client := s.client()
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != status {
		err = fmt.Errorf("status %d instead of %d: %.300s", resp.StatusCode, status, body)
	}
	return string(body), err
}

// ask sends one ordinary request to each target.
func (s *system) ask() error {
	if body, err := s.send("/once/x", "hello"); err != nil || body != "answer" {
		return fmt.Errorf("routes_addr: %q, %w", body, err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.entry.addr(callersPort)+"/v1/pipelines/none/requests", strings.NewReader(`{"input":1}`))
	if err != nil {
		return err
	}
	if body, err := s.do(req, http.StatusUnauthorized); err != nil {
		return fmt.Errorf("callers_addr: %q, %w", body, err)
	}
	if req, err = http.NewRequest(http.MethodGet, "http://"+s.control.addr(controlPort)+"/config", nil); err != nil {
		return err
	}
	if _, err := s.do(req, http.StatusOK); err != nil {
		return fmt.Errorf("control_addr: %w", err)
	}
	return nil
}

// checkHeld checks, while the hostile connections are still open, that both processes run within their bounds and answer.
func (s *system) checkHeld(t *testing.T) {
	t.Helper()
	if err := eventually(s.ask); err != nil {
		t.Errorf("no answer to an ordinary request: %v", err)
	}
	for _, p := range []*process{s.control, s.entry} {
		select {
		case <-p.exited:
			t.Errorf("%s has ended", p.name)
			continue
		default:
		}
		peak, fds := p.peakMB(), p.openFDs()
		t.Logf("%s: peak %d MB, %d descriptors", p.name, peak, fds)
		if peak > memoryMB {
			t.Errorf("%s had %d MB resident, which is more than its memory of %d MB", p.name, peak, memoryMB)
		}
		if fds > fdBound {
			t.Errorf("%s has %d descriptors open, more than %d of its %d", p.name, fds, fdBound, maxFDs)
		}
	}
}

// peakMB returns the highest resident memory of the process so far.
func (p *process) peakMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

func (p *process) openFDs() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

func configuration() []byte {
	stage := map[string]any{"Service": "encoders", "Bytes": 1000}
	wide := map[string]any{"Service": "resizers", "Bytes": 1}
	text, err := json.Marshal(map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{"Name": "once", "Host": "untrusted.example", "PathPrefix": "/once/", "RouteType": "non_idempotent", "TimeoutMs": 10000, "Service": "orders"},
			map[string]any{"Name": "staged", "Host": "untrusted.example", "PathPrefix": "/staged/", "RouteType": "non_idempotent", "TimeoutMs": 3000, "Service": "orders", "Stages": []any{stage}},
			map[string]any{"Name": "wide", "Host": "untrusted.example", "PathPrefix": "/wide/", "RouteType": "non_idempotent", "TimeoutMs": 10000, "Service": "orders", "Stages": []any{wide, wide}},
		},
		"Services": []any{
			map[string]any{"Name": "orders", "MaxConnections": 200},
			map[string]any{"Name": "encoders", "MaxConnections": 200, "Pieces": map[string]any{
				"Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 10, "ItemMs": 1, "HeadroomMb": 10, "HandleS": 4,
			}},
			map[string]any{"Name": "resizers", "MaxConnections": 200, "Pieces": map[string]any{
				"Slots": 4, "Queue": 2, "Batch": 1000, "CallMs": 200, "ItemMs": 0.2, "HeadroomMb": 100, "HandleS": 4,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": maxHeadBytes, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// largeResponse is the body of a large response.
var largeResponse = bytes.Repeat([]byte("x"), largeResponseBytes)

func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Seal", "seal")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch {
	case r.URL.Path == "/stage-run":
		serveStage(w, r)
	case strings.Contains(r.URL.Path, "large"):
		_, _ = w.Write(largeResponse)
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	}
}

// handles counts the results of stages, each of which has a handle of its own.
var handles atomic.Int64

func serveStage(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Items []struct {
			ID    string `json:"Id"`
			Piece int
		}
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	var response struct {
		Items []map[string]string
	}
	for _, item := range request.Items {
		response.Items = append(response.Items, map[string]string{"Handle": fmt.Sprintf("127.0.0.1:1/%s_%d_%d", item.ID, item.Piece, handles.Add(1))})
	}
	_ = json.NewEncoder(w).Encode(response)
}

// eventually repeats condition until it returns nil, or returns its last error after answerTimeout.
func eventually(condition func() error) error {
	start := time.Now()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Since(start) > answerTimeout {
			return errors.Join(errors.New("condition not met"), err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
