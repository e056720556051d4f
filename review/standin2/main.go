// Command standin2 plays the scripts of this review: it starts the project's own programs as separate processes on loopback
// addresses, with stand-ins for the consumers, the runners and the operator, and judges what those have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the scripts by their names.
var cases = map[string]func(*script) error{
	"handle-break": playHandleBreak,
}

// script is one run of a case.
type script struct {
	*record
	// trouble is false if the case is played without its disruption.
	trouble bool
	// folder holds the settings, data and logs of the processes.
	folder string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*script) error, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("kept:", folder)
	}
	s := &script{record: r, trouble: os.Getenv("TROUBLE") != "0", folder: filepath.Clean(folder)}
	started := time.Now()
	err = run(s)
	s.note("played for %.1f s, trouble %v", time.Since(started).Seconds(), s.trouble)
	s.sumBreaks()
	switch {
	case err != nil:
		s.summary("the case could not run: %v", err)
		return notRun
	case s.broken():
		s.summary("the rule was broken")
		return ruleBroken
	}
	s.summary("the rule held")
	return ruleHeld
}
