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

// Ports of the VMs; each VM has a loopback address of its own.
const (
	linkPort, operatorsPort, routesPort, readyPort, controlPort, metricsPort = 7740, 7741, 8625, 8621, 8628, 9464
)

// programs is the folder of the built programs.
var programs string

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
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "godwitplank/cmd/godwitplankd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "the program does not build:", err)
		return 1
	}
	return m.Run()
}

// process is one VM.
type process struct {
	name     string
	ip       string
	zone     string
	disk     bool
	settings string
	dataDir  string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// booted is false until the first start, which may make the group.
	booted bool
}

func (p *process) addr(port int) string {
	return fmt.Sprintf("%s:%d", p.ip, port)
}

// writeSettings writes the settings file; entry VMs reach the others through the addresses of join.
func (p *process) writeSettings(join []string, bootstrap bool) error {
	lines := []string{
		"vm: " + quote(p.ip), "data_centre: " + quote(p.zone), "link_addr: " + quote(p.addr(linkPort)),
		"operators_addr: " + quote(p.addr(operatorsPort)), "join: " + quote(strings.Join(join, ",")),
		"metrics_addr: " + quote(p.addr(metricsPort)), `spare_after: "2s"`, `stop_grace: "6s"`, `hubs_only: "true"`, `retry_slack: "50"`,
	}
	if p.disk {
		lines = append(lines, `callers_addr: ""`, "control_addr: "+quote(p.addr(controlPort)), "data_dir: "+quote(p.dataDir), fmt.Sprintf("bootstrap: %q", fmt.Sprint(bootstrap)))
	} else {
		lines = append(lines, "callers_addr: "+quote(p.ip+":0"), "routes_addr: "+quote(p.addr(routesPort)), "ready_addr: "+quote(p.addr(readyPort)))
	}
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	c := exec.Command(filepath.Join(programs, "godwitplankd"), "run", "--settings_file", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.booted = c, ended, true
	var group sync.WaitGroup
	group.Go(func() {
		_ = c.Wait()
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(ended)
	})
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) wait() {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if running {
		<-ended
	}
}

// pid returns the number of the running process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// cluster is a system of VMs with proxies before the links of the entry VMs.
type cluster struct {
	subnet   string
	entries  []*process
	controls []*process
	proxies  []*proxy
}

// newCluster starts VMs on the addresses of a subnet of the loopback network.
func newCluster(t *testing.T, subnet string, entries, controls int) *cluster {
	t.Helper()
	c := &cluster{subnet: subnet}
	t.Cleanup(c.close)
	dir := t.TempDir()
	var seeds []string
	for i := range controls {
		p := c.process(t, dir, fmt.Sprintf("control-%d", i+1), i+1, true)
		c.controls = append(c.controls, p)
		if i < 3 {
			seeds = append(seeds, p.addr(linkPort))
		}
	}
	for i := range entries {
		c.entries = append(c.entries, c.process(t, dir, fmt.Sprintf("entry-%d", i+1), 100+i, false))
	}
	for _, p := range c.controls {
		check(t, p.writeSettings(seeds, true))
	}
	for _, p := range c.entries {
		var join []string
		for _, s := range seeds {
			through, err := newProxy(p.ip+":0", s)
			check(t, err)
			c.proxies = append(c.proxies, through)
			join = append(join, through.addr())
		}
		check(t, p.writeSettings(join, false))
	}
	for _, p := range c.all() {
		check(t, p.start())
	}
	return c
}

func (c *cluster) process(t *testing.T, dir, name string, host int, disk bool) *process {
	t.Helper()
	p := &process{
		name: name, ip: fmt.Sprintf("%s.%d", c.subnet, host), zone: fmt.Sprintf("dc-%d", host%2), disk: disk,
		settings: filepath.Join(dir, name+".yaml"), dataDir: filepath.Join(dir, name),
	}
	var err error
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	check(t, err)
	return p
}

func (c *cluster) all() []*process {
	return append(append([]*process(nil), c.controls...), c.entries...)
}

// wipe starts a control VM again with an empty data folder.
func (c *cluster) wipe(p *process) error {
	p.kill()
	if err := os.RemoveAll(p.dataDir); err != nil {
		return err
	}
	var seeds []string
	for _, other := range c.controls[:3] {
		seeds = append(seeds, other.addr(linkPort))
	}
	return errors.Join(p.writeSettings(seeds, false), p.start())
}

func (c *cluster) close() {
	for _, p := range c.all() {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = p.log.Close()
	}
	for _, p := range c.proxies {
		p.close()
	}
}

// ready waits until every entry VM that runs says that it is ready.
func (c *cluster) ready(limit time.Duration) error {
	return eventually(limit, func() error {
		for _, p := range c.entries {
			r, err := http.Get("http://" + p.addr(readyPort) + "/ready")
			if err != nil {
				return err
			}
			_ = r.Body.Close()
			if r.StatusCode != http.StatusOK {
				return fmt.Errorf("%s is not ready", p.name)
			}
		}
		return nil
	})
}

func eventually(limit time.Duration, holds func() error) error {
	begun := time.Now()
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Since(begun) > limit {
			return fmt.Errorf("not within %s: %w", limit, err)
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
