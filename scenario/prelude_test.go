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

// topologies are the systems that scripts can start, by name. VM specifications have the form name:data_centre[:disk].
// The number of endpoints must match the configuration of the simulated endpoints.
var topologies = map[string]struct {
	vmSpecs       []string
	voters        string
	standinConfig string
	endpoints     int
	flags         []string
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

// systemCommand starts the VMs and simulated endpoints of a topology with the example document, and waits until every VM
// serves requests. With discover, VMs know only the first VM at the start; with trace, they write trace files.
//
// Usage: system three|five|eight [discover|trace]
func systemCommand(ts *testscript.TestScript, _ bool, args []string) {
	topology, s := topologies[args[0]], systemOf(ts)
	s.discover = len(args) > 1 && args[1] == "discover"
	s.trace = len(args) > 1 && args[1] == "trace"
	s.extraFlags = append(s.extraFlags, topology.flags...)
	vmsCommand(ts, false, topology.vmSpecs)
	examples := filepath.Join(sourceDir, "..", "example")
	document, err := os.ReadFile(filepath.Join(examples, "document.yaml"))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("document.yaml"), document, 0o640))
	firstVM := s.names[0]
	ts.Check(eventually(defaultTimeout, func() error {
		_, err := s.createGroup(firstVM, topology.voters)
		return err
	}))
	ts.Check(eventually(defaultTimeout, func() error {
		_, submitErr := s.submit(firstVM, document, firstChangeID)
		if submitErr != nil {
			return submitErr
		}
		return nil
	}))
	config, err := os.ReadFile(filepath.Join(examples, topology.standinConfig))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("standins.yaml"), config, 0o640))
	standinsCommand(ts, false, []string{"standins.yaml"})
	for _, name := range s.names {
		ts.Check(s.waitUntilServing(name, topology.endpoints))
	}
}

const firstChangeID = "00000000-0000-4000-8000-000000000001"

// sourceDir is the directory of this package; scripts run in a temporary directory.
var sourceDir, _ = os.Getwd()

// waitUntilServing waits until a VM is ready and knows the given number of working endpoints.
func (s *system) waitUntilServing(vm string, endpoints int) error {
	return eventually(defaultTimeout, func() error {
		status, err := s.status(vm)
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
			return fmt.Errorf("%s is not serving: ready is %v and %d endpoints are working", vm, status.Ready, working)
		}
		return nil
	})
}

// callOperators sends a request to the operators' API of a VM and decodes the response into out. An error response is
// returned as a *fault.Error.
func (s *system) callOperators(vm, method, path string, body []byte, changeID string, out any) error {
	r, err := http.NewRequest(method, "http://"+s.vms[vm].addr("operators_addr")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	if changeID != "" {
		r.Header.Set(godwitplank.HeaderChangeID, changeID)
	}
	response, err := httpClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		apiErr := &fault.Error{}
		if err := json.Unmarshal(responseBody, apiErr); err != nil {
			return err
		}
		return apiErr
	}
	return json.Unmarshal(responseBody, out)
}

func (s *system) status(vm string) (*console.Status, error) {
	status := &console.Status{}
	return status, s.callOperators(vm, http.MethodGet, "/v1/status", nil, "", status)
}

func (s *system) createGroup(vm, voters string) (*console.GroupStatus, error) {
	body, err := json.Marshal(map[string][]string{"voters": strings.Split(voters, ",")})
	if err != nil {
		return nil, err
	}
	g := &console.GroupStatus{}
	return g, s.callOperators(vm, http.MethodPut, "/v1/group", body, "", g)
}

func (s *system) submit(vm string, document []byte, changeID string) (*console.SubmitResult, error) {
	result := &console.SubmitResult{}
	return result, s.callOperators(vm, http.MethodPut, "/v1/document", document, changeID, result)
}

// documentVersion returns the example document with another version. The priority of a workspace makes documents with the
// same version differ.
func documentVersion(ts *testscript.TestScript, version uint64, priority int) []byte {
	text := ts.ReadFile("document.yaml")
	text = strings.Replace(text, "version: 1", fmt.Sprintf("version: %d", version), 1)
	return []byte(strings.Replace(text, "priority: 1", fmt.Sprintf("priority: %d", priority), 1))
}

// raceCommand concurrently submits a different document with the same version through each VM, and retries each until it
// is accepted or conflicts. It checks that exactly one is accepted and that the others get a version conflict with the
// change ID of the accepted one.
//
// Usage: race VERSION VM...
func raceCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var version uint64
	_, err := fmt.Sscan(args[0], &version)
	ts.Check(err)
	var wg sync.WaitGroup
	changeIDs := make([]string, len(args)-1)
	errs := make([]error, len(args)-1)
	for i, vm := range args[1:] {
		changeIDs[i] = uuid.NewString()
		document := documentVersion(ts, version, 100+i)
		wg.Go(func() { errs[i] = s.submitUntilDecided(vm, document, changeIDs[i]) })
	}
	wg.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil && winner >= 0 {
			ts.Fatalf("two submissions of version %d were accepted", version)
		}
		if err == nil {
			winner = i
		}
	}
	if winner < 0 {
		ts.Fatalf("no submission of version %d was accepted: %v", version, errs)
	}
	for i, err := range errs {
		loserErr := fault.As(err)
		if i != winner && (loserErr.Kind != fault.VersionConflict || loserErr.Version != version || loserErr.ChangeID != changeIDs[winner]) {
			ts.Fatalf("unexpected error for a rejected submission: %+v", loserErr)
		}
	}
	// A retry with the same change ID gets the same result.
	for i, vm := range args[1:] {
		retryErr := s.submitUntilDecided(vm, documentVersion(ts, version, 100+i), changeIDs[i])
		if (retryErr == nil) != (errs[i] == nil) {
			ts.Fatalf("change %d returned %v, and on a retry %v", i, errs[i], retryErr)
		}
	}
}

// submitUntilDecided submits a change with the same change ID until it is accepted or rejected with a version conflict.
func (s *system) submitUntilDecided(vm string, document []byte, changeID string) error {
	var lastErr error
	err := eventually(defaultTimeout, func() error {
		_, lastErr = s.submit(vm, document, changeID)
		if lastErr == nil || fault.As(lastErr).Kind == fault.VersionConflict {
			return nil
		}
		return lastErr
	})
	if err != nil {
		return err
	}
	return lastErr
}

// changesCommand submits the document versions of a range, one after another.
//
// Usage: changes FIRST LAST VM
func changesCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var first, last uint64
	_, err := fmt.Sscan(args[0]+" "+args[1], &first, &last)
	ts.Check(err)
	start := time.Now()
	for version := first; version <= last; version++ {
		ts.Check(s.submitUntilDecided(args[2], documentVersion(ts, version, int(version)), uuid.NewString()))
	}
	ts.Logf("%d changes in %v", last-first+1, time.Since(start).Round(time.Millisecond))
}

// inforceCommand waits until a document version is active on the given VMs, by default on all.
//
// Usage: inforce VERSION TIMEOUT [VM]...
func inforceCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	vms := args[2:]
	if len(vms) == 0 {
		vms = s.names
	}
	start := time.Now()
	for _, vm := range vms {
		ts.Check(eventually(timeout, func() error {
			status, err := s.status(vm)
			if err != nil {
				return err
			}
			if fmt.Sprint(status.DocumentVersion) != args[0] {
				return fmt.Errorf("%s has document version %d active", vm, status.DocumentVersion)
			}
			return nil
		}))
	}
	ts.Logf("document version %s is active on %d VMs after %v", args[0], len(vms), time.Since(start).Round(time.Millisecond))
}

// versionMonitor polls the VMs and records every VM that goes back to an older document version.
type versionMonitor struct {
	stop       chan struct{}
	wg         sync.WaitGroup
	mu         sync.Mutex
	violations []string
}

// watch polls the document version of a VM until the monitor is stopped. A VM without a disk may have no document (version
// 0) after a restart, but never an older one.
func (m *versionMonitor) watch(s *system, vm string) {
	var highest uint64
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(pollInterval):
		}
		status, err := s.status(vm)
		if err != nil {
			continue
		}
		if current := status.DocumentVersion; current != 0 && current < highest {
			m.mu.Lock()
			m.violations = append(m.violations, fmt.Sprintf("%s reverted from document version %d to %d", vm, highest, current))
			m.mu.Unlock()
		}
		highest = max(highest, status.DocumentVersion)
	}
}

var versionMonitors sync.Map // *system -> *versionMonitor

// watchCommand checks that no VM reverts to an older document version between start and stop.
//
// Usage: watch start, watch stop
func watchCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		monitor := &versionMonitor{stop: make(chan struct{})}
		versionMonitors.Store(s, monitor)
		for _, name := range s.names {
			monitor.wg.Go(func() { monitor.watch(s, name) })
		}
		return
	}
	v, _ := versionMonitors.LoadAndDelete(s)
	monitor := v.(*versionMonitor)
	close(monitor.stop)
	monitor.wg.Wait()
	if len(monitor.violations) > 0 {
		ts.Fatalf("%s", strings.Join(monitor.violations, "; "))
	}
}
