package explain

import (
	"bytes"
	"flag"
	"io"
	"os"
	"strings"
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

// An error response of an endpoint itself is named as the cause, with the endpoint that the caller's response came from.
func TestEndpointFailureIsTheCause(t *testing.T) {
	for name, c := range map[string]struct{ answered, cause string }{
		"error of the last endpoint": {
			`"status":500,"kind":"","attempts":2,"took_ms":40`,
			"endpoint e-2 answered 500, the last of 2 attempts",
		},
		"deadline at the endpoint": {
			`"status":504,"kind":"","attempts":2,"stages_ms":900,"took_ms":3000`,
			"endpoint e-2 answered 504: the deadline passed while it worked; it got the request with 900 ms spent in stages, of 3000 ms in all",
		},
		"success": {`"status":200,"kind":"","attempts":2`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := `{"time":"1","event":504,"request_id":"r","endpoint":"e-1"}
{"time":"2","event":504,"request_id":"r","endpoint":"e-2"}
{"time":"3","event":505,"request_id":"r",` + c.answered + `}
`
			report, err := Read("r", strings.NewReader(log))
			is.NoErr(err)
			is.Equal(report.Cause, c.cause)
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
