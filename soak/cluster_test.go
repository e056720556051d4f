package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Listening ports, the same on every VM, because each VM has its own loopback address.
const (
	linkPort, operatorsPort, routesPort, readyPort, controlPort, metricsPort = 7740, 7741, 8625, 8621, 8628, 9464
)

// stopGrace is the time that a VM has to exit after SIGTERM. The platform then kills it.
const stopGrace = 6 * time.Second

// binDir is the directory of the godwitplankd binary that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "godwitplank-soak-")
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

// process runs one VM as a godwitplankd process that can be stopped and restarted.
type process struct {
	name         string
	ip           string
	zone         string
	isControl    bool // has a data directory and serves the control API
	settingsFile string
	dataDir      string
	logFile      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// started is set by the first start, in which a control VM may bootstrap the group.
	started bool
	// interruptions counts the signals and the starts.
	interruptions int
}

func (p *process) addr(port int) string {
	return fmt.Sprintf("%s:%d", p.ip, port)
}

// writeSettings writes the settings file. joinAddrs are the link addresses of the seed VMs; entry VMs get those of proxies.
func (p *process) writeSettings(joinAddrs []string, bootstrap bool) error {
	lines := []string{
		"vm: " + quote(p.ip), "data_centre: " + quote(p.zone), "link_addr: " + quote(p.addr(linkPort)),
		"operators_addr: " + quote(p.addr(operatorsPort)), "join: " + quote(strings.Join(joinAddrs, ",")),
		"metrics_addr: " + quote(p.addr(metricsPort)), `spare_after: "2s"`, "stop_grace: " + quote(stopGrace.String()), `hubs_only: "true"`, `retry_slack: "50"`,
	}
	if p.isControl {
		lines = append(lines, `callers_addr: ""`, "control_addr: "+quote(p.addr(controlPort)), "data_dir: "+quote(p.dataDir), fmt.Sprintf("bootstrap: %q", fmt.Sprint(bootstrap)))
	} else {
		lines = append(lines, "callers_addr: "+quote(p.ip+":0"), "routes_addr: "+quote(p.addr(routesPort)), "ready_addr: "+quote(p.addr(readyPort)))
	}
	return os.WriteFile(p.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}

// start does nothing if the process is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(filepath.Join(binDir, "godwitplankd"), "run", "--settings_file", p.settingsFile)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.started = cmd, exited, true
	p.interruptions++
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(exited)
	})
	return nil
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// signal does nothing if the process is not running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.interruptions++
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *process) interruptionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interruptions
}

func (p *process) wait() {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if running {
		<-exited
	}
}

// stop sends SIGTERM, and SIGKILL if the process is still there after stopGrace. It reports whether the process exited by
// itself.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(stopGrace):
		p.kill()
		return false
	}
}

// pid returns the process ID. The process must be running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// cluster runs control VMs and entry VMs. Entry VMs join through proxies, which can impair their links to control VMs.
type cluster struct {
	subnet   string
	entries  []*process
	controls []*process
	proxies  []*proxy
}

// newCluster starts the VMs on addresses of the loopback network. subnet is the first three octets, such as 127.20.7. The
// first three control VMs are the seeds that all VMs join.
func newCluster(t *testing.T, subnet string, entries, controls int) *cluster {
	t.Helper()
	c := &cluster{subnet: subnet}
	t.Cleanup(c.close)
	dir := t.TempDir()
	var seedAddrs []string
	for i := range controls {
		p := c.newProcess(t, dir, fmt.Sprintf("control-%d", i+1), i+1, true)
		c.controls = append(c.controls, p)
		if i < 3 {
			seedAddrs = append(seedAddrs, p.addr(linkPort))
		}
	}
	for i := range entries {
		c.entries = append(c.entries, c.newProcess(t, dir, fmt.Sprintf("entry-%d", i+1), 100+i, false))
	}
	for _, p := range c.controls {
		check(t, p.writeSettings(seedAddrs, true))
	}
	for _, p := range c.entries {
		var joinAddrs []string
		for _, seed := range seedAddrs {
			linkProxy, err := newProxy(p.ip+":0", seed)
			check(t, err)
			c.proxies = append(c.proxies, linkProxy)
			joinAddrs = append(joinAddrs, linkProxy.addr())
		}
		check(t, p.writeSettings(joinAddrs, false))
	}
	for _, p := range c.processes() {
		check(t, p.start())
	}
	return c
}

func (c *cluster) newProcess(t *testing.T, dir, name string, host int, isControl bool) *process {
	t.Helper()
	p := &process{
		name: name, ip: fmt.Sprintf("%s.%d", c.subnet, host), zone: fmt.Sprintf("dc-%d", host%2), isControl: isControl,
		settingsFile: filepath.Join(dir, name+".yaml"), dataDir: filepath.Join(dir, name),
	}
	var err error
	p.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	check(t, err)
	return p
}

func (c *cluster) processes() []*process {
	return append(append([]*process(nil), c.controls...), c.entries...)
}

// wipe simulates the loss of a disk: it kills a control VM and restarts it with an empty data directory.
func (c *cluster) wipe(p *process) error {
	p.kill()
	if err := os.RemoveAll(p.dataDir); err != nil {
		return err
	}
	var seedAddrs []string
	for _, other := range c.controls[:3] {
		seedAddrs = append(seedAddrs, other.addr(linkPort))
	}
	return errors.Join(p.writeSettings(seedAddrs, false), p.start())
}

func (c *cluster) close() {
	for _, p := range c.processes() {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = p.logFile.Close()
	}
	for _, p := range c.proxies {
		p.close()
	}
}

// waitReady polls /ready of every entry VM until all answer 200.
func (c *cluster) waitReady(timeout time.Duration) error {
	return eventually(timeout, func() error {
		for _, p := range c.entries {
			resp, err := http.Get("http://" + p.addr(readyPort) + "/ready")
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s is not ready", p.name)
			}
		}
		return nil
	})
}

// eventually polls condition every 50 ms until it returns nil, or returns its last error after timeout.
func eventually(timeout time.Duration, condition func() error) error {
	start := time.Now()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("condition not met within %s: %w", timeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check fails the test at once if err is not nil.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
