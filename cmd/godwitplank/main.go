// Command godwitplank is the command-line client: it operates a godwitplank system and sends requests to it.
package main

import (
	"os"

	"godwitplank/cli"
)

func main() {
	c := cli.Command()
	err := c.Execute()
	if err != nil {
		cli.PrintError(os.Stderr, c, err)
	}
	os.Exit(cli.ExitCode(err))
}
