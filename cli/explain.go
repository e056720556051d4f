package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"godwitplank/explain"
)

func (t *tool) explainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain REQUEST_ID [LOG...]",
		Short: "Show a request's log lines from several VMs and its first error or long delay",
		Long: "Reads the daemons' logs from files, or from standard input if no file is given. Each line is a JSON object,\n" +
			"optionally preceded by a time in seconds and the name of its source.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			logs := []io.Reader{t.in}
			if len(args) > 1 {
				logs = nil
			}
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return usageError("%v; give a file that can be read", err)
				}
				defer file.Close()
				logs = append(logs, file)
			}
			report, err := explain.Read(args[0], logs...)
			if err != nil {
				return fmt.Errorf("the logs cannot be read: %w; give the daemons' output unchanged", err)
			}
			if len(report.Lines) == 0 {
				return fmt.Errorf("no line has request %q (%d lines could not be parsed); give the logs of the VM that accepted it, at level info", args[0], report.UnparsedLines)
			}
			if t.output == "json" {
				return json.NewEncoder(t.out).Encode(report)
			}
			return report.Write(t.out)
		},
	}
	c.AddCommand(t.whereCommand())
	return c
}
