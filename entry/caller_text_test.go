package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/fault"
)

// An idempotency key that is not UTF-8 could not be stored: the order was proposed again and again until its deadline. It is refused
// at once.
func TestIdempotencyKeyThatIsNotUTF8(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	repeatable := false
	s.Views.View().Document.Pipelines[0].Stages[0].Repeatable = &repeatable
	r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/p/requests", strings.NewReader(`{"input":"x"}`))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k\xff")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(strings.Contains(w.Body.String(), string(fault.BadRequest)))
}
