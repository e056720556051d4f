// Package cli is the command-line tool of operators and callers.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"godwitplank/daemon"
	"godwitplank/fault"
)

// Version is the version of both programs.
const Version = "0.1.0"

const callTimeout = 15 * time.Second

// errUsage marks faults of the command line.
var errUsage = errors.New("wrong usage")

// tool holds the flags that all commands share.
type tool struct {
	server    string
	tokenFile string
	output    string
	out       io.Writer
	in        io.Reader
}

// Command returns the tool's command line.
func Command() *cobra.Command {
	t := &tool{}
	root := &cobra.Command{
		Use:           "godwitplank",
		Short:         "godwitplank operates a godwitplank system and sends requests to it",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			t.out, t.in = c.OutOrStdout(), c.InOrStdin()
			return t.check()
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.server, "server", os.Getenv("GODWITPLANK_SERVER"), "operators' address of a VM, ip:port [GODWITPLANK_SERVER]")
	flags.StringVar(&t.tokenFile, "operator_token_file", os.Getenv("GODWITPLANK_OPERATOR_TOKEN_FILE"), "file with the operator token [GODWITPLANK_OPERATOR_TOKEN_FILE]")
	flags.StringVar(&t.output, "output", "text", "text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage("%v", err) })
	root.AddCommand(t.groupCommand(), t.documentCommand(), t.requestCommand(), t.endpointsCommand(), t.spendCommand(), t.loadCommand(), t.explainCommand(), versionCommand())
	return root
}

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"):
		return daemon.ExitUsage
	}
	return daemon.ExitFailed
}

func usage(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

func (t *tool) check() error {
	if t.output != "text" && t.output != "json" {
		return usage("--output is %q; give text or json", t.output)
	}
	if _, err := netip.ParseAddrPort(t.server); t.server != "" && err != nil {
		return usage("--server is %q; give ip:port", t.server)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  arguments(cobra.NoArgs),
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "godwitplank "+Version) },
	}
}

// call sends a request to the operators' address and decodes the answer into value.
func (t *tool) call(ctx context.Context, method, path string, body []byte, header http.Header, value any) error {
	if t.server == "" {
		return usage("--server is missing; give the operators' address of a VM")
	}
	token, err := t.token()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.server+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+token)
	return send(r, value)
}

func (t *tool) token() (string, error) {
	if t.tokenFile == "" {
		return "", usage("--operator_token_file is missing; give the file with the operator token")
	}
	text, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return "", usage("--operator_token_file: %v; give a file that can be read", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// send does a request; an answer other than 200 becomes its *fault.Error.
func send(r *http.Request, value any) error {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("no answer: %w; check the address, or ask another VM", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("the answer was lost: %w; send the same command again", err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, body)
	}
	if raw, ok := value.(*[]byte); ok {
		*raw = body
		return nil
	}
	return json.Unmarshal(body, value)
}

func refusal(status int, body []byte) error {
	e := &fault.Error{}
	if json.Unmarshal(body, e) != nil || e.Kind == "" {
		return fmt.Errorf("status %d: %.200s", status, body)
	}
	return e
}

// print writes a value as JSON, or as text by a function.
func (t *tool) print(value any, text func(w io.Writer)) error {
	if t.output == "json" {
		e := json.NewEncoder(t.out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	text(t.out)
	return nil
}

// Report writes a command's error: the JSON of a refusal, or one line and its faults.
func Report(w io.Writer, c *cobra.Command, err error) {
	var e *fault.Error
	output, _ := c.PersistentFlags().GetString("output")
	if errors.As(err, &e) && output == "json" {
		_ = json.NewEncoder(w).Encode(e)
		return
	}
	fmt.Fprintln(w, err)
	if e == nil {
		return
	}
	for _, p := range e.Faults {
		fmt.Fprintf(w, "  %s: %s\n", p.Place, p.Message)
	}
}

// arguments makes faults of the arguments faults of usage.
func arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usage("%v; see %s --help", err, c.CommandPath())
		}
		return nil
	}
}
