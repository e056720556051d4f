// Package cli implements the godwitplank command-line tool for operators and callers.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"godwitplank/connection"
	"godwitplank/daemon"
	"godwitplank/fault"
)

// Version is the release version of the godwitplank and godwitplankd programs.
const Version = "0.1.0"

// callTimeout limits one request to the operator API.
const callTimeout = 15 * time.Second

// dialTimeout is that of http.DefaultTransport.
const dialTimeout = 30 * time.Second

// client sends the requests of all commands.
var client = newClient()

func newClient() *http.Client {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DialContext = connection.DialContext(&net.Dialer{Timeout: dialTimeout})
	return &http.Client{Transport: &connection.Transport{Base: base}}
}

// errUsage marks errors of the command line, which have an exit code of their own.
var errUsage = errors.New("invalid usage")

// tool holds the global flags and the standard streams of a command.
type tool struct {
	server    string
	tokenFile string
	output    string
	out       io.Writer
	in        io.Reader
}

// Command returns the root command with all its subcommands.
func Command() *cobra.Command {
	t := &tool{}
	root := &cobra.Command{
		Use:           "godwitplank",
		Short:         "Operate a godwitplank system and send requests to it",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			t.out, t.in = c.OutOrStdout(), c.InOrStdin()
			return t.validateFlags()
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.server, "server", os.Getenv("GODWITPLANK_SERVER"), "operator API address of a VM, ip:port [GODWITPLANK_SERVER]")
	flags.StringVar(&t.tokenFile, "operator_token_file", os.Getenv("GODWITPLANK_OPERATOR_TOKEN_FILE"), "file that holds the operator token [GODWITPLANK_OPERATOR_TOKEN_FILE]")
	flags.StringVar(&t.output, "output", "text", "output format, text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError("%v", err) })
	root.AddCommand(t.groupCommand(), t.documentCommand(), t.evacuationCommand(), t.requestCommand(), t.endpointsCommand(), t.spendCommand(), t.loadCommand(), t.explainCommand(), versionCommand())
	return root
}

// ExitCode returns the process exit code for a command's error: 0 for nil, daemon.ExitUsage for usage errors,
// daemon.ExitFailed for all others.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"):
		return daemon.ExitUsage
	}
	return daemon.ExitFailed
}

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

func (t *tool) validateFlags() error {
	if t.output != "text" && t.output != "json" {
		return usageError("--output is %q; give text or json", t.output)
	}
	if _, err := netip.ParseAddrPort(t.server); t.server != "" && err != nil {
		return usageError("--server is %q; give ip:port", t.server)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  usageArgs(cobra.NoArgs),
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "godwitplank "+Version) },
	}
}

// call sends a request with the operator token to the operator API and decodes the response into value, as send does.
func (t *tool) call(ctx context.Context, method, path string, body []byte, header http.Header, value any) error {
	if t.server == "" {
		return usageError("--server is missing; give the operator API address of a VM")
	}
	token, err := t.readToken()
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

func (t *tool) readToken() (string, error) {
	if t.tokenFile == "" {
		return "", usageError("--operator_token_file is missing; give the file with the operator token")
	}
	text, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return "", usageError("--operator_token_file: %v; give a file that can be read", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// send sends a request and decodes the JSON of a 200 response into value; a *[]byte gets the body as it is. Any other
// status is returned as an error, a *fault.Error if the body has one.
func send(r *http.Request, value any) error {
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("no response: %w; check the address or use another VM", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading the response failed: %w; run the same command again", err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, body)
	}
	if raw, ok := value.(*[]byte); ok {
		*raw = body
		return nil
	}
	return json.Unmarshal(body, value)
}

// responseError decodes the *fault.Error of a response body, or quotes the start of any other body.
func responseError(status int, body []byte) error {
	e := &fault.Error{}
	if json.Unmarshal(body, e) != nil || e.Kind == "" {
		return fmt.Errorf("unexpected response with status %d: %.200s; check the address", status, body)
	}
	return e
}

// print writes value as JSON if --output is json; otherwise it calls writeText.
func (t *tool) print(value any, writeText func(w io.Writer)) error {
	if t.output == "json" {
		e := json.NewEncoder(t.out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	writeText(t.out)
	return nil
}

// PrintError writes a command's error to w: as JSON if --output is json and the server returned a *fault.Error, otherwise
// as one line, followed by one line for each invalid field of a document.
func PrintError(w io.Writer, c *cobra.Command, err error) {
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
	for _, f := range e.FieldErrors {
		fmt.Fprintf(w, "  %s: %s\n", f.Path, f.Message)
	}
}

// usageArgs wraps a check of positional arguments so that its errors count as usage errors.
func usageArgs(validate cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := validate(c, args); err != nil {
			return usageError("%v; see %s --help", err, c.CommandPath())
		}
		return nil
	}
}
