package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	updateGolden  = flag.Bool("update", false, "update the golden files in the scripts")
	buildWithRace = flag.Bool("race_programs", false, "build the programs with the race detector")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "godwitplank-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build"}
	if *buildWithRace {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "-o", dir+"/", "godwitplank/cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs failed:", err)
		return 1
	}
	return m.Run()
}

// systemKey is the key under which the environment of a script stores its *system.
type systemKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		WorkdirRoot:         keptOnFailure(t),
		UpdateScripts:       *updateGolden,
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			s := newSystem(e.WorkDir)
			e.Values[systemKey{}] = s
			e.Defer(s.close)
			e.Setenv("PATH", binDir+string(os.PathListSeparator)+os.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"vms":       vmsCommand,
			"start":     onEachVM(func(s *system, name string) error { return s.launchAndWait(name) }),
			"crash":     onEachVM(func(s *system, name string) error { return s.vms[name].kill() }),
			"freeze":    onEachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGSTOP) }),
			"thaw":      onEachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGCONT) }),
			"wipe":      onEachVM(func(s *system, name string) error { return os.RemoveAll(s.vms[name].dataDir) }),
			"terminate": onEachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGTERM) }),
			"exits":     onEachVM((*system).waitForCleanExit),
			"isolate": onEachVM(func(s *system, name string) error {
				s.setCut([]string{name}, s.otherVMs([]string{name}), true, true)
				return nil
			}),
			"cut":      cutCommand(true),
			"heal":     healCommand,
			"standins": standinsCommand,
			"behave":   behaveCommand,
			"operate":  operateCommand,
			"request":  requestCommand,
			"until":    untilCommand,
			"during":   duringCommand,
			"curl":     curlCommand,
			"runs":     runsCommand,
			"pause":    pauseCommand,
			"orders":   ordersCommand,
			"leader":   leaderCommand,
			"steady":   steadyCommand,
			"system":   systemCommand,
			"race":     raceCommand,
			"changes":  changesCommand,
			"inforce":  inforceCommand,
			"watch":    watchCommand,
			"quiet":    quietCommand,
			"tear":     tearCommand,
			"spoil":    spoilCommand,
			"launch":   launchCommand,
			"inflight": inflightCommand,
			"plan":     planCommand,
			"havoc":    havocCommand,
			"spans":    spansCommand,
			"changing": changingCommand,
		},
	})
}

// keptOnFailure returns a folder that is removed after the test unless it failed, so that the logs of all VMs are left.
func keptOnFailure(t *testing.T) string {
	dir, err := os.MkdirTemp("", "godwitplank-scenarios-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the files and the logs of the VMs are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

func systemOf(ts *testscript.TestScript) *system {
	return ts.Value(systemKey{}).(*system)
}

// vmsCommand starts VMs and sets $callers_VM and $operators_VM to their addresses, for example $callers_vm_a for vm-a.
//
// Usage: vms NAME:DATA_CENTRE[:disk]...
func vmsCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	ts.Check(s.startVMs(args))
	for _, name := range s.names {
		key := strings.ReplaceAll(name, "-", "_")
		ts.Setenv("callers_"+key, s.vms[name].addr("callers_addr"))
		ts.Setenv("operators_"+key, s.vms[name].addr("operators_addr"))
	}
}

// onEachVM returns a script command that applies action to each of the given VMs.
func onEachVM(action func(s *system, name string) error) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := systemOf(ts)
		for _, vm := range args {
			if s.vms[vm] == nil {
				ts.Fatalf("unknown VM %q; start it with vms or system first", vm)
			}
			ts.Check(action(s, vm))
		}
	}
}

// launchAndWait starts the daemon of a VM and waits until it has written its addresses.
func (s *system) launchAndWait(name string) error {
	if err := s.launch(name); err != nil {
		return err
	}
	return s.waitForAddrs(name)
}

// waitForCleanExit waits until the process of a VM exits, and returns an error unless the exit code is 0.
func (s *system) waitForCleanExit(name string) error {
	p := s.vms[name]
	select {
	case <-p.exited:
		if p.exitErr != nil {
			return fmt.Errorf("%s exited: %v", name, p.exitErr)
		}
		return nil
	case <-time.After(defaultTimeout):
		return fmt.Errorf("%s did not exit within %v", name, defaultTimeout)
	}
}

// cutCommand returns the script command that cuts or heals the links between two sets of VMs. The second set is by default
// all other VMs. With -oneway only the direction from the first to the second set changes.
//
// Usage: cut [-oneway] VM,... [VM,...]
func cutCommand(cut bool) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := systemOf(ts)
		bothDirections := true
		if args[0] == "-oneway" {
			bothDirections, args = false, args[1:]
		}
		from := strings.Split(args[0], ",")
		to := s.otherVMs(from)
		if len(args) > 1 {
			to = strings.Split(args[1], ",")
		}
		s.setCut(from, to, bothDirections, cut)
	}
}

// healCommand heals all links.
func healCommand(ts *testscript.TestScript, _ bool, _ []string) {
	s := systemOf(ts)
	s.setCut(s.names, s.names, true, false)
}

// standinsCommand starts the simulated endpoints of a configuration file, after it expands variables such as
// ${callers_vm_a}.
//
// Usage: standins FILE
func standinsCommand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	path := ts.MkAbs(args[0] + ".expanded")
	ts.Check(os.WriteFile(path, []byte(text), 0o640))
	ts.Check(systemOf(ts).startStandins(path))
}

// behaveCommand sets the behaviour of an endpoint, or of all endpoints with *.
//
// Usage: behave ENDPOINT JSON
func behaveCommand(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).setBehaviour(args[0], strings.Join(args[1:], " ")))
}

func (s *system) cliArgs(vm string, args []string) []string {
	return append([]string{"--server", s.vms[vm].addr("operators_addr"), "--operator_token_file", s.tokenFile()}, args...)
}

// operateCommand runs the godwitplank command-line tool against the operators' address of a VM.
//
// Usage: [!] operate VM ARG...
func operateCommand(ts *testscript.TestScript, neg bool, args []string) {
	checkOutcome(ts, neg, ts.Exec(filepath.Join(binDir, "godwitplank"), systemOf(ts).cliArgs(args[0], args[1:])...))
}

func checkOutcome(ts *testscript.TestScript, neg bool, err error) {
	if (err != nil) != neg {
		ts.Fatalf("unexpected outcome of the command: error %v", err)
	}
}

// requestCommand runs godwitplank request against a VM, with the key of workspace crews.
//
// Usage: [!] request VM PIPELINE ARG...
func requestCommand(ts *testscript.TestScript, neg bool, args []string) {
	checkOutcome(ts, neg, ts.Exec(filepath.Join(binDir, "godwitplank"), requestArgs(systemOf(ts), args)...))
}

func requestArgs(s *system, args []string) []string {
	prefix := []string{"request", args[1], "--callers_addr", s.vms[args[0]].addr("callers_addr"), "--workspace_key", "crews-key"}
	return append(prefix, args[2:]...)
}

// untilCommand repeats a command until its output matches a regular expression.
//
// Usage: until TIMEOUT PATTERN (operate|request|ready) VM ARG...
func untilCommand(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	s := systemOf(ts)
	err = eventually(timeout, func() error {
		output := s.commandOutput(args[2:])
		if !pattern.MatchString(output) {
			return fmt.Errorf("no match for %s in:\n%s", pattern, output)
		}
		return nil
	})
	ts.Check(err)
}

// duringCommand repeats a command for a duration and checks that its output always matches a regular expression or,
// negated, never does.
//
// Usage: [!] during DURATION PATTERN (operate|request|ready) VM ARG...
func duringCommand(ts *testscript.TestScript, neg bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	s := systemOf(ts)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pollInterval) {
		output := s.commandOutput(args[2:])
		if pattern.MatchString(output) == neg {
			ts.Fatalf("pattern %s (negated: %v) failed on:\n%s", pattern, neg, output)
		}
	}
}

// commandOutput returns the combined stdout and stderr of operate or request, or for ready the status of the readiness
// probe.
func (s *system) commandOutput(args []string) string {
	var cmdArgs []string
	switch args[0] {
	case "operate":
		cmdArgs = s.cliArgs(args[1], args[2:])
	case "request":
		cmdArgs = requestArgs(s, args[1:])
	case "ready":
		return s.readinessStatus(args[1])
	}
	output, _ := exec.Command(filepath.Join(binDir, "godwitplank"), cmdArgs...).CombinedOutput()
	return string(output)
}

func pauseCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
