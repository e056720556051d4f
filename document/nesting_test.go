package document

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/fault"
)

// Guards against texts that the decoder would follow without end or copy many times.
func TestNesting(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		strings.Repeat("[", 1<<20), "version: " + strings.Repeat("{a: ", 1<<18), strings.Repeat("- ", 1<<18), strings.Repeat(" ", 1<<18) + "a: 1",
		"a: &a [1]\nb: &b [*a, *a]\nc: [*b, *b]\n", "version: *a\n", strings.Repeat("? ", 1<<18),
	} {
		_, err := Parse([]byte(text))
		is.True(err != nil)
		is.Equal(fault.As(err).Kind, fault.BadRequest)
	}
	for _, text := range []string{`{"a": "` + strings.Repeat("[", 100) + `"}`, "endpoints: [\"*\", encoder-*]\n", "a: it's\nb: [1]\n", "a: '*x'\n", strings.Repeat("# [ *a\n", 100)} {
		is.NoErr(checkNesting([]byte(text)))
	}
}
