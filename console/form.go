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

// field is one input of the form. Name is the path of its value in the document, as in fault.FieldError; Fault is the
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

// newForm returns the form for a document with each validation error at the input it belongs to, and separately, as
// messages, the errors that match no input.
func newForm(d *document.Document, faults []fault.FieldError) (*form, []string) {
	f := &form{Version: d.Version}
	messages := make(map[string]string)
	for _, f := range faults {
		messages[f.Path] = f.Message
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
		fieldPath := fmt.Sprintf("workspaces[%d].", i)
		f.Workspaces = append(f.Workspaces, []field{
			newField(fieldPath+"name", w.Name, ""), newField(fieldPath+"key_sha256", w.KeySHA256, "long"),
			newField(fieldPath+"requests_per_second", formatNumber(w.RequestsPerSecond), "short"),
			newField(fieldPath+"concurrent_requests", formatNumber(float64(w.ConcurrentRequests)), "short"),
			newField(fieldPath+"priority", formatNumber(float64(w.Priority)), "short"),
		})
	}
	for i := range len(d.EndpointAdmissions) + blankEntries {
		a := entryAt(d.EndpointAdmissions, i)
		fieldPath := fmt.Sprintf("endpoint_admissions[%d].", i)
		f.Admissions = append(f.Admissions, []field{
			newField(fieldPath+"pool", a.Pool, ""), newField(fieldPath+"endpoints", strings.Join(a.Endpoints, ", "), ""),
			newField(fieldPath+"token_sha256", a.TokenSHA256, "long"),
		})
	}
	for i := range len(d.PlannedStops) + blankEntries {
		s := entryAt(d.PlannedStops, i)
		fieldPath := fmt.Sprintf("planned_stops[%d]", i)
		stopTime := ""
		if !s.At.IsZero() {
			stopTime = s.At.Format(time.RFC3339)
		}
		stop := []field{newField(fieldPath+".endpoint", s.Endpoint, ""), newField(fieldPath+".vm", s.VM, ""), newField(fieldPath+".at", stopTime, "")}
		stop[0].Fault += newField(fieldPath, "", "").Fault
		f.PlannedStops = append(f.PlannedStops, stop)
	}
	var otherFaults []string
	for _, f := range faults {
		if message, ok := messages[f.Path]; ok {
			otherFaults = append(otherFaults, f.Path+": "+message)
		}
	}
	return f, otherFaults
}

func newPipelineForm(d *document.Document, i int, newField func(name, value, class string) field) pipelineForm {
	p := entryAt(d.Pipelines, i)
	fieldPath := fmt.Sprintf("pipelines[%d].", i)
	f := pipelineForm{
		Name:       newField(fieldPath+"name", p.Name, ""),
		DeadlineMS: newField(fieldPath+"deadline_ms", formatNumber(float64(p.DeadlineMS)), "short"),
		Fault:      newField(fieldPath+"stages", "", "").Fault,
	}
	for k := range len(p.Stages) + blankStages {
		s := entryAt(p.Stages, k)
		stagePath := fmt.Sprintf("%sstages[%d].", fieldPath, k)
		f.Stages = append(f.Stages, stageForm{
			Name: newField(stagePath+"name", s.Name, ""), Pool: newField(stagePath+"pool", s.Pool, ""), Model: newField(stagePath+"model", s.Model, ""),
			Stream: newField(stagePath+"stream", checkboxValue(s.Stream), ""), NonRepeatable: newField(stagePath+"once", checkboxValue(s.NonIdempotent()), ""),
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
	faults []fault.FieldError
}

// parseForm returns the document that a submitted form describes and its malformed values. It skips blank entries:
// pipelines, stages and workspaces without a name, admissions without a pool, and planned stops without a time. What the
// form does not show is taken from current: routes, services, request limits, and further fields of workspaces by name.
func parseForm(values url.Values, current *document.Document) (*document.Document, []fault.FieldError) {
	r := &formReader{values: values}
	d := &document.Document{
		Version: uint64(r.number("version")), Routes: current.Routes, Services: current.Services, RequestLimits: current.RequestLimits,
	}
	r.forEachEntry("pipelines[%d].", "name", func(fieldPath string) { d.Pipelines = append(d.Pipelines, r.pipeline(fieldPath)) })
	r.forEachEntry("workspaces[%d].", "name", func(fieldPath string) {
		w := document.Workspace{Name: r.text(fieldPath + "name")}
		if known := current.Workspace(w.Name); known != nil {
			w = *known
		}
		w.KeySHA256, w.RequestsPerSecond = r.text(fieldPath+"key_sha256"), r.number(fieldPath+"requests_per_second")
		w.ConcurrentRequests, w.Priority = int(r.number(fieldPath+"concurrent_requests")), int(r.number(fieldPath+"priority"))
		d.Workspaces = append(d.Workspaces, w)
	})
	r.forEachEntry("endpoint_admissions[%d].", "pool", func(fieldPath string) {
		patterns := strings.FieldsFunc(r.text(fieldPath+"endpoints"), func(c rune) bool { return c == ',' || c == ' ' })
		d.EndpointAdmissions = append(d.EndpointAdmissions, document.EndpointAdmission{Pool: r.text(fieldPath + "pool"), Endpoints: patterns, TokenSHA256: r.text(fieldPath + "token_sha256")})
	})
	r.forEachEntry("planned_stops[%d].", "at", func(fieldPath string) {
		at, err := time.Parse(time.RFC3339, r.text(fieldPath+"at"))
		if err != nil {
			r.faults = append(r.faults, fault.FieldError{Path: fieldPath + "at", Message: "is not an RFC 3339 time; enter one such as 2026-12-05T10:00:00Z"})
		}
		d.PlannedStops = append(d.PlannedStops, document.PlannedStop{Endpoint: r.text(fieldPath + "endpoint"), VM: r.text(fieldPath + "vm"), At: at})
	})
	return d, r.faults
}

func (r *formReader) pipeline(fieldPath string) document.Pipeline {
	p := document.Pipeline{Name: r.text(fieldPath + "name"), DeadlineMS: int64(r.number(fieldPath + "deadline_ms"))}
	r.forEachEntry(fieldPath+"stages[%d].", "name", func(stagePath string) {
		s := document.Stage{Name: r.text(stagePath + "name"), Pool: r.text(stagePath + "pool"), Model: r.text(stagePath + "model"), Stream: r.text(stagePath+"stream") != ""}
		if r.text(stagePath+"once") != "" {
			repeatable := false
			s.Repeatable = &repeatable
		}
		p.Stages = append(p.Stages, s)
	})
	return p
}

// forEachEntry calls visit with the path of each entry of a list whose key field is not blank. It stops at the first
// index that the form does not contain.
func (r *formReader) forEachEntry(pattern, key string, visit func(fieldPath string)) {
	for i := range maxEntries {
		fieldPath := fmt.Sprintf(pattern, i)
		if _, ok := r.values[fieldPath+key]; !ok {
			return
		}
		if r.text(fieldPath+key) != "" {
			visit(fieldPath)
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
		r.faults = append(r.faults, fault.FieldError{Path: name, Message: fmt.Sprintf("%q is not a number; enter one such as 4000", text)})
	}
	return n
}
