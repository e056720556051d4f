package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMetrics(t *testing.T) {
	is := is.New(t)
	m, err := NewMeter()
	is.NoErr(err)
	is.NoErr(m.AddGauges(
		Gauge{"godwitplank_ready", "Whether the VM is ready.", func() []Reading { return []Reading{{Value: 1}} }},
		Gauge{"godwitplank_endpoints", "Endpoints.", func() []Reading {
			return []Reading{{2, []string{"pool", "rank", "state", "working"}}, {1, []string{"pool", "rank", "state", "lost"}}}
		}},
	))
	m.RecordCommit(3 * time.Millisecond)
	m.RecordSync(time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, line := range []string{
		`godwitplank_endpoints{otel_scope_name="godwitplank",otel_scope_schema_url="",otel_scope_version="",pool="rank",state="lost"} 1`,
		`pool="rank",state="working"} 2`,
		"godwitplank_ready{",
		"godwitplank_commit_seconds_count{",
		"godwitplank_sync_seconds_sum{",
		`le="0.005"} 1`,
	} {
		if !strings.Contains(text, line) {
			t.Errorf("%s is missing in\n%s", line, text)
		}
	}
}

func TestUnsetMeterRecordsNothing(t *testing.T) {
	for _, m := range []*Meter{nil, {}} {
		m.RecordCommit(time.Second)
		m.RecordSync(time.Second)
		m.RecordRequest("p", "served", "", time.Second)
		is.New(t).True(m == nil || m.commitSeconds == nil)
	}
}
