package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"godwitplank/explain"
)

// explainCommand tells the story of a request from logs.
func (t *tool) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID [LOG...]",
		Short: "Tell a request's story and its first cause from the logs of several VMs",
		Long: "Reads the daemons' logs from files, or from standard input if none is named. Each line is JSON, or has JSON\n" +
			"behind a time in seconds and a name.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			logs := []io.Reader{t.in}
			if len(args) > 1 {
				logs = nil
			}
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return usage("%v; give a file that can be read", err)
				}
				defer file.Close()
				logs = append(logs, file)
			}
			story, err := explain.Read(args[0], logs...)
			if err != nil {
				return fmt.Errorf("the logs cannot be read: %w; give the daemons' own output", err)
			}
			if len(story.Lines) == 0 {
				return fmt.Errorf("no line has request %q (%d lines could not be read); give the logs of the VM that took it, at level info", args[0], story.Torn)
			}
			if t.output == "json" {
				return json.NewEncoder(t.out).Encode(story)
			}
			return story.Write(t.out)
		},
	}
}
