package main

import (
	"bytes"
	"context"
	_ "embed" // for the configuration
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine, on its own loopback address.
const (
	frontPort   = 18625
	readyPort   = 18621
	controlPort = 18628
	linkPort    = 17740
	ownPort     = 17755
	runnerPort  = 18080
	metricsPort = 9464
)

// longestRun is below the 120 s that a script may take.
const longestRun = 110 * time.Second

// heartbeat is the time between two status reports of a runner, as in the settings of a small deployment.
const heartbeat = 1200 * time.Millisecond

// machine is one machine of the system with its process.
type machine struct {
	name, ip, role string
	settings       string
	log            *os.File
	command        *exec.Cmd
	ended          chan struct{}
}

// deployment is a small deployment: control machines, entry machines and the runners' addresses.
type deployment struct {
	script   *script
	network  string // the first three numbers of all addresses
	controls []*machine
	entries  []*machine
	runners  int
	runOf    map[string][]string
}

// newDeployment prepares the settings of a deployment. Nothing runs yet.
func newDeployment(s *script, controls, entries int) (*deployment, error) {
	d := &deployment{script: s, runOf: make(map[string][]string)}
	if err := d.readCommands(); err != nil {
		return nil, err
	}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if d.free() {
			break
		}
		d.network = ""
	}
	if d.network == "" {
		return nil, errors.New("no addresses with free ports were found")
	}
	for i := range controls {
		d.controls = append(d.controls, &machine{name: fmt.Sprintf("control-%d", i+1), ip: d.network + fmt.Sprint(1+i), role: "control"})
	}
	for i := range entries {
		d.entries = append(d.entries, &machine{name: fmt.Sprintf("entry-%d", i+1), ip: d.network + fmt.Sprint(11+i), role: "entry"})
	}
	for _, m := range d.all() {
		if err := d.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// free reports whether the ports are free on the addresses of the machines.
func (d *deployment) free() bool {
	for host := 1; host < 40; host++ {
		for _, port := range []int{frontPort, readyPort, controlPort, linkPort, ownPort, runnerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) all() []*machine {
	return append(append([]*machine(nil), d.controls...), d.entries...)
}

// runLine finds the section of a role and its command in the deploy file.
var runLine = regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]+)"`)

func (d *deployment) readCommands() error {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	for _, m := range runLine.FindAllStringSubmatch(string(text), -1) {
		d.runOf[m[1]] = strings.Fields(m[2])
	}
	if d.runOf["control"] == nil || d.runOf["entry"] == nil {
		return errors.New("the deploy file has no commands for the two roles")
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)

// writeSettings fills in the template of a role as the platform does.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	values := map[string]string{
		"Ip": m.ip, "Zone": "zone-a", "Zones": `{"zone-a":"region"}`, "Seeds": strings.Join(seeds, ","), "Bootstrap": fmt.Sprint(bootstrap),
		"Listen.Front": fmt.Sprintf("%s:%d", m.ip, frontPort), "Listen.Ready": fmt.Sprintf("%s:%d", m.ip, readyPort),
		"Listen.Control": fmt.Sprintf("%s:%d", m.ip, controlPort), "InternalPorts.0": fmt.Sprint(linkPort), "InternalPorts.1": fmt.Sprint(ownPort),
		"DataDir": filepath.Join(d.script.folder, m.name+"-data"), "FaultTolerance.Machines": "1", "Limits.CpuShare": "0.4",
		"Limits.MemoryMb": "284", "Limits.MaxFds": "4100", "Bounds.GraceS": "8", "Bounds.RetryBudgetRatio": "0.2",
		"Bounds.RetryBudgetSlack": "54", "Bounds.RetryWindowS": "10",
	}
	text, err := os.ReadFile(filepath.Join("deploy", m.role+".yaml"))
	if err != nil {
		return err
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string { return values[strings.Trim(p, "{}")] })
	m.settings = filepath.Join(d.script.folder, m.name+".yaml")
	return os.WriteFile(m.settings, []byte(filled), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(d.script.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := d.runOf[m.role]
	m.log = log
	m.command = exec.Command(words[0], words[1:]...)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.script.folder, "GODWITPLANK_SETTINGS_FILE=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	m.ended = make(chan struct{})
	if err := m.command.Start(); err != nil {
		return err
	}
	ended, command := m.ended, m.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	d.script.note("process of %s starts at %s", m.name, m.ip)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.script.note("%s gets the signal %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

// alive reports whether the process of a machine runs.
func (m *machine) alive() bool {
	select {
	case <-m.ended:
		return false
	default:
		return m.command != nil
	}
}

// endWith ends the processes and the script if it is asked to end or takes too long.
func (d *deployment) endWith() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-asked:
			d.script.summary("ended by %v", s)
		case <-time.After(longestRun):
			d.script.summary("not done after %v", longestRun)
		}
		d.stopAll()
		d.script.close()
		_ = os.RemoveAll(d.script.folder)
		os.Exit(notRun)
	}()
}

// startAll starts all machines and sends the first configuration until it is accepted.
func (d *deployment) startAll() error {
	d.endWith()
	for _, m := range d.all() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return d.configure(20 * time.Second)
}

// awaitReady waits until all entry machines say that they are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(30 * time.Second)
	for _, m := range d.entries {
		for !ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready in time", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.script.note("all entry machines are ready")
	return nil
}

func ready(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stopAll kills all processes and waits for them.
func (d *deployment) stopAll() {
	for _, m := range d.all() {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
		}
	}
	for _, m := range d.all() {
		if m.command != nil {
			<-m.ended
		}
	}
}

//go:embed configuration.json
var configuration []byte

// configure sends the configuration to one control machine after another until one acknowledges it.
func (d *deployment) configure(patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for i := 0; time.Now().Before(deadline); i++ {
		m := d.controls[i%len(d.controls)]
		status, _, err := d.call(m, http.MethodPut, "/config", configuration)
		d.script.note("operator sends the configuration to %s: status %d %v", m.name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("no control machine acknowledged the configuration")
}

// call sends a call to the control address of a machine, within the second that callers wait.
func (d *deployment) call(m *machine, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
