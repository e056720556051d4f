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
	operatorToken  = "operator-token-of-tests"
	defaultTimeout = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// binDir is the directory of the built programs.
var binDir string

// system consists of the daemons, simulated endpoints and relays of one script or benchmark.
type system struct {
	dir          string
	vms          map[string]*process
	names        []string
	relays       map[[2]string]*relay
	standins     []*process
	extraFlags   []string          // additional daemon flags
	trace        bool              // daemons write trace files
	discover     bool              // only the first VM is in --join of the others
	standinAddrs map[string]string // addresses of the simulated endpoints by ID, and "control"
}

// process is a daemon, or a standin process, which serves simulated endpoints.
type process struct {
	name       string
	dataCentre string
	dataDir    string
	args       []string
	cmd        *exec.Cmd
	exited     chan struct{}
	exitErr    error
	// addrs maps names of address flags, or endpoint IDs, to addresses. It is replaced atomically, because relays and
	// probes read it while VMs start.
	addrs atomic.Pointer[map[string]string]
}

// addr returns an address by name, or an empty string while it is unknown.
func (p *process) addr(name string) string {
	if addrs := p.addrs.Load(); addrs != nil {
		return (*addrs)[name]
	}
	return ""
}

func (p *process) linkAddr() string {
	return p.addr("link_addr")
}

// readAddrs reads the addresses that the process wrote to a file. It returns an error while the file is incomplete.
func (p *process) readAddrs(path string) error {
	addrs := make(map[string]string)
	if err := readJSON(path, &addrs); err != nil {
		return err
	}
	p.addrs.Store(&addrs)
	return nil
}

func newSystem(dir string) *system {
	return &system{dir: dir, vms: make(map[string]*process), relays: make(map[[2]string]*relay), standinAddrs: make(map[string]string)}
}

func (s *system) tokenFile() string {
	return filepath.Join(s.dir, "operator_token")
}

// startVMs starts the daemons of VMs given as name:data_centre or name:data_centre:disk and waits for their addresses.
func (s *system) startVMs(specs []string) error {
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
			if err := s.addRelay(from, to); err != nil {
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
		if err := s.waitForAddrs(name); err != nil {
			return err
		}
	}
	for _, name := range s.names {
		if err := s.waitForAddrs(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addRelay(from, to string) error {
	if from == to {
		return nil
	}
	target := s.vms[to]
	r, err := newRelay(target.linkAddr)
	s.relays[[2]string{from, to}] = r
	return err
}

// joinAddrs returns the addresses for the --join flag of a VM: the relay to each other VM or, with discovery, only the
// address of the first VM.
func (s *system) joinAddrs(name string) []string {
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

// launch starts the daemon of a VM. A restarted VM keeps its addresses.
func (s *system) launch(name string) error {
	p := s.vms[name]
	join := s.joinAddrs(name)
	p.args = []string{
		"run", "--vm", name, "--data_centre", p.dataCentre, "--operator_token_file", s.tokenFile(),
		"--addresses_file", s.addressesFile(name), "--join", strings.Join(join, ","), "--log_level", "debug",
		"--discover", strconv.FormatBool(s.discover),
	}
	p.args = append(p.args, s.extraFlags...)
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
	return p.start(filepath.Join(binDir, "godwitplankd"), filepath.Join(s.dir, name+".log"))
}

// Ports of VMs are below the ephemeral port range, so that an outgoing connection never takes the port of a VM that is
// down.
const (
	firstPort = 10_000
	portCount = 22_000
)

// portOffset, chosen at random for each run, and the counter portsAllocated give each VM of a run its own ports.
var (
	portOffset = rand.IntN(portCount)
	// loopbackHost is a random loopback address, so that VMs of concurrent runs do not connect to each other.
	loopbackHost   = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))
	portsAllocated atomic.Int64
)

// freeAddrs returns an unused address for each flag name.
func freeAddrs(flags ...string) (map[string]string, error) {
	out := make(map[string]string)
	for _, flag := range flags {
		err := eventually(defaultTimeout, func() error {
			port := firstPort + (portOffset+int(portsAllocated.Add(1)))%portCount
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackHost, port))
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

// waitForAddrs waits until a VM has written its addresses file, and returns an error if its process exits first.
func (s *system) waitForAddrs(name string) error {
	p := s.vms[name]
	return eventually(defaultTimeout, func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited before it wrote its addresses: %v; its log ends with:\n%s", name, p.exitErr, lastLines(filepath.Join(s.dir, name+".log")))
		default:
		}
		return p.readAddrs(s.addressesFile(name))
	})
}

// lastLines returns the end of a log file.
func lastLines(path string) string {
	const maxLines = 20
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-maxLines):], "\n")
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
		p.exitErr = cmd.Wait()
		close(exited)
	})
	return nil
}

// reapers runs one goroutine per process, which waits for it to exit.
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

// startStandins starts one process that serves the simulated endpoints of a configuration file, and waits for their
// addresses.
func (s *system) startStandins(config string) error {
	p := &process{name: fmt.Sprintf("standin-%d", len(s.standins))}
	file := filepath.Join(s.dir, p.name+".addresses")
	p.args = []string{"--config", config, "--addresses_file", file}
	if err := p.start(filepath.Join(binDir, "standin"), filepath.Join(s.dir, p.name+".log")); err != nil {
		return err
	}
	s.standins = append(s.standins, p)
	if err := eventually(defaultTimeout, func() error { return p.readAddrs(file) }); err != nil {
		return err
	}
	for id, addr := range *p.addrs.Load() {
		s.standinAddrs[id] = addr
	}
	return nil
}

// setBehaviour sets the behaviour of an endpoint, given as JSON, or of all endpoints if id is "*".
func (s *system) setBehaviour(id, behaviour string) error {
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
			return fmt.Errorf("setting the behaviour of %s failed with status %d", id, response.StatusCode)
		}
	}
	return nil
}

// setCut cuts or heals the links from one set of VMs to another, in one or both directions.
func (s *system) setCut(from, to []string, bothDirections, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			s.relays[[2]string{a, b}].setCut(cut)
			if bothDirections {
				s.relays[[2]string{b, a}].setCut(cut)
			}
		}
	}
}

func (s *system) otherVMs(names []string) []string {
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

// eventually repeats check until it returns no error. After the timeout it returns the last error.
func eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
