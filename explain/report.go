// Package explain collects the log lines of one request from the logs of several VMs and finds its first problem.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"godwitplank/event"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one parsed log line. Values holds the fields that are not in the struct.
type Line struct {
	// Time is the time in front of the JSON object if it has one, otherwise the object's own. Source is the last word
	// in front of the object, such as a VM's name.
	Time    string         `json:"time"`
	Source  string         `json:"source,omitempty"`
	VM      string         `json:"vm,omitempty"`
	Event   int            `json:"event"`
	Message string         `json:"message"`
	Values  map[string]any `json:"values"`

	// prefixSeconds is the time in front of the JSON object, 0 if there is none. Lines are sorted by it first.
	prefixSeconds float64
}

// Report holds the log lines of a request and the first problem in them.
type Report struct {
	RequestID string `json:"request_id"`
	// Lines are the request's lines in time order. EndpointLines has, for each endpoint in them, its latest endpoint event
	// (numbers 400 to 499) up to the last of Lines.
	Lines         []Line `json:"lines"`
	EndpointLines []Line `json:"beliefs"`
	// Cause describes the first error or long delay, empty if there is none.
	Cause string `json:"cause"`
	// UnparsedLines counts lines with invalid JSON, such as truncated ones.
	UnparsedLines int `json:"torn"`
}

// Read collects the lines of a request from logs. Each line is a JSON object, optionally preceded by a time in seconds
// and a source name; lines without an object are skipped. The error is that of a reader, or of a line over 1 MiB.
func Read(id string, logs ...io.Reader) (*Report, error) {
	report := &Report{RequestID: id}
	endpointLines := make(map[string][]Line)
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			report.addLine(scanner.Text(), endpointLines)
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(report.Lines, compareTimes)
	report.addEndpointLines(endpointLines)
	report.Cause = firstCause(report.Lines)
	return report, nil
}

// compareTimes orders lines by the time in front of them, then by their formatted time, compared as a string.
func compareTimes(a, b Line) int {
	switch {
	case a.prefixSeconds != b.prefixSeconds && a.prefixSeconds < b.prefixSeconds:
		return -1
	case a.prefixSeconds != b.prefixSeconds:
		return 1
	}
	return strings.Compare(a.Time, b.Time)
}

// addLine parses one line of text and keeps it if it belongs to the request or is an endpoint event.
func (r *Report) addLine(text string, endpointLines map[string][]Line) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	line, ok := parseLine(text[:start], text[start:])
	if !ok {
		r.UnparsedLines++
		return
	}
	if line.belongsTo(r.RequestID) {
		r.Lines = append(r.Lines, line)
	}
	if endpoint, ok := line.Values["endpoint"].(string); ok && line.Event/100 == 4 {
		endpointLines[endpoint] = append(endpointLines[endpoint], line)
	}
}

// parseLine parses the JSON object of a line and the prefix in front of it, which may be empty.
func parseLine(prefix, text string) (Line, bool) {
	values := make(map[string]any)
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return Line{}, false
	}
	eventNumber, _ := values["event"].(float64)
	line := Line{Event: int(eventNumber), Values: values}
	line.Time, _ = values["time"].(string)
	line.VM, _ = values["vm"].(string)
	line.Message, _ = values["msg"].(string)
	for _, name := range []string{"time", "vm", "msg", "event", "level"} {
		delete(values, name)
	}
	fields := strings.Fields(prefix)
	if len(fields) > 0 {
		if seconds, err := strconv.ParseFloat(fields[0], 64); err == nil {
			line.prefixSeconds, line.Time = seconds, fields[0]
		}
		line.Source = fields[len(fields)-1]
	}
	return line, true
}

// belongsTo reports whether a line is about a request, or about a batch that contains pieces of it.
func (l *Line) belongsTo(id string) bool {
	if l.Values["request_id"] == id {
		return true
	}
	requests, _ := l.Values["requests"].(string)
	return slices.Contains(strings.Split(requests, ","), id)
}

// addEndpointLines adds the latest endpoint event of each endpoint in the request's lines, up to the last of them.
func (r *Report) addEndpointLines(endpointLines map[string][]Line) {
	for _, l := range r.Lines {
		endpoint, _ := l.Values["endpoint"].(string)
		var last *Line
		for i, b := range endpointLines[endpoint] {
			if compareTimes(b, r.Lines[len(r.Lines)-1]) <= 0 && (last == nil || compareTimes(*last, b) <= 0) {
				last = &endpointLines[endpoint][i]
			}
		}
		if last != nil {
			r.EndpointLines = append(r.EndpointLines, *last)
			delete(endpointLines, endpoint)
		}
	}
	slices.SortStableFunc(r.EndpointLines, compareTimes)
}

// causeRule describes the problem that a line with an event number shows; describe returns "" if it shows none.
type causeRule struct {
	event    int
	describe func(l *Line) string
}

// A wait for an endpoint above longWaitMS, or a call above slowFactor times its predicted time, counts as a cause.
const (
	longWaitMS = 500
	slowFactor = 2
)

// causeRules are applied to each line in time order; the first description is the cause.
var causeRules = []causeRule{
	{event.BatchFinished.Number, func(l *Line) string {
		switch {
		case l.stringValue("result") != "done":
			return fmt.Sprintf("a call with pieces of service %s to endpoint %s failed: %s", l.stringValue("service"), l.stringValue("endpoint"), l.stringValue("result"))
		case l.numberValue("waited_ms") > longWaitMS:
			return fmt.Sprintf("pieces of service %s waited %.0f ms for an endpoint; %.0f of them were then refused for lack of memory for their result", l.stringValue("service"), l.numberValue("waited_ms"), l.numberValue("without_room"))
		case l.numberValue("took_ms") > slowFactor*l.numberValue("predicted_ms"):
			return fmt.Sprintf("endpoint %s of service %s took %.0f ms for a call with a predicted time of %.0f ms", l.stringValue("endpoint"), l.stringValue("service"), l.numberValue("took_ms"), l.numberValue("predicted_ms"))
		}
		return ""
	}},
	{event.DispatcherFailed.Number, func(l *Line) string {
		return fmt.Sprintf("VM %s, the dispatcher of service %s, failed: %s", l.stringValue("peer"), l.stringValue("service"), l.stringValue("error"))
	}},
	{event.StageFinished.Number, func(l *Line) string {
		if l.stringValue("error") == "" {
			return ""
		}
		return fmt.Sprintf("stage %.0f of service %s failed: %s", l.numberValue("stage"), l.stringValue("service"), l.stringValue("error"))
	}},
	{event.AttemptFailed.Number, func(l *Line) string {
		return fmt.Sprintf("endpoint %s failed after %.0f ms: %s", l.stringValue("endpoint"), l.numberValue("took_ms"), l.stringValue("error"))
	}},
	{event.RetryRefused.Number, func(l *Line) string {
		return fmt.Sprintf("the retry budget of service %s is spent after %.0f attempts; it is shared by %.0f VMs", l.stringValue("service"), l.numberValue("attempts"), l.numberValue("vms"))
	}},
	{event.RequestQuarantined.Number, func(l *Line) string {
		return fmt.Sprintf("the prompt has the parts %s, under which endpoints crashed; it is not sent to an endpoint for another %.0f ms", l.stringValue("parts"), l.numberValue("left_ms"))
	}},
	{event.RequestAnswered.Number, func(l *Line) string {
		if l.stringValue("kind") == "" {
			return ""
		}
		return l.stringValue("kind") + ": " + l.stringValue("message")
	}},
}

func firstCause(lines []Line) string {
	for i := range lines {
		for _, r := range causeRules {
			if r.event != lines[i].Event {
				continue
			}
			if description := r.describe(&lines[i]); description != "" {
				return description
			}
		}
	}
	return endpointFailure(lines)
}

// endpointFailure describes an endpoint's own error response that the caller got, empty if there is none.
func endpointFailure(lines []Line) string {
	endpoint := ""
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Event == event.RequestSent.Number:
			endpoint = l.stringValue("endpoint")
		case l.Event == event.RequestAnswered.Number && l.numberValue("status") == http.StatusGatewayTimeout:
			return fmt.Sprintf("endpoint %s answered 504: the deadline passed while it worked; it got the request with %.0f ms spent in stages, of %.0f ms in all",
				endpoint, l.numberValue("stages_ms"), l.numberValue("took_ms"))
		case l.Event == event.RequestAnswered.Number && l.numberValue("status") >= http.StatusInternalServerError:
			return fmt.Sprintf("endpoint %s answered %.0f, the last of %.0f attempts", endpoint, l.numberValue("status"), l.numberValue("attempts"))
		}
	}
	return ""
}

func (l *Line) stringValue(name string) string {
	value, _ := l.Values[name].(string)
	return value
}

func (l *Line) numberValue(name string) float64 {
	value, _ := l.Values[name].(float64)
	return value
}
