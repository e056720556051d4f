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
	update = flag.Bool("update", false, "rewrite the golden files in the scripts")
	race   = flag.Bool("race_programs", false, "build the programs with the race detector")
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
	programs = dir
	args := []string{"build"}
	if *race {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "-o", dir+"/", "godwitplank/cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "the programs do not build:", err)
		return 1
	}
	return m.Run()
}

// systemKey is the key of a script's system.
type systemKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			s := newSystem(e.WorkDir)
			e.Values[systemKey{}] = s
			e.Defer(s.close)
			e.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"vms":       vmsCommand,
			"start":     eachVM(func(s *system, name string) error { return s.restart(name) }),
			"crash":     eachVM(func(s *system, name string) error { return s.vms[name].kill() }),
			"freeze":    eachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGSTOP) }),
			"thaw":      eachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGCONT) }),
			"wipe":      eachVM(func(s *system, name string) error { return os.RemoveAll(s.vms[name].dataDir) }),
			"terminate": eachVM(func(s *system, name string) error { return s.vms[name].signal(syscall.SIGTERM) }),
			"exits":     eachVM((*system).exits),
			"isolate": eachVM(func(s *system, name string) error {
				s.cut([]string{name}, s.others([]string{name}), true, true)
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

func systemOf(ts *testscript.TestScript) *system {
	return ts.Value(systemKey{}).(*system)
}

func vmsCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	ts.Check(s.add(args))
	for _, name := range s.names {
		key := strings.ReplaceAll(name, "-", "_")
		ts.Setenv("callers_"+key, s.vms[name].addr("callers_addr"))
		ts.Setenv("operators_"+key, s.vms[name].addr("operators_addr"))
	}
}

// eachVM makes a command of an action on each VM named; $leader names the leader.
func eachVM(action func(s *system, name string) error) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := systemOf(ts)
		for _, name := range args {
			if s.vms[name] == nil {
				ts.Fatalf("there is no VM %q", name)
			}
			ts.Check(action(s, name))
		}
	}
}

func (s *system) restart(name string) error {
	if err := s.launch(name); err != nil {
		return err
	}
	return s.bound(name)
}

// exits waits until a VM has ended with exit code 0.
func (s *system) exits(name string) error {
	p := s.vms[name]
	select {
	case <-p.exited:
		if p.err != nil {
			return fmt.Errorf("%s ended with %v", name, p.err)
		}
		return nil
	case <-time.After(patience):
		return fmt.Errorf("%s has not ended within %v", name, patience)
	}
}

// cutCommand cuts A,B from C,D in both directions; cut -oneway only from the first to the second.
func cutCommand(cut bool) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := systemOf(ts)
		both := true
		if args[0] == "-oneway" {
			both, args = false, args[1:]
		}
		from := strings.Split(args[0], ",")
		to := s.others(from)
		if len(args) > 1 {
			to = strings.Split(args[1], ",")
		}
		s.cut(from, to, both, cut)
	}
}

func healCommand(ts *testscript.TestScript, _ bool, _ []string) {
	s := systemOf(ts)
	s.cut(s.names, s.names, true, false)
}

// standinsCommand starts the stand-ins of a file in which ${...} stands for addresses of VMs.
func standinsCommand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	path := ts.MkAbs(args[0] + ".expanded")
	ts.Check(os.WriteFile(path, []byte(text), 0o640))
	ts.Check(systemOf(ts).startStandins(path))
}

func behaveCommand(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).behave(args[0], strings.Join(args[1:], " ")))
}

func (s *system) toolArgs(vm string, args []string) []string {
	return append([]string{"--server", s.vms[vm].addr("operators_addr"), "--operator_token_file", s.tokenFile()}, args...)
}

// operateCommand runs the tool against a VM.
func operateCommand(ts *testscript.TestScript, neg bool, args []string) {
	expect(ts, neg, ts.Exec(filepath.Join(programs, "godwitplank"), systemOf(ts).toolArgs(args[0], args[1:])...))
}

func expect(ts *testscript.TestScript, neg bool, err error) {
	if (err != nil) != neg {
		ts.Fatalf("ended with %v", err)
	}
}

// requestCommand sends a request to a VM with the workspace key of the scripts.
func requestCommand(ts *testscript.TestScript, neg bool, args []string) {
	expect(ts, neg, ts.Exec(filepath.Join(programs, "godwitplank"), requestArgs(systemOf(ts), args)...))
}

func requestArgs(s *system, args []string) []string {
	head := []string{"request", args[1], "--callers_addr", s.vms[args[0]].addr("callers_addr"), "--workspace_key", "crews-key"}
	return append(head, args[2:]...)
}

// untilCommand repeats operate or request until its output matches a pattern: until 5s PATTERN operate vm-a ...
func untilCommand(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	s := systemOf(ts)
	err = eventually(limit, func() error {
		text := s.outputOf(args[2:])
		if !pattern.MatchString(text) {
			return fmt.Errorf("no match for %s in:\n%s", pattern, text)
		}
		return nil
	})
	ts.Check(err)
}

// duringCommand checks that the output matches a pattern the whole time: during 2s PATTERN operate vm-a ...
func duringCommand(ts *testscript.TestScript, neg bool, args []string) {
	length, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	s := systemOf(ts)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pollPause) {
		text := s.outputOf(args[2:])
		if pattern.MatchString(text) == neg {
			ts.Fatalf("pattern %s, negated %v, against:\n%s", pattern, neg, text)
		}
	}
}

// outputOf returns what a command of the tool prints, on both outputs.
func (s *system) outputOf(args []string) string {
	var full []string
	switch args[0] {
	case "operate":
		full = s.toolArgs(args[1], args[2:])
	case "request":
		full = requestArgs(s, args[1:])
	case "ready":
		return s.ready(args[1])
	}
	text, _ := exec.Command(filepath.Join(programs, "godwitplank"), full...).CombinedOutput()
	return string(text)
}

func pauseCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
