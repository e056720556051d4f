// Package explain tells the story of one request from the logs of several VMs.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"godwitplank/event"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	// Time is as it stands in the log; Source is what stands before the line's own text, such as a VM's name.
	Time    string         `json:"time"`
	Source  string         `json:"source,omitempty"`
	VM      string         `json:"vm,omitempty"`
	Event   int            `json:"event"`
	Message string         `json:"message"`
	Values  map[string]any `json:"values"`

	order float64
}

// Story is what the logs say of a request.
type Story struct {
	RequestID string `json:"request_id"`
	// Lines are those of the request in time order, Beliefs the last ones before it on the endpoints it was sent to.
	Lines   []Line `json:"lines"`
	Beliefs []Line `json:"beliefs"`
	// Cause is the first thing that went wrong, empty if nothing did.
	Cause string `json:"cause"`
	// Torn counts lines that could not be read.
	Torn int `json:"torn"`
}

// Read collects the lines of a request from logs. Each line is a JSON object, or has one behind a time and a name.
func Read(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{RequestID: id}
	beliefs := make(map[string][]Line)
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			s.take(scanner.Text(), beliefs)
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(s.Lines, compare)
	s.addBeliefs(beliefs)
	s.Cause = cause(s.Lines)
	return s, nil
}

func compare(a, b Line) int {
	switch {
	case a.order != b.order && a.order < b.order:
		return -1
	case a.order != b.order:
		return 1
	}
	return strings.Compare(a.Time, b.Time)
}

func (s *Story) take(text string, beliefs map[string][]Line) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return
	}
	line, ok := parse(text[:at], text[at:])
	if !ok {
		s.Torn++
		return
	}
	if line.concerns(s.RequestID) {
		s.Lines = append(s.Lines, line)
	}
	if endpoint, ok := line.Values["endpoint"].(string); ok && line.Event/100 == 4 {
		beliefs[endpoint] = append(beliefs[endpoint], line)
	}
}

// parse reads the JSON of a line and what stands before it: a time in seconds and a name, or nothing.
func parse(before, text string) (Line, bool) {
	values := make(map[string]any)
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return Line{}, false
	}
	number, _ := values["event"].(float64)
	line := Line{Event: int(number), Values: values}
	line.Time, _ = values["time"].(string)
	line.VM, _ = values["vm"].(string)
	line.Message, _ = values["msg"].(string)
	for _, name := range []string{"time", "vm", "msg", "event", "level"} {
		delete(values, name)
	}
	fields := strings.Fields(before)
	if len(fields) > 0 {
		if seconds, err := strconv.ParseFloat(fields[0], 64); err == nil {
			line.order, line.Time = seconds, fields[0]
		}
		line.Source = fields[len(fields)-1]
	}
	return line, true
}

// concerns reports whether a line is of a request, or of a call that made its pieces.
func (l *Line) concerns(id string) bool {
	if l.Values["request_id"] == id {
		return true
	}
	requests, _ := l.Values["requests"].(string)
	return slices.Contains(strings.Split(requests, ","), id)
}

// addBeliefs adds the last news of each endpoint of the request before its last line.
func (s *Story) addBeliefs(beliefs map[string][]Line) {
	for _, l := range s.Lines {
		endpoint, _ := l.Values["endpoint"].(string)
		var last *Line
		for i, b := range beliefs[endpoint] {
			if compare(b, s.Lines[len(s.Lines)-1]) <= 0 && (last == nil || compare(*last, b) <= 0) {
				last = &beliefs[endpoint][i]
			}
		}
		if last != nil {
			s.Beliefs = append(s.Beliefs, *last)
			delete(beliefs, endpoint)
		}
	}
	slices.SortStableFunc(s.Beliefs, compare)
}

// rule finds a cause in one line of a request.
type rule struct {
	event int
	find  func(l *Line) string
}

// Limits from which a wait or a call counts as the cause.
const (
	longWaitMS = 500
	slowFactor = 2
)

// rules are asked for each line in time order.
var rules = []rule{
	{event.PiecesMade.Number, func(l *Line) string {
		switch {
		case l.text("result") != "done":
			return fmt.Sprintf("a call for pieces of service %s at endpoint %s failed: %s", l.text("service"), l.text("endpoint"), l.text("result"))
		case l.number("waited_ms") > longWaitMS:
			return fmt.Sprintf("pieces of service %s waited %.0f ms for an endpoint; %.0f found no memory", l.text("service"), l.number("waited_ms"), l.number("without_room"))
		case l.number("took_ms") > slowFactor*l.number("predicted_ms"):
			return fmt.Sprintf("endpoint %s of service %s took %.0f ms for a call of %.0f ms", l.text("endpoint"), l.text("service"), l.number("took_ms"), l.number("predicted_ms"))
		}
		return ""
	}},
	{event.MakerFailed.Number, func(l *Line) string {
		return fmt.Sprintf("VM %s, which makes pieces of service %s, failed: %s", l.text("peer"), l.text("service"), l.text("error"))
	}},
	{event.StageDone.Number, func(l *Line) string {
		if l.text("error") == "" {
			return ""
		}
		return fmt.Sprintf("stage %.0f of service %s was not made: %s", l.number("stage"), l.text("service"), l.text("error"))
	}},
	{event.AttemptFailed.Number, func(l *Line) string {
		return fmt.Sprintf("endpoint %s failed after %.0f ms: %s", l.text("endpoint"), l.number("took_ms"), l.text("error"))
	}},
	{event.RepeatRefused.Number, func(l *Line) string {
		return fmt.Sprintf("the retry budget of service %s is spent after %.0f attempts, shared by %.0f VMs", l.text("service"), l.number("attempts"), l.number("vms"))
	}},
	{event.RequestAnswered.Number, func(l *Line) string {
		if l.text("kind") == "" {
			return ""
		}
		return l.text("kind") + ": " + l.text("message")
	}},
}

func cause(lines []Line) string {
	for i := range lines {
		for _, r := range rules {
			if r.event != lines[i].Event {
				continue
			}
			if found := r.find(&lines[i]); found != "" {
				return found
			}
		}
	}
	return ""
}

func (l *Line) text(name string) string {
	text, _ := l.Values[name].(string)
	return text
}

func (l *Line) number(name string) float64 {
	n, _ := l.Values[name].(float64)
	return n
}
