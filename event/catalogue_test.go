package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

// TestCatalogue checks that the event numbers are ascending and unique, and that docs/EVENTS.md is up to date.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	const path = "../docs/EVENTS.md"
	var b strings.Builder
	b.WriteString("# Events\n\nThe numbered events of the daemon's log, one JSON line each: `time`, `level`, `vm`, `msg`, `event`, and the fields below.\nThe table is generated from the catalogue in `event/catalogue.go` by `go test ./event -update`.\n\n| event | level | meaning | fields | what an operator does |\n|---|---|---|---|---|\n")
	last := 0
	for _, e := range Catalogue {
		is.True(e.Number > last)
		last = e.Number
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Fields, e.Remedy)
	}
	if *update {
		is.NoErr(os.WriteFile(path, []byte(b.String()), 0o644))
	}
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(text), b.String()) // run go test ./event -update
}
