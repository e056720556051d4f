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
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"godwitplank/console"
)

// readinessStatus returns the HTTP status code of a VM's readiness probe, or the text of the error if the probe failed.
func (s *system) readinessStatus(vm string) string {
	response, err := http.Get("http://" + s.vms[vm].addr("operators_addr") + "/readyz")
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return strconv.Itoa(response.StatusCode)
}

// curlCommand sends an HTTP request and writes the status and body of the response to a file. A body of the form bytes:N
// is N bytes long.
//
// Usage: curl METHOD URL FILE [BODY] [Header:Value]...
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
	responseBody, err := io.ReadAll(response.Body)
	ts.Check(err)
	responseBody = maskRequestID(responseBody)
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), fmt.Appendf(nil, "%d\n%s", response.StatusCode, responseBody), 0o640))
}

// maskRequestID replaces the random request ID in a JSON body by ID, so that the body can be compared with a golden file.
func maskRequestID(text []byte) []byte {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(text, &body) == nil && body.RequestID != "" {
		return bytes.ReplaceAll(text, []byte(body.RequestID), []byte("ID"))
	}
	return text
}

// journalEntry is one line of the journal, in which the simulated endpoints record each run of a stage.
type journalEntry struct {
	Endpoint  string          `json:"endpoint"`
	RequestID string          `json:"request_id"`
	Stage     string          `json:"stage"`
	At        time.Time       `json:"at"`
	Input     json.RawMessage `json:"input"`
}

// readJournal reads the journal up to its end. A line that is being written may be seen in part, so that it is waited for.
func readJournal(path string) ([]journalEntry, error) {
	for deadline := time.Now().Add(defaultTimeout); ; time.Sleep(pollInterval) {
		text, err := os.ReadFile(path)
		switch {
		case err != nil:
			return nil, err
		case len(text) == 0 || text[len(text)-1] == '\n':
			return parseJournal(text)
		case time.Now().After(deadline):
			return nil, fmt.Errorf("the last line of %s is incomplete", path)
		}
	}
}

func parseJournal(text []byte) ([]journalEntry, error) {
	var entries []journalEntry
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		var entry journalEntry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, scanner.Err()
}

// A line of the journal that is being written is read whole, not as a malformed one.
func TestJournalIsReadWhileItIsWritten(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "journal")
	const line = "{\"stage\":\"order\"}\n"
	is.NoErr(os.WriteFile(path, []byte(line+line[:9]), 0o600))
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(2 * pollInterval)
		_, _ = file.WriteString(line[9:])
		_ = file.Close()
	})
	entries, err := readJournal(path)
	group.Wait()
	is.NoErr(err)
	is.Equal(len(entries), 2)
}

// runsCommand checks how many times a stage ran with an input.
//
// Usage: runs JOURNAL STAGE INPUT COUNT
func runsCommand(ts *testscript.TestScript, _ bool, args []string) {
	entries, err := readJournal(ts.MkAbs(args[0]))
	ts.Check(err)
	count := 0
	for _, entry := range entries {
		if entry.Stage == args[1] && string(entry.Input) == args[2] {
			count++
		}
	}
	if strconv.Itoa(count) != args[3] {
		ts.Fatalf("stage %s ran %d times with input %s, want %s", args[1], count, args[2], args[3])
	}
}

// leaderCommand waits until a VM knows the leader of the group. It sets $leader, and $voter, $voter2 and so on to the
// voters that are not the leader.
//
// Usage: leader VM
func leaderCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var status console.Status
	ts.Check(eventually(defaultTimeout, func() error {
		out, err := exec.Command(filepath.Join(binDir, "godwitplank"), s.cliArgs(args[0], []string{"document", "status", "--output", "json"})...).Output()
		if err != nil {
			return err
		}
		status = console.Status{}
		if err := json.Unmarshal(out, &status); err != nil {
			return err
		}
		if status.Group == nil || status.Group.LeaderVM == "" {
			return fmt.Errorf("the group has no known leader")
		}
		return nil
	}))
	ts.Setenv("leader", status.Group.LeaderVM)
	otherVoters := 0
	for _, replica := range status.Group.Replicas {
		if replica.VM != status.Group.LeaderVM && replica.Role == "voter" {
			otherVoters++
			ts.Setenv([]string{"", "voter", "voter2", "voter3", "voter4"}[otherVoters], replica.VM)
		}
	}
}

// span is the part of a span in a trace file that spansCommand checks.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// rootSpanNames are the names of root spans: a caller's request and an operator's change of the document.
var rootSpanNames = map[string]bool{"request": true, "change": true}

// spansCommand checks that the trace files of the VMs contain spans with the given names, and that each span descends
// from a root span.
//
// Usage: spans NAME...
func spansCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	byID := make(map[string]span)
	countByName := make(map[string]int)
	for _, name := range s.names {
		file, err := os.Open(s.traceFile(name))
		ts.Check(err)
		for decoder := json.NewDecoder(file); decoder.More(); {
			var decoded span
			ts.Check(decoder.Decode(&decoded))
			byID[decoded.SpanContext.SpanID] = decoded
			countByName[decoded.Name]++
		}
		ts.Check(file.Close())
	}
	for _, name := range args {
		if countByName[name] == 0 {
			ts.Fatalf("no span is named %s; spans by name: %v", name, countByName)
		}
	}
	for _, child := range byID {
		ancestor := child
		for depth := 0; !rootSpanNames[ancestor.Name] && depth < 10; depth++ {
			ancestor = byID[ancestor.Parent.SpanID]
		}
		if !rootSpanNames[ancestor.Name] {
			ts.Fatalf("span %s does not descend from a request or change span", child.Name)
		}
	}
}
