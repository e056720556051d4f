package console

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"godwitplank/control"
	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/state"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const token = "operator-token-of-tests"

// fakeSystem implements entry.Views and Operations on a single state machine. With loseResponse set, it applies the
// next change but returns an error instead of the result.
type fakeSystem struct {
	machine      state.Machine
	loseResponse bool
	changes      []string
}

func (f *fakeSystem) View() *control.View {
	v := &control.View{Evacuations: f.machine.Evacuations()}
	if d := f.machine.Document(); d != nil {
		v.Document, _ = document.ParseCanonical(d.Canonical)
		v.Canonical = d.Canonical
	}
	return v
}

func (f *fakeSystem) ChangeDocument(_ context.Context, d *state.DocumentChange) (*state.DocumentResult, error) {
	f.changes = append(f.changes, d.ChangeId)
	r := f.machine.Apply(&state.Command{Change: &state.Command_Document{Document: d}})
	if f.loseResponse {
		f.loseResponse = false
		return nil, fault.New(fault.NoQuorum, "no majority")
	}
	return r.Document, nil
}

func (f *fakeSystem) CreateGroup(context.Context, []string) (*raft.Membership, error) {
	return nil, nil
}

func (f *fakeSystem) Evacuate(_ context.Context, dataCentre string) error {
	return f.change(dataCentre, true)
}

func (f *fakeSystem) EndEvacuation(_ context.Context, dataCentre string) error {
	return f.change(dataCentre, false)
}

func (f *fakeSystem) change(dataCentre string, active bool) error {
	if dataCentre != "dc-a" {
		return fault.New(fault.UnknownDataCentre, "the deployment has no data centre %q; name one of dc-a", dataCentre)
	}
	f.machine.Apply(&state.Command{Id: uuid.NewString(), Change: &state.Command_Evacuation{Evacuation: &state.Evacuation{DataCentre: dataCentre, Active: active}}})
	return nil
}

func (f *fakeSystem) Group(context.Context) *link.Group { return nil }

// browser is an HTTP client that keeps cookies and submits forms.
type browser struct {
	is      *is.I
	client  *http.Client
	url     string
	cookies []*http.Cookie
}

func newBrowser(t *testing.T, f *fakeSystem) *browser {
	t.Helper()
	c := &Console{Name: "vm-a", DataCentre: "dc-a", Views: f, Operations: f, Token: token, Metrics: http.NotFoundHandler()}
	server := httptest.NewServer(c.Handler())
	t.Cleanup(server.Close)
	client := server.Client()
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &browser{is: is.New(t), client: client, url: server.URL}
}

func (b *browser) send(method, path, origin string, values url.Values) (int, string) {
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(values.Encode()))
	b.is.NoErr(err)
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if origin != "" {
		r.Header.Set("Origin", origin)
	}
	for _, c := range b.cookies {
		r.AddCookie(c)
	}
	response, err := b.client.Do(r)
	b.is.NoErr(err)
	defer response.Body.Close()
	b.cookies = append(b.cookies, response.Cookies()...)
	text, err := io.ReadAll(response.Body)
	b.is.NoErr(err)
	return response.StatusCode, string(text)
}

func (b *browser) post(path string, values url.Values) (int, string) {
	return b.send(http.MethodPost, path, b.url, values)
}

func (b *browser) login() {
	status, _ := b.post("/login", url.Values{"token": {token}})
	b.is.Equal(status, http.StatusSeeOther)
}

var hiddenInput = regexp.MustCompile(`(?s)<input type="hidden" name="([a-z_]+)" value="([^"]*)">`)

// hiddenFields returns the hidden form fields of a page.
func hiddenFields(text string) url.Values {
	out := make(url.Values)
	for _, m := range hiddenInput.FindAllStringSubmatch(text, -1) {
		out.Set(m[1], strings.NewReplacer("&#34;", `"`, "&#43;", "+", "&lt;", "<", "&amp;", "&").Replace(m[2]))
	}
	return out
}

func sampleForm() url.Values {
	return url.Values{
		"version": {"1"}, "pipelines[0].name": {"supply_notice"}, "pipelines[0].deadline_ms": {"4000"},
		"pipelines[0].stages[0].name": {"encode"}, "pipelines[0].stages[0].pool": {"encoders"},
		"pipelines[0].stages[1].name": {""}, "pipelines[0].stages[2].name": {"order"}, "pipelines[0].stages[2].pool": {"orders"}, "pipelines[0].stages[2].once": {"true"},
		"workspaces[0].name": {"crews"}, "workspaces[0].key_sha256": {strings.Repeat("ab", 32)}, "workspaces[0].requests_per_second": {"50"}, "workspaces[0].concurrent_requests": {"20"},
		"endpoint_admissions[0].pool": {"encoders"}, "endpoint_admissions[0].endpoints": {"encoder-*, spare-1"}, "endpoint_admissions[0].token_sha256": {strings.Repeat("cd", 32)},
		"planned_stops[0].at": {"2026-12-05T10:00:00Z"}, "planned_stops[0].endpoint": {"encoder-1"},
	}
}

func TestPagesRequireSession(t *testing.T) {
	f := &fakeSystem{}
	b := newBrowser(t, f)
	status, text := b.send(http.MethodGet, "/", "", nil)
	b.is.Equal(status, http.StatusUnauthorized)
	b.is.True(strings.Contains(text, "operator token"))
	status, _ = b.post("/submit", url.Values{"document": {"{}"}})
	b.is.Equal(status, http.StatusUnauthorized)
	status, _ = b.post("/login", url.Values{"token": {"wrong"}})
	b.is.Equal(status, http.StatusUnauthorized)
	b.login()
	status, _ = b.send(http.MethodGet, "/", "", nil)
	b.is.Equal(status, http.StatusOK)
	status, _ = b.send(http.MethodPost, "/submit", "http://elsewhere.example", url.Values{"document": {"{}"}})
	b.is.Equal(status, http.StatusForbidden) // cross-site request forgery
	b.is.Equal(len(f.changes), 0)
}

// Guards against a lost response applying a change twice or under two change IDs: the form is previewed and submitted,
// the response is lost, and the retry must reuse the change ID.
func TestFormSubmitsDocument(t *testing.T) {
	f := &fakeSystem{loseResponse: true}
	b := newBrowser(t, f)
	b.login()
	status, text := b.post("/preview", sampleForm())
	b.is.Equal(status, http.StatusOK)
	change := hiddenFields(text)
	golden(t, b, "testdata/preview.golden", change.Get("document"))
	status, text = b.post("/submit", change)
	b.is.Equal(status, http.StatusServiceUnavailable)
	b.is.True(strings.Contains(text, "send the same change again"))
	status, text = b.post("/submit", hiddenFields(text))
	b.is.Equal(status, http.StatusOK)
	b.is.True(strings.Contains(text, "Version 1 is accepted"))
	b.is.Equal(f.changes[0], f.changes[1])

	// The edit form is filled with version 1 and proposes version 2.
	_, text = b.send(http.MethodGet, "/edit", "", nil)
	b.is.True(strings.Contains(text, `name="version" value="2"`))
	b.is.True(strings.Contains(text, `name="endpoint_admissions[0].endpoints" value="encoder-*, spare-1"`))

	// A different change submitted as version 1 conflicts; the error names the current version and its change ID.
	_, text = b.post("/preview", sampleForm())
	status, text = b.post("/submit", hiddenFields(text))
	b.is.Equal(status, http.StatusConflict)
	b.is.True(strings.Contains(text, "of change "+f.changes[0]) && strings.Contains(text, "submit it as version 2"))
}

// Guards against validation errors that appear away from their inputs: a preview of an invalid form shows each at its
// input and submits nothing.
func TestFormShowsFaultsAtFields(t *testing.T) {
	f := &fakeSystem{}
	b := newBrowser(t, f)
	b.login()
	values := sampleForm()
	values.Set("pipelines[0].deadline_ms", "soon")
	values.Set("workspaces[0].key_sha256", "short")
	values.Set("planned_stops[0].vm", "vm-a")
	status, text := b.post("/preview", values)
	b.is.Equal(status, http.StatusUnprocessableEntity)
	for _, want := range []string{
		`name="pipelines\[0\].deadline_ms"[^>]*> <span class="fault">`,
		`name="workspaces\[0\].key_sha256" value="short"[^>]*> <span class="fault">is not a SHA-256 digest`,
		`name="planned_stops\[0\].endpoint"[^>]*> <span class="fault">names`,
	} {
		b.is.True(regexp.MustCompile(want).MatchString(text))
	}
	b.is.Equal(len(f.changes), 0)
}

// Guards against a change of evacuations without the operator token or a session, and against a page that hides a refusal.
func TestEvacuations(t *testing.T) {
	f := &fakeSystem{}
	b := newBrowser(t, f)
	call := func(method, path, bearer string) (int, string) {
		r, err := http.NewRequest(method, b.url+path, nil)
		b.is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+bearer)
		response, err := b.client.Do(r)
		b.is.NoErr(err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		b.is.NoErr(err)
		return response.StatusCode, string(text)
	}
	status, _ := call(http.MethodPut, "/v1/evacuations/dc-a", "wrong")
	b.is.Equal(status, http.StatusUnauthorized)
	status, _ = b.post("/evacuation", url.Values{"data_centre": {"dc-a"}, "action": {"start"}})
	b.is.Equal(status, http.StatusUnauthorized)
	b.is.Equal(len(f.machine.Evacuations().DataCentres()), 0)

	status, _ = call(http.MethodPut, "/v1/evacuations/dc-a", token)
	b.is.Equal(status, http.StatusOK)
	_, text := call(http.MethodGet, "/v1/evacuations", token)
	b.is.True(strings.Contains(text, `"data_centre":"dc-a"`))
	status, _ = call(http.MethodDelete, "/v1/evacuations/dc-z", token)
	b.is.Equal(status, http.StatusNotFound)

	b.login()
	_, text = b.send(http.MethodGet, "/", "", nil)
	b.is.True(strings.Contains(text, "end the evacuation"))
	status, _ = b.post("/evacuation", url.Values{"data_centre": {"dc-a"}, "action": {"end"}})
	b.is.Equal(status, http.StatusOK)
	b.is.Equal(len(f.machine.Evacuations().DataCentres()), 0)
	status, text = b.post("/evacuation", url.Values{"data_centre": {"dc-z"}, "action": {"start"}})
	b.is.Equal(status, http.StatusNotFound)
	b.is.True(strings.Contains(text, "name one of dc-a"))
	status, _ = b.post("/evacuation", url.Values{"data_centre": {"dc-a"}})
	b.is.Equal(status, http.StatusBadRequest)
}

func golden(t *testing.T, b *browser, path, got string) {
	t.Helper()
	if *update {
		b.is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	b.is.NoErr(err)
	b.is.Equal(got, string(want))
}
