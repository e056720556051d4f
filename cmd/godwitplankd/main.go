// Command godwitplankd is the daemon that runs on each VM and serves multi-stage model pipelines.
package main

import (
	"fmt"
	"os"

	"godwitplank/daemon"
)

func main() {
	err := daemon.Command().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(daemon.ExitCode(err))
}
