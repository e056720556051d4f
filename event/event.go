// Package event has the numbered log events and writes them.
package event

import (
	"io"

	"github.com/charmbracelet/log"
)

// Event is one numbered kind of log entry.
type Event struct {
	Number  int
	Level   log.Level
	Message string
	// Fields lists the names of the values logged with it.
	Fields string
	// Remedy says what an operator does.
	Remedy string
}

// timeFormat has milliseconds, so that lines of several VMs can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes events. The zero value writes nothing.
type Logger struct {
	log *log.Logger
}

// NewLogger returns a logger of JSON lines at a level and above.
func NewLogger(w io.Writer, level log.Level, vm string) Logger {
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: timeFormat, Formatter: log.JSONFormatter})
	return Logger{log: l.With("vm", vm)}
}

// Log writes an event with its values as alternating names and values.
func (l Logger) Log(e Event, values ...any) {
	if l.log == nil {
		return
	}
	l.log.Log(e.Level, e.Message, append([]any{"event", e.Number}, values...)...)
}
