package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"godwitplank"
	"godwitplank/console"
)

// requestFlags holds the flags of the request command.
type requestFlags struct {
	callersAddr    string
	workspaceKey   string
	input          string
	idempotencyKey string
	attempt        uint32
	deadlineMS     int64
	stream         bool
}

func (t *tool) requestCommand() *cobra.Command {
	f := &requestFlags{}
	c := &cobra.Command{
		Use:     "request PIPELINE",
		Short:   "Send one request and print its output",
		Example: `  godwitplank request supply_notice --input '"main 7"' --workspace_key secret --callers_addr 127.0.0.1:7101`,
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE:    func(c *cobra.Command, args []string) error { return t.sendRequest(c, args[0], f) },
	}
	c.Flags().StringVar(&f.callersAddr, "callers_addr", "", "address on which a VM accepts requests, ip:port; that of --server if empty")
	c.Flags().StringVar(&f.workspaceKey, "workspace_key", os.Getenv("GODWITPLANK_WORKSPACE_KEY"), "workspace key [GODWITPLANK_WORKSPACE_KEY]")
	c.Flags().StringVar(&f.input, "input", "", "pipeline input as JSON")
	c.Flags().StringVar(&f.idempotencyKey, "idempotency_key", "", "idempotency key; required by pipelines with a stage that is not idempotent")
	c.Flags().Uint32Var(&f.attempt, "attempt", 0, "attempt number for the idempotency key, from 1; not sent if 0")
	c.Flags().Int64Var(&f.deadlineMS, "deadline_ms", 0, "deadline in milliseconds; the pipeline's own if 0 or if that is shorter")
	c.Flags().BoolVar(&f.stream, "stream", false, "print each event as it arrives")
	return c
}

func (t *tool) sendRequest(c *cobra.Command, pipeline string, f *requestFlags) error {
	if !json.Valid([]byte(f.input)) {
		return usageError("--input is %q; give JSON, such as '\"text\"'", f.input)
	}
	if f.callersAddr == "" {
		var s console.Status
		if err := t.call(c.Context(), http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
			return err
		}
		f.callersAddr = s.VMs[0].CallersAddr
	}
	body, err := json.Marshal(godwitplank.Request{Input: json.RawMessage(f.input), DeadlineMS: f.deadlineMS, Stream: f.stream})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+f.callersAddr+"/v1/pipelines/"+pipeline+"/requests", bytes.NewReader(body))
	if err != nil {
		return usageError("%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+f.workspaceKey)
	r.Header.Set("Content-Type", "application/json")
	if f.idempotencyKey != "" {
		r.Header.Set(godwitplank.HeaderIdempotencyKey, f.idempotencyKey)
		// net/http resends a request with an Idempotency-Key on connection errors if GetBody can rewind its body. Without
		// GetBody it is sent once.
		r.GetBody = nil
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.Close = true
	}
	if f.attempt > 0 {
		r.Header.Set(godwitplank.HeaderAttempt, fmt.Sprint(f.attempt))
	}
	if f.stream {
		return t.sendStreamed(r)
	}
	var a godwitplank.Answer
	if err := send(r, &a); err != nil {
		return err
	}
	return t.print(a, func(w io.Writer) { fmt.Fprintf(w, "%s\n", a.Output) })
}

// sendStreamed sends a request and prints each event of the response on a line, up to the done event. An error event is
// returned as an error.
func (t *tool) sendStreamed(r *http.Request) error {
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("no response: %w; check the address or use another VM", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return responseError(response.StatusCode, body)
	}
	eventName := ""
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			eventName = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if eventName == "error" {
			return responseError(http.StatusOK, []byte(data))
		}
		fmt.Fprintln(t.out, eventName+" "+data)
		if eventName == "done" {
			return nil
		}
	}
	return fmt.Errorf("the stream ended before its done event; send the request again")
}

// maxEventBytes limits a line of a streamed response.
const maxEventBytes = 16 << 20
