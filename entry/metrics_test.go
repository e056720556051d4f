package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/telemetry"
)

// Each text that a caller sent as a pipeline made a time series, and one that is not UTF-8 made all metrics unreadable.
func TestUnknownPipelinesMakeNoTimeSeries(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	var err error
	s.Meter, err = telemetry.NewMeter()
	is.NoErr(err)
	for _, name := range []string{"p", "%ff", "other"} {
		r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/"+name+"/requests", strings.NewReader(`{"input":"x"}`))
		r.Header.Set("Authorization", "Bearer key")
		s.Handler().ServeHTTP(httptest.NewRecorder(), r)
	}
	w := httptest.NewRecorder()
	s.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `pipeline="p"`))
	is.True(strings.Contains(w.Body.String(), `kind="unknown_pipeline"`))
	is.True(!strings.Contains(w.Body.String(), "other"))
}
