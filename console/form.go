package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"godwitplank/document"
	"godwitplank/fault"
)

// Blank entries after the existing ones, for additions, and the limit on entries read per list.
const (
	blankEntries = 2
	blankStages  = 3
	maxEntries   = 20_000
)

// field is one input of the form. Name is the path of its value in the document, as in fault.Place; Fault is the
// validation error shown beside it, and Class its CSS class.
type field struct {
	Name, Value, Class, Fault string
}

// form is the view model of the edit page: the document as form inputs.
type form struct {
	Version      uint64
	Pipelines    []pipelineForm
	Workspaces   [][]field
	Admissions   [][]field
	PlannedStops [][]field
}

type pipelineForm struct {
	Name, DeadlineMS field
	Stages           []stageForm
	// Fault is the validation error of the list of stages, such as an empty list.
	Fault string
}

// stageForm is the row of one stage. NonRepeatable is the checkbox "once", the inverse of document.Stage.Repeatable.
type stageForm struct {
	Name, Pool, Model, Stream, NonRepeatable field
}

// newForm returns the form for a document with each fault at the input it belongs to, and separately, as messages,
// the faults that match no input.
func newForm(d *document.Document, faults []fault.Place) (*form, []string) {
	f := &form{Version: d.Version}
	messages := make(map[string]string)
	for _, p := range faults {
		messages[p.Place] = p.Message
	}
	newField := func(name, value, class string) field {
		message := messages[name]
		delete(messages, name)
		return field{name, value, class, message}
	}
	for i := range len(d.Pipelines) + blankEntries {
		f.Pipelines = append(f.Pipelines, newPipelineForm(d, i, newField))
	}
	for i := range len(d.Workspaces) + blankEntries {
		w := entryAt(d.Workspaces, i)
		place := fmt.Sprintf("workspaces[%d].", i)
		f.Workspaces = append(f.Workspaces, []field{
			newField(place+"name", w.Name, ""), newField(place+"key_sha256", w.KeySHA256, "long"),
			newField(place+"requests_per_second", formatNumber(w.RequestsPerSecond), "short"),
			newField(place+"concurrent_requests", formatNumber(float64(w.ConcurrentRequests)), "short"),
			newField(place+"priority", formatNumber(float64(w.Priority)), "short"),
		})
	}
	for i := range len(d.EndpointAdmissions) + blankEntries {
		a := entryAt(d.EndpointAdmissions, i)
		place := fmt.Sprintf("endpoint_admissions[%d].", i)
		f.Admissions = append(f.Admissions, []field{
			newField(place+"pool", a.Pool, ""), newField(place+"endpoints", strings.Join(a.Endpoints, ", "), ""),
			newField(place+"token_sha256", a.TokenSHA256, "long"),
		})
	}
	for i := range len(d.PlannedStops) + blankEntries {
		s := entryAt(d.PlannedStops, i)
		place := fmt.Sprintf("planned_stops[%d]", i)
		stopTime := ""
		if !s.At.IsZero() {
			stopTime = s.At.Format(time.RFC3339)
		}
		stop := []field{newField(place+".endpoint", s.Endpoint, ""), newField(place+".vm", s.VM, ""), newField(place+".at", stopTime, "")}
		stop[0].Fault += newField(place, "", "").Fault
		f.PlannedStops = append(f.PlannedStops, stop)
	}
	var otherFaults []string
	for _, p := range faults {
		if message, ok := messages[p.Place]; ok {
			otherFaults = append(otherFaults, p.Place+": "+message)
		}
	}
	return f, otherFaults
}

func newPipelineForm(d *document.Document, i int, newField func(name, value, class string) field) pipelineForm {
	p := entryAt(d.Pipelines, i)
	place := fmt.Sprintf("pipelines[%d].", i)
	f := pipelineForm{
		Name:       newField(place+"name", p.Name, ""),
		DeadlineMS: newField(place+"deadline_ms", formatNumber(float64(p.DeadlineMS)), "short"),
		Fault:      newField(place+"stages", "", "").Fault,
	}
	for k := range len(p.Stages) + blankStages {
		s := entryAt(p.Stages, k)
		stagePlace := fmt.Sprintf("%sstages[%d].", place, k)
		f.Stages = append(f.Stages, stageForm{
			Name: newField(stagePlace+"name", s.Name, ""), Pool: newField(stagePlace+"pool", s.Pool, ""), Model: newField(stagePlace+"model", s.Model, ""),
			Stream: newField(stagePlace+"stream", checkboxValue(s.Stream), ""), NonRepeatable: newField(stagePlace+"once", checkboxValue(s.Orders()), ""),
		})
	}
	return f
}

// entryAt returns list[i], or the zero value past the end of the list, for a blank entry.
func entryAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var empty T
	return empty
}

func formatNumber(n float64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func checkboxValue(checked bool) string {
	if checked {
		return "true"
	}
	return ""
}

// formReader parses the values of a submitted form and collects the ones that are not valid numbers or times.
type formReader struct {
	values url.Values
	faults []fault.Place
}

// parseForm returns the document that a submitted form describes and its malformed values. It skips blank entries:
// pipelines, stages and workspaces without a name, admissions without a pool, and planned stops without a time.
func parseForm(values url.Values) (*document.Document, []fault.Place) {
	r := &formReader{values: values}
	d := &document.Document{Version: uint64(r.number("version"))}
	r.forEachEntry("pipelines[%d].", "name", func(place string) { d.Pipelines = append(d.Pipelines, r.pipeline(place)) })
	r.forEachEntry("workspaces[%d].", "name", func(place string) {
		d.Workspaces = append(d.Workspaces, document.Workspace{
			Name: r.text(place + "name"), KeySHA256: r.text(place + "key_sha256"), RequestsPerSecond: r.number(place + "requests_per_second"),
			ConcurrentRequests: int(r.number(place + "concurrent_requests")), Priority: int(r.number(place + "priority")),
		})
	})
	r.forEachEntry("endpoint_admissions[%d].", "pool", func(place string) {
		patterns := strings.FieldsFunc(r.text(place+"endpoints"), func(c rune) bool { return c == ',' || c == ' ' })
		d.EndpointAdmissions = append(d.EndpointAdmissions, document.EndpointAdmission{Pool: r.text(place + "pool"), Endpoints: patterns, TokenSHA256: r.text(place + "token_sha256")})
	})
	r.forEachEntry("planned_stops[%d].", "at", func(place string) {
		at, err := time.Parse(time.RFC3339, r.text(place+"at"))
		if err != nil {
			r.faults = append(r.faults, fault.Place{Place: place + "at", Message: "is not an RFC 3339 time; enter one such as 2026-12-05T10:00:00Z"})
		}
		d.PlannedStops = append(d.PlannedStops, document.PlannedStop{Endpoint: r.text(place + "endpoint"), VM: r.text(place + "vm"), At: at})
	})
	return d, r.faults
}

func (r *formReader) pipeline(place string) document.Pipeline {
	p := document.Pipeline{Name: r.text(place + "name"), DeadlineMS: int64(r.number(place + "deadline_ms"))}
	r.forEachEntry(place+"stages[%d].", "name", func(stagePlace string) {
		s := document.Stage{Name: r.text(stagePlace + "name"), Pool: r.text(stagePlace + "pool"), Model: r.text(stagePlace + "model"), Stream: r.text(stagePlace+"stream") != ""}
		if r.text(stagePlace+"once") != "" {
			repeatable := false
			s.Repeatable = &repeatable
		}
		p.Stages = append(p.Stages, s)
	})
	return p
}

// forEachEntry calls visit with the path of each entry of a list whose key field is not blank. It stops at the first
// index that the form does not contain.
func (r *formReader) forEachEntry(pattern, key string, visit func(place string)) {
	for i := range maxEntries {
		place := fmt.Sprintf(pattern, i)
		if _, ok := r.values[place+key]; !ok {
			return
		}
		if r.text(place+key) != "" {
			visit(place)
		}
	}
}

func (r *formReader) text(name string) string {
	return strings.TrimSpace(r.values.Get(name))
}

func (r *formReader) number(name string) float64 {
	text := r.text(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.faults = append(r.faults, fault.Place{Place: name, Message: fmt.Sprintf("%q is not a number; enter one such as 4000", text)})
	}
	return n
}
