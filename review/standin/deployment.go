package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes, the same on every machine, because each machine has its own loopback address.
const (
	linkPort      = 7740
	operatorsPort = 7755
	frontPort     = 8625
	readyPort     = 8621
	controlPort   = 8628
	metricsPort   = 9464
)

// Bounds of the deployment, those of the site file dhwa-fleet.
const (
	drainTime       = 2 * time.Second
	contactTime     = 3 * time.Second
	heartbeatPeriod = 1200 * time.Millisecond
	startTimeout    = 30 * time.Second
	restartDelay    = time.Second
)

// deployment is a small fleet: control machines, entry machines and the servers of the services.
type deployment struct {
	trouble bool
	dir     string
	subnet  string
	start   time.Time
	group   sync.WaitGroup

	recordMu sync.Mutex
	out      *os.File

	mu       sync.Mutex
	controls []*machine
	entries  []*machine
	servers  []*server
	closed   bool
}

// machine is one process of the project.
type machine struct {
	name, ip, zone string
	template       string
	settings       map[string]string
	bootstrap      bool
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newDeployment(recordPath string) (*deployment, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "godwitplank-review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	return &deployment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, subnet: subnet, start: time.Now(), out: out}, nil
}

// freeSubnet returns the first three octets of loopback addresses on which nothing uses the ports of the machines.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if portsFree(subnet) {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports found")
}

func portsFree(subnet string) bool {
	for _, port := range []int{linkPort, operatorsPort, frontPort, readyPort, controlPort, metricsPort} {
		for host := 1; host < 30; host++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// record writes a line with the seconds since the start of the case.
func (d *deployment) record(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(d.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = d.out.WriteString(line)
	if strings.Contains(line, "verdict") || strings.Contains(line, "BROKEN") || strings.Contains(line, "could not") {
		fmt.Print(line)
	}
}

// startMachines starts control and entry machines and waits until the entry machines are ready for the configuration.
func (d *deployment) startMachines(controls, entries int, configuration []byte) error {
	var seeds []string
	for i := range controls {
		m := d.newMachine(fmt.Sprintf("core-%d", i+1), i+1, i, "deploy/control.yaml")
		m.bootstrap = true
		m.settings["Listen.Control"] = fmt.Sprintf("%s:%d", m.ip, controlPort)
		m.settings["DataDir"] = filepath.Join(d.dir, m.name)
		if i < 3 {
			seeds = append(seeds, m.settings["Listen.Control"])
		}
		d.controls = append(d.controls, m)
	}
	for i := range entries {
		m := d.newMachine(fmt.Sprintf("edge-%d", i+1), 11+i, i, "deploy/entry.yaml")
		m.settings["Listen.Front"] = fmt.Sprintf("%s:%d", m.ip, frontPort)
		m.settings["Listen.Ready"] = fmt.Sprintf("%s:%d", m.ip, readyPort)
		d.entries = append(d.entries, m)
	}
	for _, m := range append(append([]*machine(nil), d.controls...), d.entries...) {
		m.settings["Seeds"] = strings.Join(seeds, ",")
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	if err := d.putConfiguration(configuration); err != nil {
		return err
	}
	return eventually(startTimeout, d.entriesReady)
}

func (d *deployment) newMachine(name string, host, zone int, template string) *machine {
	ip := fmt.Sprintf("%s.%d", d.subnet, host)
	return &machine{
		name: name, ip: ip, zone: fmt.Sprintf("zone-%d", zone%3), template: template,
		settings: map[string]string{
			"Ip": ip, "Zone": fmt.Sprintf("zone-%d", zone%3), "InternalPorts.0": fmt.Sprint(linkPort), "InternalPorts.1": fmt.Sprint(operatorsPort),
			"Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Bounds.GraceS": "8", "Bounds.RetryBudgetRatio": "0.2",
			"Bounds.RetryBudgetSlack": "54", "Bounds.RetryWindowS": "10", "FaultTolerance.Machines": "1",
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{[A-Za-z0-9.]+\}\}`)

// startMachine fills in the template of the machine's settings and starts its process with the command of the deploy file.
func (d *deployment) startMachine(m *machine) error {
	text, err := os.ReadFile(m.template)
	if err != nil {
		return err
	}
	m.settings["Bootstrap"] = fmt.Sprint(m.bootstrap)
	filled := placeholder.ReplaceAllFunc(text, func(p []byte) []byte { return []byte(m.settings[string(bytes.Trim(p, "{}"))]) })
	path := filepath.Join(d.dir, m.name+".yaml")
	if err := os.WriteFile(path, filled, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/godwitplankd", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITPLANK_SETTINGS_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return fmt.Errorf("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.bootstrap = cmd, exited, false
	d.group.Go(func() {
		_ = cmd.Wait()
		close(exited)
	})
	d.record("%s started at %s", m.name, m.ip)
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (d *deployment) kill(m *machine) {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
	d.record("%s was killed", m.name)
}

func (d *deployment) entriesReady() error {
	for _, m := range d.entries {
		status, err := call(http.MethodGet, "http://"+m.settings["Listen.Ready"]+"/ready", nil)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%s is not ready: status %d, %v", m.name, status, err)
		}
	}
	return nil
}

// putConfiguration sends a configuration to one control machine after another until one acknowledges it.
func (d *deployment) putConfiguration(configuration []byte) error {
	next := 0
	return eventually(startTimeout, func() error {
		m := d.controls[next%len(d.controls)]
		next++
		status, err := call(http.MethodPut, "http://"+m.settings["Listen.Control"]+"/config", configuration)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%s did not acknowledge the configuration: status %d, %v", m.name, status, err)
		}
		d.record("%s acknowledged the configuration", m.name)
		return nil
	})
}

// close ends all processes that the case started.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	machines := append(append([]*machine(nil), d.controls...), d.entries...)
	servers := d.servers
	d.mu.Unlock()
	for _, m := range machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	for _, s := range servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.out.Close()
}

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request of the operator, of a server or of the load balancer and returns the status.
func call(method, url string, body []byte) (int, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := plainClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// eventually polls condition until it returns nil, or returns its last error after timeout.
func eventually(timeout time.Duration, condition func() error) error {
	started := time.Now()
	for {
		err := condition()
		if err == nil || time.Since(started) > timeout {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
