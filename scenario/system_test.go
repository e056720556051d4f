package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	operatorToken = "operator-token-of-tests"
	patience      = 20 * time.Second
	pollPause     = 50 * time.Millisecond
)

// programs is the folder of the built programs.
var programs string

// system is the daemons and stand-ins of one scenario.
type system struct {
	dir      string
	vms      map[string]*process
	names    []string
	relays   map[[2]string]*relay
	standins []*process
	extra    []string          // further flags of the VMs
	trace    bool              // VMs write trace files
	discover bool              // VMs are told of the first VM only
	addrs    map[string]string // of stand-ins' endpoints and control
}

// process is one daemon or stand-in.
type process struct {
	name       string
	dataCentre string
	dataDir    string
	args       []string
	cmd        *exec.Cmd
	exited     chan struct{}
	err        error
	// addrs is replaced whole, since relays and probes read it while VMs start.
	addrs atomic.Pointer[map[string]string]
}

// addr returns one of the addresses, empty before it is known.
func (p *process) addr(name string) string {
	if addrs := p.addrs.Load(); addrs != nil {
		return (*addrs)[name]
	}
	return ""
}

func (p *process) linkAddr() string {
	return p.addr("link_addr")
}

// readAddrs takes the addresses from a file once it is whole.
func (p *process) readAddrs(path string) error {
	addrs := make(map[string]string)
	if err := readJSON(path, &addrs); err != nil {
		return err
	}
	p.addrs.Store(&addrs)
	return nil
}

func newSystem(dir string) *system {
	return &system{dir: dir, vms: make(map[string]*process), relays: make(map[[2]string]*relay), addrs: make(map[string]string)}
}

func (s *system) tokenFile() string {
	return filepath.Join(s.dir, "operator_token")
}

// add makes VMs of the form name:data_centre or name:data_centre:disk and starts them.
func (s *system) add(specs []string) error {
	if err := os.WriteFile(s.tokenFile(), []byte(operatorToken), 0o600); err != nil {
		return err
	}
	for _, spec := range specs {
		parts := strings.Split(spec, ":")
		p := &process{name: parts[0], dataCentre: parts[1]}
		if len(parts) > 2 {
			p.dataDir = filepath.Join(s.dir, "data-"+p.name)
		}
		s.vms[p.name] = p
		s.names = append(s.names, p.name)
	}
	for _, from := range s.names {
		for _, to := range s.names {
			if err := s.link(from, to); err != nil {
				return err
			}
		}
	}
	for _, name := range s.names {
		if err := s.launch(name); err != nil {
			return err
		}
		if !s.discover {
			continue
		}
		if err := s.bound(name); err != nil {
			return err
		}
	}
	for _, name := range s.names {
		if err := s.bound(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) link(from, to string) error {
	if from == to {
		return nil
	}
	target := s.vms[to]
	r, err := newRelay(target.linkAddr)
	s.relays[[2]string{from, to}] = r
	return err
}

// joins returns the addresses that a VM is told: a relay to each other VM, or, where VMs discover each other, the
// address of the first one only.
func (s *system) joins(name string) []string {
	if s.discover {
		if first := s.vms[s.names[0]]; first.name != name {
			return []string{first.addr("link_addr")}
		}
		return nil
	}
	var join []string
	for _, other := range s.names {
		if other != name {
			join = append(join, s.relays[[2]string{name, other}].addr())
		}
	}
	return join
}

// launch starts a VM; after the first time on the same addresses.
func (s *system) launch(name string) error {
	p := s.vms[name]
	join := s.joins(name)
	p.args = []string{
		"run", "--vm", name, "--data_centre", p.dataCentre, "--operator_token_file", s.tokenFile(),
		"--addresses_file", s.addressesFile(name), "--join", strings.Join(join, ","), "--log_level", "debug",
		"--discover", strconv.FormatBool(s.discover),
	}
	p.args = append(p.args, s.extra...)
	if s.trace {
		p.args = append(p.args, "--trace_file", s.traceFile(name))
	}
	if p.dataDir != "" {
		p.args = append(p.args, "--data_dir", p.dataDir)
	}
	if p.addrs.Load() == nil {
		addrs, err := freeAddrs("callers_addr", "operators_addr", "link_addr")
		if err != nil {
			return err
		}
		p.addrs.Store(&addrs)
	}
	for flag, addr := range *p.addrs.Load() {
		if flag != "vm" {
			p.args = append(p.args, "--"+flag, addr)
		}
	}
	_ = os.Remove(s.addressesFile(name))
	return p.start(filepath.Join(programs, "godwitplankd"), filepath.Join(s.dir, name+".log"))
}

// Ports of VMs lie below those that the machine gives to outgoing connections, so that none of these takes the port of
// a VM that is down.
const (
	firstPort = 10_000
	ports     = 22_000
)

// portBase and portsTaken give each VM of a run ports of its own.
var (
	portBase = rand.IntN(ports)
	// runHost is a loopback address of this run's own, so that its VMs never meet those of another run.
	runHost    = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))
	portsTaken atomic.Int64
)

// freeAddrs returns a free address for each flag.
func freeAddrs(flags ...string) (map[string]string, error) {
	out := make(map[string]string)
	for _, flag := range flags {
		err := eventually(patience, func() error {
			port := firstPort + (portBase+int(portsTaken.Add(1)))%ports
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", runHost, port))
			if err != nil {
				return err
			}
			out[flag] = l.Addr().String()
			return l.Close()
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (s *system) addressesFile(name string) string {
	return filepath.Join(s.dir, name+".addresses")
}

func (s *system) traceFile(name string) string {
	return filepath.Join(s.dir, name+".trace")
}

// bound waits until a VM has written its addresses.
func (s *system) bound(name string) error {
	p := s.vms[name]
	return eventually(patience, func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended: %v", name, p.err)
		default:
		}
		return p.readAddrs(s.addressesFile(name))
	})
}

func readJSON(path string, value any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, value)
}

func (p *process) start(program, logFile string) error {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	reapers.Go(func() {
		p.err = cmd.Wait()
		close(exited)
	})
	return nil
}

var reapers sync.WaitGroup

func (p *process) signal(s os.Signal) error {
	return p.cmd.Process.Signal(s)
}

func (p *process) kill() error {
	if p.cmd == nil {
		return nil
	}
	if err := p.signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// startStandins starts the stand-ins of a configuration and waits for their addresses.
func (s *system) startStandins(config string) error {
	p := &process{name: fmt.Sprintf("standin-%d", len(s.standins))}
	file := filepath.Join(s.dir, p.name+".addresses")
	p.args = []string{"--config", config, "--addresses_file", file}
	if err := p.start(filepath.Join(programs, "standin"), filepath.Join(s.dir, p.name+".log")); err != nil {
		return err
	}
	s.standins = append(s.standins, p)
	if err := eventually(patience, func() error { return p.readAddrs(file) }); err != nil {
		return err
	}
	for id, addr := range *p.addrs.Load() {
		s.addrs[id] = addr
	}
	return nil
}

// behave changes the behaviour of an endpoint, or of all with *.
func (s *system) behave(id, behaviour string) error {
	for _, p := range s.standins {
		if _, ok := (*p.addrs.Load())[id]; !ok && id != "*" {
			continue
		}
		r, err := http.NewRequest(http.MethodPut, "http://"+p.addr("control")+"/behaviour/"+id, strings.NewReader(behaviour))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("behaviour of %s: status %d", id, response.StatusCode)
		}
	}
	return nil
}

// cut cuts or heals the links between two sets of VMs, in one or both directions.
func (s *system) cut(from, to []string, both, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			s.relays[[2]string{a, b}].set(cut)
			if both {
				s.relays[[2]string{b, a}].set(cut)
			}
		}
	}
}

func (s *system) others(names []string) []string {
	var out []string
	for _, n := range s.names {
		if !contains(names, n) {
			out = append(out, n)
		}
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (s *system) close() {
	for _, p := range s.vms {
		_ = p.kill()
	}
	for _, p := range s.standins {
		_ = p.kill()
	}
	for _, r := range s.relays {
		r.close()
	}
}

// eventually tries until there is no error or the time is over.
func eventually(limit time.Duration, try func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %w", limit, err)
		}
		time.Sleep(pollPause)
	}
}
