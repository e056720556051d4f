// Command standin plays the clients, the servers of services and the platform for the cases of the review. It starts the
// project's own programs with the templates of the deploy file, and checks one rule from what clients and servers see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	usageString = "usage: standin CASE RECORD_FILE"
)

// cases holds the function of each case. It returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(*deployment) (bool, error){
	"stage_answers":   stageAnswers,
	"half_closed":     halfClosed,
	"crossed_leave":   crossedLeave,
	"forgotten_leave": forgottenLeave,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usageString)
		return exitNotRun
	}
	d, err := newDeployment(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	d.group.Go(func() { result <- judge(d, cases[args[0]]) })
	select {
	case code := <-result:
		return code
	case <-interrupted:
		return exitNotRun
	}
}

func judge(d *deployment, play func(*deployment) (bool, error)) int {
	broken, err := play(d)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.record("verdict: the rule was broken")
		return exitBroken
	}
	d.record("verdict: the rule held")
	return exitHeld
}
