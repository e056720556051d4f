// Package event defines the numbered log events and writes them as JSON lines.
package event

import (
	"io"

	"github.com/charmbracelet/log"
)

// Event is a kind of log entry with a number that never changes.
type Event struct {
	Number  int
	Level   log.Level
	Message string
	// Fields lists the names of the logged fields, separated by commas.
	Fields string
	// Remedy is the action for the operator.
	Remedy string
}

// timeFormat includes milliseconds, so that the log lines of several VMs can be merged in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes events. The zero value writes nothing.
type Logger struct {
	logger *log.Logger
}

// NewLogger returns a logger that writes JSON lines for events of at least the given level, each with the VM's name.
func NewLogger(w io.Writer, level log.Level, vm string) Logger {
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: timeFormat, Formatter: log.JSONFormatter})
	return Logger{logger: l.With("vm", vm)}
}

// Log writes an event. The values are alternating field names and values.
func (l Logger) Log(e Event, values ...any) {
	if l.logger == nil {
		return
	}
	l.logger.Log(e.Level, e.Message, append([]any{"event", e.Number}, values...)...)
}
