package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Write writes the request's lines, the endpoint events and the cause as text.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.RequestID)
	for _, l := range r.Lines {
		b.WriteString(l.String())
	}
	if len(r.EndpointLines) > 0 {
		b.WriteString("latest events of its endpoints\n")
	}
	for _, l := range r.EndpointLines {
		b.WriteString(l.String())
	}
	if r.Cause == "" {
		b.WriteString("cause: no error or long delay found\n")
	} else {
		fmt.Fprintf(&b, "cause: %s\n", r.Cause)
	}
	if r.UnparsedLines > 0 {
		fmt.Fprintf(&b, "%d lines could not be parsed\n", r.UnparsedLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// String formats the line with its values sorted by name, without request IDs and empty values.
func (l Line) String() string {
	source := l.Source
	if source == "" {
		source = l.VM
	}
	var values []string
	for _, name := range slices.Sorted(maps.Keys(l.Values)) {
		if name != "request_id" && name != "requests" && l.Values[name] != "" {
			values = append(values, fmt.Sprintf("%s=%v", name, l.Values[name]))
		}
	}
	return fmt.Sprintf("  %s %s %d %s: %s\n", l.Time, source, l.Event, l.Message, strings.Join(values, " "))
}
