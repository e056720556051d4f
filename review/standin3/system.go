package main

import (
	"bytes"
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

// zones are the data centres of the deployment. There is a control VM in each, as in the small sites.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

const (
	seeds       = 3
	startPeriod = 30 * time.Second
	stopPeriod  = 10 * time.Second
	graceS      = 8
)

// vm is one machine of the system with its process.
type vm struct {
	name     string
	ip       string
	role     string
	settings string
	command  *exec.Cmd
	ended    chan error
}

// system is the deployment under test.
type system struct {
	record  *record
	folder  string
	network string // first three bytes of all addresses
	port    int    // first of the ports that all machines use
	run     []string
	control []*vm
	entry   []*vm
	// limits replaces placeholders of the settings.
	limits map[string]string
}

// Offsets of the ports from system.port.
const (
	routesPort = iota
	readyPort
	linkPort
	operatorsPort
	controlPort
	runnerPort
)

// newSystem chooses free addresses and reads the command of the deploy file.
func newSystem(r *record) (*system, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if match == nil {
		return nil, errors.New("deploy/system.toml names no command")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, folder: folder, run: strings.Fields(string(match[1])), limits: map[string]string{}}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), 1+rand.IntN(250))
		s.port = 20000 + 10*rand.IntN(1000)
		if s.free() {
			s.stopOnSignal()
			return s, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// stopOnSignal ends all processes and exits with 2 if this process is to end before the case has.
func (s *system) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		s.record.printf("could not run: %v", <-signals)
		s.stop()
		os.Exit(2)
	}()
}

// free reports whether the ports of the first addresses can be used.
func (s *system) free() bool {
	for _, port := range []int{s.port, s.port + linkPort, s.port + controlPort, 9464} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", s.network, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts a control VM in each zone and entry VMs in the first zones, and waits until the entry VMs are ready. configure
// submits the configuration before that.
func (s *system) start(entryVMs int, configure func() error) error {
	for i := range zones {
		s.control = append(s.control, &vm{name: fmt.Sprintf("control-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, 11+i), role: "control"})
	}
	for i := range entryVMs {
		s.entry = append(s.entry, &vm{name: fmt.Sprintf("entry-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, 31+i), role: "entry"})
	}
	for i, v := range append(append([]*vm{}, s.control...), s.entry...) {
		zone := zones[i%len(zones)]
		if err := s.startVM(v, zone, true); err != nil {
			return err
		}
	}
	if err := configure(); err != nil {
		return err
	}
	for _, v := range s.entry {
		if err := s.awaitReady(v); err != nil {
			return err
		}
	}
	return nil
}

// fill replaces the placeholders of a template of the deploy file.
func (s *system) fill(template string, values map[string]string) string {
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(template, func(p string) string {
		name := strings.Trim(p, "{}")
		if value, ok := s.limits[name]; ok {
			return value
		}
		return values[name]
	})
}

func (s *system) startVM(v *vm, zone string, bootstrap bool) error {
	text, err := os.ReadFile("deploy/" + v.role + ".yaml")
	if err != nil {
		return err
	}
	var join []string
	for i := range seeds {
		join = append(join, fmt.Sprintf("%s.%d:%d", s.network, 11+i, s.port+controlPort))
	}
	address := func(offset int) string { return fmt.Sprintf("%s:%d", v.ip, s.port+offset) }
	settings := s.fill(string(text), map[string]string{
		"Ip": v.ip, "Zone": zone, "Zones": "{" + strings.Join(zones, ": r, ") + ": r}", "Seeds": strings.Join(join, ","),
		"Listen.Front": address(routesPort), "Listen.Ready": address(readyPort), "Listen.Control": address(controlPort),
		"InternalPorts.0": fmt.Sprint(s.port + linkPort), "InternalPorts.1": fmt.Sprint(s.port + operatorsPort),
		"Bootstrap": fmt.Sprint(bootstrap), "DataDir": filepath.Join(s.folder, v.name), "FaultTolerance.Machines": "1",
		"Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
		"Bounds.GraceS": fmt.Sprint(graceS), "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "54", "Bounds.RetryWindowS": "10",
	})
	v.settings = filepath.Join(s.folder, v.name+".yaml")
	if err := os.WriteFile(v.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	return s.startProcess(v)
}

// startProcess starts the process of a VM with its present settings.
func (s *system) startProcess(v *vm) error {
	logFile, err := os.OpenFile(filepath.Join(s.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command = exec.Command(s.run[0], s.run[1:]...)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "GODWITPLANK_SETTINGS_FILE=" + v.settings}
	v.command.Stdout, v.command.Stderr = logFile, logFile
	if err := v.command.Start(); err != nil {
		v.command = nil
		return err
	}
	_ = logFile.Close()
	ended := make(chan error, 1)
	v.ended = ended
	command := v.command
	go func() { ended <- command.Wait() }()
	s.record.printf("started %s at %s", v.name, v.ip)
	return nil
}

func (s *system) signal(v *vm, sig syscall.Signal) {
	s.record.printf("%v to %s", sig, v.name)
	_ = v.command.Process.Signal(sig)
}

// running reports whether the process of a VM has not ended.
func (v *vm) running() bool {
	return v.command.Process.Signal(syscall.Signal(0)) == nil
}

func (s *system) awaitReady(v *vm) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startPeriod); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.ip, s.port+readyPort))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			s.record.printf("%s is ready", v.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

// stop ends all processes. The folder with their logs is kept if KEEP is set.
func (s *system) stop() {
	vms := append(append([]*vm{}, s.control...), s.entry...)
	for _, v := range vms {
		if v.command != nil {
			_ = v.command.Process.Kill()
		}
	}
	for _, v := range vms {
		if v.command == nil {
			continue
		}
		select {
		case <-v.ended:
		case <-time.After(stopPeriod):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	s.record.printf("logs are in %s", s.folder)
}

// call sends a call to the control VMs, one after the other, until one answers it with 2xx.
func (s *system) call(method, path string, body []byte) (answeredBy *vm, err error) {
	client := http.Client{Timeout: time.Second}
	for _, v := range s.control {
		var status int
		if status, err = callAt(&client, fmt.Sprintf("http://%s:%d%s", v.ip, s.port+controlPort, path), method, body); err == nil && status/100 == 2 {
			return v, nil
		}
		if err == nil {
			err = fmt.Errorf("%s %s: status %d", method, path, status)
		}
	}
	return nil, err
}

func callAt(client *http.Client, url, method string, body []byte) (int, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	r, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode, err
}

// configure submits the configuration of a case until it is accepted.
func (s *system) configure(name string) error {
	text, err := configurations.ReadFile("configurations/" + name + ".json")
	if err != nil {
		return err
	}
	var last error
	for end := time.Now().Add(startPeriod); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		v, err := s.call(http.MethodPut, "/config", text)
		if err == nil {
			s.record.printf("the configuration was acknowledged by %s", v.name)
			return nil
		}
		last = err
	}
	return fmt.Errorf("the configuration was not acknowledged: %w", last)
}
