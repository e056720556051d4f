package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"godwitplank/console"
)

// ready returns the status of a VM's readiness probe.
func (s *system) ready(vm string) string {
	response, err := http.Get("http://" + s.vms[vm].addr("operators_addr") + "/readyz")
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return strconv.Itoa(response.StatusCode)
}

// curlCommand sends a raw request and writes its status and body to a file: curl METHOD URL FILE [BODY] [Header:Value]...
func curlCommand(ts *testscript.TestScript, _ bool, args []string) {
	var body string
	if len(args) > 3 {
		body = args[3]
	}
	if size, ok := strings.CutPrefix(body, "bytes:"); ok {
		n, err := strconv.Atoi(size)
		ts.Check(err)
		body = strings.Repeat("x", n)
	}
	r, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	for _, h := range args[min(4, len(args)):] {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	text = hideID(text)
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), fmt.Appendf(nil, "%d\n%s", response.StatusCode, text), 0o640))
}

// hideID takes the random request id out of a body.
func hideID(text []byte) []byte {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(text, &body) == nil && body.RequestID != "" {
		return bytes.ReplaceAll(text, []byte(body.RequestID), []byte("ID"))
	}
	return text
}

// runOf is one line of the stand-ins' journal.
type runOf struct {
	Endpoint  string          `json:"endpoint"`
	RequestID string          `json:"request_id"`
	Stage     string          `json:"stage"`
	At        time.Time       `json:"at"`
	Input     json.RawMessage `json:"input"`
}

func readJournal(path string) ([]runOf, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []runOf
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var r runOf
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, scanner.Err()
}

// runsCommand checks how often a stage ran with an input: runs JOURNAL STAGE INPUT COUNT
func runsCommand(ts *testscript.TestScript, _ bool, args []string) {
	runs, err := readJournal(ts.MkAbs(args[0]))
	ts.Check(err)
	n := 0
	for _, r := range runs {
		if r.Stage == args[1] && string(r.Input) == args[2] {
			n++
		}
	}
	if strconv.Itoa(n) != args[3] {
		ts.Fatalf("stage %s ran %d times with input %s, not %s", args[1], n, args[2], args[3])
	}
}

// leaderCommand waits for a leader known to a VM and sets $leader, $voter (a voter that does not lead) and $voter2.
func leaderCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var status console.Status
	ts.Check(eventually(patience, func() error {
		out, err := exec.Command(filepath.Join(programs, "godwitplank"), s.toolArgs(args[0], []string{"document", "status", "--output", "json"})...).Output()
		if err != nil {
			return err
		}
		status = console.Status{}
		if err := json.Unmarshal(out, &status); err != nil {
			return err
		}
		if status.Group == nil || status.Group.LeaderVM == "" {
			return fmt.Errorf("no leader is known")
		}
		return nil
	}))
	ts.Setenv("leader", status.Group.LeaderVM)
	n := 0
	for _, r := range status.Group.Replicas {
		if r.VM != status.Group.LeaderVM && r.Role == "voter" {
			n++
			ts.Setenv([]string{"", "voter", "voter2", "voter3", "voter4"}[n], r.VM)
		}
	}
}

// span is what the trace files hold of a hop.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// roots are the spans that begin a trace: a caller's request and an operator's change.
var roots = map[string]bool{"request": true, "change": true}

// spansCommand checks that the VMs' traces have spans of the names given, each joined to a request or a change: spans NAME...
func spansCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	known := make(map[string]span)
	count := make(map[string]int)
	for _, name := range s.names {
		file, err := os.Open(s.traceFile(name))
		ts.Check(err)
		for d := json.NewDecoder(file); d.More(); {
			var one span
			ts.Check(d.Decode(&one))
			known[one.SpanContext.SpanID] = one
			count[one.Name]++
		}
		ts.Check(file.Close())
	}
	for _, name := range args {
		if count[name] == 0 {
			ts.Fatalf("no span is named %s, only %v", name, count)
		}
	}
	for _, one := range known {
		root := one
		for depth := 0; !roots[root.Name] && depth < 10; depth++ {
			root = known[root.Parent.SpanID]
		}
		if !roots[root.Name] {
			ts.Fatalf("span %s belongs to no request and no change", one.Name)
		}
	}
}
