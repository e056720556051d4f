package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Write prints the story for a reader.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.RequestID)
	for _, l := range s.Lines {
		b.WriteString(l.String())
	}
	if len(s.Beliefs) > 0 {
		b.WriteString("last news of its endpoints\n")
	}
	for _, l := range s.Beliefs {
		b.WriteString(l.String())
	}
	if s.Cause == "" {
		b.WriteString("cause: nothing went wrong\n")
	} else {
		fmt.Fprintf(&b, "cause: %s\n", s.Cause)
	}
	if s.Torn > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", s.Torn)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// String is one line for a reader.
func (l Line) String() string {
	where := l.Source
	if where == "" {
		where = l.VM
	}
	var values []string
	for _, name := range slices.Sorted(maps.Keys(l.Values)) {
		if name != "request_id" && name != "requests" && l.Values[name] != "" {
			values = append(values, fmt.Sprintf("%s=%v", name, l.Values[name]))
		}
	}
	return fmt.Sprintf("  %s %s %d %s: %s\n", l.Time, where, l.Event, l.Message, strings.Join(values, " "))
}
