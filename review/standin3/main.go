// Command standin3 plays the scripted cases of the third review: it starts the project's daemons on loopback addresses, and plays
// the platform, the operator, the runners and the consumers. The exit code is 1 if the rule of the case was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases has the scripted cases by name. A case returns whether its rule was broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"foreign_answer": playForeignAnswer,
	"late_order":     playLateOrder,
	"many_parts":     playManyParts,
	"many_pieces":    playManyPieces,
	"reused_handle":  playReusedHandle,
	"silent_stream":  playSilentStream,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(name, folder string) (bool, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	r := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", name, trouble)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
	case broken:
		r.printf("verdict: the rule was broken")
	default:
		r.printf("verdict: the rule held")
	}
	return broken, err
}
