package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestExitCodes checks the exit code of command lines and a part of their output.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"version", 0, "godwitplank " + Version},
		{"completion bash", 0, "bash completion"},
		{"document check ../example/document.yaml", 0, "version 1 is whole"},
		{"document check ../document/testdata/faults.yaml", 1, "invalid_document"},
		{"document check ../example/missing.yaml", 2, "give a file that can be read"},
		{"document check", 2, "see godwitplank document check --help"},
		{"version too much", 2, "see godwitplank version --help"},
		{"nothing", 2, "unknown command"},
		{"group create", 2, "--voters is missing"},
		{"group show", 2, "--server is missing"},
		{"group show --server nowhere", 2, "give ip:port"},
		{"group show --server 127.0.0.1:1", 2, "--operator_token_file is missing"},
		{"group show --server 127.0.0.1:1 --operator_token_file command.go", 1, "no response"},
		{"evacuation start", 2, "see godwitplank evacuation start --help"},
		{"evacuation show", 2, "--server is missing"},
		{"version --output yaml", 2, "give text or json"},
		{"request p --input nothing", 2, "give JSON"},
		{"explain r-1 ../explain/testdata/vm-a.log ../explain/testdata/bench.log", 0, "cause: endpoint e-2 failed"},
		{"explain r-9 ../explain/testdata/vm-a.log", 1, "no line has request"},
		{"explain r-1 ../explain/testdata/none.log", 2, "give a file that can be read"},
		{"load ../document/testdata/unknown.yaml", 2, "unknown field"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			command := Command()
			command.SetArgs(strings.Fields(c.args))
			command.SetOut(&out)
			command.SetErr(&out)
			err := command.Execute()
			if err != nil {
				PrintError(&out, command, err)
			}
			is.Equal(ExitCode(err), c.code)
			is.True(strings.Contains(out.String(), c.output)) // out
		})
	}
}
