package head

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// compare compares a text with a golden file.
func compare(t *testing.T, path, got string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	golden, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(golden)) // run go test ./head -update
}

// describe returns "valid", or the error of a check, which has to be an *Error.
func describe(t *testing.T, err error) string {
	t.Helper()
	var e *Error
	switch {
	case err == nil:
		return "valid"
	case !errors.As(err, &e):
		t.Errorf("%v is no *Error", err)
	}
	return err.Error()
}

// Guards against texts that end a head, a field or an element of a list, and against the refusal of valid ones.
func TestTexts(t *testing.T) {
	var b strings.Builder
	for _, text := range []string{
		"", "10.0.0.1:8080/91bd3f06e44", "a b", "a\tb", "!#$%&'*+-.^_`|~\"();:<=>?@[]{}\\/", "ü€😀", "\xe9",
		"a\n", "a\r\n", "\na", "a\r", "a\rb", "a\nX-Other: b", "a\r\n\r\nGET / HTTP/1.1", "a\x00", "a\x00b", "a\x1fb", "a\x7f", "a\v", "a\f", "\x1b[1m",
		" a", "a ", "\ta", "a\t", " ", "a,b", ",", "a,", strings.Repeat("a", MaxValueBytes), strings.Repeat("a", MaxValueBytes+1),
	} {
		name := fmt.Sprintf("%q", text)
		if len(text) > 50 {
			name = fmt.Sprintf("%d times a", len(text))
		}
		fmt.Fprintf(&b, "%s\n  value: %s\n  element: %s\n", name, describe(t, CheckValue("value", text)), describe(t, CheckElement("element", text)))
	}
	compare(t, "testdata/texts.golden", b.String())
}

// Guards against requests that a reader takes for two, or whose body it reads with another length.
func TestRequests(t *testing.T) {
	var b strings.Builder
	for _, r := range []struct {
		method, target, host string
		header               http.Header
	}{
		{"POST", "/a?b=c%20d", "h.example:80", http.Header{"X-A": {"b, c", ""}, "Key": {"\xe9"}}},
		{"M-SEARCH", "*", "[fe80::1%25eth0]:80", nil},
		{"GET", "/\xe9", "", nil},
		{"GET /x HTTP/1.1\r\nA:", "/", "h", nil},
		{"", "/", "h", nil},
		{"GET", "", "h", nil},
		{"GET", "/a b", "h", nil},
		{"GET", "/ HTTP/1.1\r\nA: b", "h", nil},
		{"GET", "/\x00", "h", nil},
		{"GET", "/", "h\r\nA: b", nil},
		{"GET", "/", "h i", nil},
		{"GET", "/", "h", http.Header{"A\r\nB": {"c"}}},
		{"GET", "/", "h", http.Header{"A ": {"c"}}},
		{"GET", "/", "h", http.Header{"": {"c"}}},
		{"GET", "/", "h", http.Header{"A": {"b", "c\r\nD: e"}}},
		{"GET", "/", "h", http.Header{"A": {"b\n"}}},
		{"GET", "/", "h", http.Header{"Content-Length": {"5"}}},
		{"GET", "/", "h", http.Header{"transfer-encoding": {"chunked"}}},
		{"GET", "/", "h", http.Header{"Host": {"i"}}},
	} {
		fmt.Fprintf(&b, "%q %q %q %q\n  %s\n", r.method, r.target, r.host, r.header, describe(t, CheckRequest(r.method, r.target, r.host, r.header)))
	}
	compare(t, "testdata/requests.golden", b.String())
}
