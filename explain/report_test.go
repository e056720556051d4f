package explain

import (
	"bytes"
	"flag"
	"io"
	"os"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestReadGolden compares the reports on requests in the example logs with the golden files.
func TestReadGolden(t *testing.T) {
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			var logs []io.Reader
			for _, path := range []string{"testdata/bench.log", "testdata/vm-a.log"} {
				file, err := os.Open(path)
				is.NoErr(err)
				defer file.Close()
				logs = append(logs, file)
			}
			report, err := Read(id, logs...)
			is.NoErr(err)
			var out bytes.Buffer
			is.NoErr(report.Write(&out))
			golden := "testdata/" + id + ".golden.txt"
			if *update {
				is.NoErr(os.WriteFile(golden, out.Bytes(), 0o644))
			}
			text, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(out.String(), string(text)) // run go test ./explain -update
		})
	}
}

// FuzzRead checks that no input makes Read panic or Write fail.
func FuzzRead(f *testing.F) {
	for _, path := range []string{"testdata/bench.log", "testdata/vm-a.log"} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		report, err := Read("r-1", bytes.NewReader(text))
		if err != nil {
			return
		}
		if err := report.Write(io.Discard); err != nil {
			t.Fatal(err)
		}
	})
}
