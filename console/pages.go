package console

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"html/template"
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/spend"
)

//go:embed templates/page.html
var templates embed.FS

var pages = template.Must(template.ParseFS(templates, "templates/page.html"))

// sessionCookie is the cookie that authenticates a browser after its login with the operator token.
const sessionCookie = "godwitplank_session"

// page is the data of the templates in templates/page.html.
type page struct {
	VM       string
	Messages []string
	Status   *Status
	Spend    []spend.Total
	// Evacuations are shown on the state page.
	Evacuations []EvacuationStatus
	Form        *form
	Version     uint64
	Document    string
	ChangeID    string
	// Resend shows a button that submits Document again with the same ChangeID, for an unknown outcome.
	Resend bool
}

// addPages registers the web pages. Handler wraps them in the protection against cross-site request forgery.
func (c *Console) addPages(r *mux.Router) {
	r.HandleFunc("/", c.requireSession(c.showState)).Methods(http.MethodGet)
	r.HandleFunc("/edit", c.requireSession(c.showEdit)).Methods(http.MethodGet)
	r.HandleFunc("/preview", c.requireSession(c.preview)).Methods(http.MethodPost)
	r.HandleFunc("/submit", c.requireSession(c.submitForm)).Methods(http.MethodPost)
	r.HandleFunc("/evacuation", c.requireSession(c.evacuateForm)).Methods(http.MethodPost)
	r.HandleFunc("/login", c.login).Methods(http.MethodPost)
}

func (c *Console) render(w http.ResponseWriter, name string, status int, p *page) {
	p.VM = c.Name
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, name, p); err != nil {
		http.Error(w, "the page cannot be rendered: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	w.WriteHeader(status)
	_, _ = b.WriteTo(w)
}

// sessionValue returns the value of the session cookie: an HMAC keyed with the operator token. The server keeps no
// session state, and a new token invalidates all sessions.
func (c *Console) sessionValue() string {
	mac := hmac.New(sha256.New, []byte(c.Token))
	mac.Write([]byte("console session"))
	return hex.EncodeToString(mac.Sum(nil))
}

// requireSession shows the login form to browsers without a valid session cookie.
func (c *Console) requireSession(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cookie, err := r.Cookie(sessionCookie)
		if err != nil || c.Token == "" || !hmac.Equal([]byte(cookie.Value), []byte(c.sessionValue())) {
			c.render(w, "login", http.StatusUnauthorized, &page{})
			return
		}
		next(w, r)
	}
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	if !c.authorized(r.PostFormValue("token")) {
		c.render(w, "login", http.StatusUnauthorized, &page{Messages: []string{"This is not the operator token; use the contents of the file that the daemon's --operator_token_file names."}})
		return
	}
	http.SetCookie(w, &http.Cookie{Name: sessionCookie, Value: c.sessionValue(), Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode})
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) showState(w http.ResponseWriter, r *http.Request) {
	s := c.status(r.Context())
	v := c.Views.View()
	c.render(w, "state", http.StatusOK, &page{Status: &s, Spend: v.Spend, Evacuations: evacuationList(v.Evacuations).Evacuations})
}

// currentDocument returns this VM's active document, an empty one if it has none.
func (c *Console) currentDocument() *document.Document {
	if current := c.Views.View().Document; current != nil {
		return current
	}
	return &document.Document{}
}

// showEdit shows the form filled with this VM's active document, as the next version.
func (c *Console) showEdit(w http.ResponseWriter, _ *http.Request) {
	d := *c.currentDocument()
	d.Version++
	f, _ := newForm(&d, nil)
	c.render(w, "edit", http.StatusOK, &page{Form: f})
}

// preview shows the document that the form describes, ready to submit, or if it is invalid the form again with the
// validation errors at their inputs.
func (c *Console) preview(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, document.MaxBytes)
	if err := r.ParseForm(); err != nil {
		c.render(w, "result", http.StatusBadRequest, &page{Messages: []string{"The form is malformed, incomplete or too large; submit it again."}})
		return
	}
	d, faults := parseForm(r.PostForm, c.currentDocument())
	text, err := json.MarshalIndent(d, "", "  ")
	if err == nil {
		_, err = document.Parse(text)
	}
	if err != nil || len(faults) > 0 {
		if err != nil {
			faults = append(faults, fault.As(err).FieldErrors...)
		}
		f, messages := newForm(d, faults)
		c.render(w, "edit", http.StatusUnprocessableEntity, &page{Form: f, Messages: messages})
		return
	}
	c.render(w, "preview", http.StatusOK, &page{Version: d.Version, Document: string(text), ChangeID: uuid.NewString()})
}

// submitForm submits the previewed document like PUT /v1/document. The change ID comes from a hidden field, so that
// a retry after an unknown outcome is idempotent.
func (c *Console) submitForm(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, 2*document.MaxBytes)
	text, changeID := r.PostFormValue("document"), r.PostFormValue("change_id")
	result, err := c.Submit(r.Context(), []byte(text), changeID)
	p := &page{Document: text, ChangeID: changeID}
	if err == nil {
		p.Messages = []string{fmt.Sprintf("Version %d is accepted. The state page shows which version is active on each VM.", result.Version)}
		c.render(w, "result", http.StatusOK, p)
		return
	}
	p.Messages = []string{err.Error()}
	for _, f := range err.FieldErrors {
		p.Messages = append(p.Messages, f.Path+": "+f.Message)
	}
	p.Resend = err.Outcome == godwitplank.Unknown
	c.render(w, "result", err.Status(), p)
}
