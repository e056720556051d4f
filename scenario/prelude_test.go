package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"godwitplank"
	"godwitplank/console"
	"godwitplank/fault"
)

// Systems of the scripts. Three of the VMs have a disk, in "five" all.
var systems = map[string]struct {
	vms       []string
	voters    string
	standins  string
	endpoints int
	flags     []string
}{
	"three": {
		[]string{"vm-a:dc-a:disk", "vm-b:dc-b:disk", "vm-c:dc-c:disk"},
		"vm-a,vm-b,vm-c", "standins.yaml", 13, nil,
	},
	"five": {
		[]string{"vm-a:dc-a:disk", "vm-b:dc-b:disk", "vm-c:dc-c:disk", "vm-d:dc-a:disk", "vm-e:dc-b:disk"},
		"vm-a,vm-b,vm-c", "standins.yaml", 13,
		[]string{"--disk_losses", "2"},
	},
	"eight": {
		[]string{
			"vm-a:dc-a:disk", "vm-b:dc-a", "vm-c:dc-b:disk", "vm-d:dc-b",
			"vm-e:dc-c:disk", "vm-f:dc-c", "vm-g:dc-d", "vm-h:dc-d",
		},
		"vm-a,vm-c,vm-e", "standins-eight.yaml", 32, nil,
	},
}

// systemCommand starts a whole system with the example document and waits until every VM serves: system three|five|eight [discover|trace]
func systemCommand(ts *testscript.TestScript, _ bool, args []string) {
	kind, s := systems[args[0]], systemOf(ts)
	s.discover = len(args) > 1 && args[1] == "discover"
	s.trace = len(args) > 1 && args[1] == "trace"
	s.extra = append(s.extra, kind.flags...)
	vmsCommand(ts, false, kind.vms)
	examples := filepath.Join(sourceDir, "..", "example")
	document, err := os.ReadFile(filepath.Join(examples, "document.yaml"))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("document.yaml"), document, 0o640))
	first := s.names[0]
	ts.Check(eventually(patience, func() error {
		_, err := s.createGroup(first, kind.voters)
		return err
	}))
	ts.Check(eventually(patience, func() error {
		_, refusal := s.submit(first, document, firstChange)
		if refusal != nil {
			return refusal
		}
		return nil
	}))
	config, err := os.ReadFile(filepath.Join(examples, kind.standins))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("standins.yaml"), config, 0o640))
	standinsCommand(ts, false, []string{"standins.yaml"})
	for _, name := range s.names {
		ts.Check(s.serving(name, kind.endpoints))
	}
}

const firstChange = "00000000-0000-4000-8000-000000000001"

// sourceDir is the folder of this package; scripts run elsewhere.
var sourceDir, _ = os.Getwd()

// serving waits until a VM is ready and knows as many working endpoints.
func (s *system) serving(name string, endpoints int) error {
	return eventually(patience, func() error {
		status, err := s.status(name)
		if err != nil {
			return err
		}
		working := 0
		for _, e := range status.Endpoints {
			if e.State == "working" {
				working++
			}
		}
		if !status.Ready || working != endpoints {
			return fmt.Errorf("%s is ready: %v, with %d endpoints", name, status.Ready, working)
		}
		return nil
	})
}

// ask sends a request to a VM's operators' address.
func (s *system) ask(vm, method, path string, body []byte, changeID string, value any) error {
	r, err := http.NewRequest(method, "http://"+s.vms[vm].addr("operators_addr")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	if changeID != "" {
		r.Header.Set(godwitplank.HeaderChangeID, changeID)
	}
	response, err := callers.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		refusal := &fault.Error{}
		if err := json.Unmarshal(text, refusal); err != nil {
			return err
		}
		return refusal
	}
	return json.Unmarshal(text, value)
}

func (s *system) status(vm string) (*console.Status, error) {
	status := &console.Status{}
	return status, s.ask(vm, http.MethodGet, "/v1/status", nil, "", status)
}

func (s *system) createGroup(vm, voters string) (*console.GroupStatus, error) {
	body, err := json.Marshal(map[string][]string{"voters": strings.Split(voters, ",")})
	if err != nil {
		return nil, err
	}
	g := &console.GroupStatus{}
	return g, s.ask(vm, http.MethodPut, "/v1/group", body, "", g)
}

func (s *system) submit(vm string, document []byte, changeID string) (*console.Accepted, error) {
	a := &console.Accepted{}
	return a, s.ask(vm, http.MethodPut, "/v1/document", document, changeID, a)
}

// version returns the example document with a version and a note in a workspace's priority that makes it unlike others.
func version(ts *testscript.TestScript, n uint64, mark int) []byte {
	text := ts.ReadFile("document.yaml")
	text = strings.Replace(text, "version: 1", fmt.Sprintf("version: %d", n), 1)
	return []byte(strings.Replace(text, "priority: 1", fmt.Sprintf("priority: %d", mark), 1))
}

// raceCommand has every VM named submit its own document of the same version at once, each resent until it has an
// answer; exactly one must win and the others be told who did: race VERSION VM...
func raceCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var n uint64
	_, err := fmt.Sscan(args[0], &n)
	ts.Check(err)
	var group sync.WaitGroup
	ids := make([]string, len(args)-1)
	results := make([]error, len(args)-1)
	for i, vm := range args[1:] {
		ids[i] = uuid.NewString()
		document := version(ts, n, 100+i)
		group.Go(func() { results[i] = s.insist(vm, document, ids[i]) })
	}
	group.Wait()
	winner := -1
	for i, err := range results {
		if err == nil && winner >= 0 {
			ts.Fatalf("two submissions of version %d were accepted", n)
		}
		if err == nil {
			winner = i
		}
	}
	if winner < 0 {
		ts.Fatalf("no submission of version %d was accepted: %v", n, results)
	}
	for i, err := range results {
		refusal := fault.As(err)
		if i != winner && (refusal.Kind != fault.VersionConflict || refusal.Version != n || refusal.ChangeID != ids[winner]) {
			ts.Fatalf("the loser was told %+v", refusal)
		}
	}
	// The same changes again get the same answers.
	for i, vm := range args[1:] {
		again := s.insist(vm, version(ts, n, 100+i), ids[i])
		if (again == nil) != (results[i] == nil) {
			ts.Fatalf("change %d was answered with %v, and again with %v", i, results[i], again)
		}
	}
}

// insist resends a change until it is accepted or refused for certain.
func (s *system) insist(vm string, document []byte, changeID string) error {
	var last error
	err := eventually(patience, func() error {
		_, last = s.submit(vm, document, changeID)
		if last == nil || fault.As(last).Kind == fault.VersionConflict {
			return nil
		}
		return last
	})
	if err != nil {
		return err
	}
	return last
}

// changesCommand submits many versions one after another: changes FROM TO VM
func changesCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var from, to uint64
	_, err := fmt.Sscan(args[0]+" "+args[1], &from, &to)
	ts.Check(err)
	begun := time.Now()
	for n := from; n <= to; n++ {
		ts.Check(s.insist(args[2], version(ts, n, int(n)), uuid.NewString()))
	}
	ts.Logf("%d changes in %v", to-from+1, time.Since(begun).Round(time.Millisecond))
}

// inforceCommand waits until a version is in force on the VMs named, on all if none is: inforce VERSION LIMIT VM...
func inforceCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	names := args[2:]
	if len(names) == 0 {
		names = s.names
	}
	begun := time.Now()
	for _, name := range names {
		ts.Check(eventually(limit, func() error {
			status, err := s.status(name)
			if err != nil {
				return err
			}
			if fmt.Sprint(status.DocumentVersion) != args[0] {
				return fmt.Errorf("%s has version %d in force", name, status.DocumentVersion)
			}
			return nil
		}))
	}
	ts.Logf("version %s is in force on %d VMs after %v", args[0], len(names), time.Since(begun).Round(time.Millisecond))
}

// watchdog checks all the time that no VM goes back to an older document, and that no VM that answers is without invariants.
type watchdog struct {
	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	faults []string
}

// watch follows the versions that each VM shows until stopped. A VM that restarts without a disk may know none, but no older one.
func (w *watchdog) watch(s *system, name string) {
	var newest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollPause):
		}
		status, err := s.status(name)
		if err != nil {
			continue
		}
		if v := status.DocumentVersion; v != 0 && v < newest {
			w.mu.Lock()
			w.faults = append(w.faults, fmt.Sprintf("%s went from version %d back to %d", name, newest, v))
			w.mu.Unlock()
		}
		newest = max(newest, status.DocumentVersion)
	}
}

var watchdogs sync.Map // system -> *watchdog

// watchCommand checks from watch start to watch stop that no document reverts.
func watchCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		w := &watchdog{stop: make(chan struct{})}
		watchdogs.Store(s, w)
		for _, name := range s.names {
			w.group.Go(func() { w.watch(s, name) })
		}
		return
	}
	v, _ := watchdogs.LoadAndDelete(s)
	w := v.(*watchdog)
	close(w.stop)
	w.group.Wait()
	if len(w.faults) > 0 {
		ts.Fatalf("%s", strings.Join(w.faults, "; "))
	}
}
