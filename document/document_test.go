package document

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/fault"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestParse compares the result for each testdata/*.yaml, the canonical form or all errors, with its golden file.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			got := formatResult(text)
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func formatResult(text []byte) string {
	d, err := Parse(text)
	var invalid *fault.Error
	if errors.As(err, &invalid) {
		var b strings.Builder
		fmt.Fprintln(&b, invalid.Kind)
		for _, f := range invalid.FieldErrors {
			fmt.Fprintf(&b, "%s: %s\n", f.Path, f.Message)
		}
		return b.String()
	}
	canonical, _ := d.Canonical()
	return string(canonical) + "\n"
}

// Parsing the canonical form yields the same document.
func TestCanonicalRoundTrip(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/whole.yaml")
	is.NoErr(err)
	d, err := Parse(text)
	is.NoErr(err)
	canonical, digest := d.Canonical()
	reparsed, err := Parse(canonical) // JSON is valid YAML
	is.NoErr(err)
	_, reparsedDigest := reparsed.Canonical()
	is.Equal(digest, reparsedDigest)
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		canonical, _ := d.Canonical()
		if _, err := ParseCanonical(canonical); err != nil {
			t.Fatalf("cannot parse the canonical form of an accepted document: %v", err)
		}
	})
}

// documentWithWorkspaces returns a valid document with the given number of workspaces.
func documentWithWorkspaces(workspaces int) *Document {
	d := &Document{Version: 1, Pipelines: []Pipeline{{Name: "p", DeadlineMS: 4000, Stages: []Stage{{Name: "s", Pool: "q"}}}}}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		d.Workspaces = append(d.Workspaces, Workspace{Name: name, KeySHA256: SHA256([]byte(name)), RequestsPerSecond: 50, ConcurrentRequests: 20, Priority: 1})
	}
	return d
}

// BenchmarkAccept measures the cost of a submitted document on the VM that receives it, BenchmarkAdopt the cost on
// every VM that loads the accepted document.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{5, 500, 5000, 15000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			text, _ := documentWithWorkspaces(n).Canonical()
			b.ReportAllocs()
			for b.Loop() {
				d, err := Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				d.Canonical()
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{5, 500, 5000, 15000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			text, _ := documentWithWorkspaces(n).Canonical()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseCanonical(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
