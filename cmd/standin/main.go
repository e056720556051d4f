// Command standin simulates endpoints for tests and local trials of godwitplank.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

func main() {
	var configPath, addressesPath string
	c := &cobra.Command{
		Use:          "standin",
		Short:        "Simulate model engines and other pipeline endpoints",
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, configPath, addressesPath)
		},
	}
	c.Flags().StringVar(&configPath, "config", "", "YAML file that configures the simulated endpoints")
	c.Flags().StringVar(&addressesPath, "addresses_file", "", "file to write the control address and the endpoint addresses to, as JSON")
	if err := c.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func run(ctx context.Context, path, addressesPath string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f := &fleet{}
	if err := yaml.UnmarshalWithOptions(text, &f.Config, yaml.DisallowUnknownField()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.run(ctx, addressesPath)
}
