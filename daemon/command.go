package daemon

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"godwitplank/setting"
)

// Exit codes of the daemon and of the operator's command-line tool.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// errUsage wraps errors in the command line or in the settings.
var errUsage = errors.New("invalid usage")

// Command returns the daemon's root command.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "godwitplankd",
		Short:         "godwitplankd serves multi-stage model pipelines on one VM",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	run := &cobra.Command{
		Use:     "run",
		Short:   "Run this VM until a signal or a planned stop",
		Example: "  godwitplankd run --vm vm-a --data_centre dc-a --operator_token_file token --join 127.0.0.1:7102",
		Args:    usageErrors(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := setting.Read(c.Flags())
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			d := &Daemon{
				Settings: settings, LogOutput: os.Stdout,
				ReloadSettings: func() (*setting.Settings, error) { return setting.Read(c.Flags()) },
			}
			return d.Run(c.Context())
		},
	}
	setting.AddFlags(run.Flags())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", errUsage, err)
	})
	root.AddCommand(run)
	return root
}

// ExitCode returns the exit code for a command's error: 0 for nil, ExitUsage for usage errors, else ExitFailed.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return ExitUsage
	}
	return ExitFailed
}

// usageErrors wraps the errors of an argument check as usage errors.
func usageErrors(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return fmt.Errorf("%w: %w; see %s --help", errUsage, err, c.CommandPath())
		}
		return nil
	}
}
