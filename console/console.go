// Package console implements the operators' HTTP API and web pages: reading and changing the document, system
// status, spend, metrics and health probes.
package console

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/spend"
	"godwitplank/state"
	"godwitplank/telemetry"
)

// Operations are the changes and group queries that the console forwards to the control plane.
type Operations interface {
	// ChangeDocument proposes a new document version. The result says whether it was accepted; if not, it names the
	// current version. After an error the outcome is unknown.
	ChangeDocument(ctx context.Context, d *state.DocumentChange) (*state.DocumentResult, error)
	// CreateGroup bootstraps the Raft group with one voter on each named VM. Repeating it with the same voters returns
	// the membership; it fails if a group with other voters exists.
	CreateGroup(ctx context.Context, voters []string) (*raft.Membership, error)
	// Group asks the Raft leader for the group's state. Without an answer from a leader it may return the last known
	// state; it returns nil if no group is known.
	Group(ctx context.Context) *link.Group
	// Evacuate starts the evacuation of a data centre, whose endpoints get no new work; EndEvacuation withdraws it. After an
	// error of kind NoQuorum the outcome is unknown. Both may be repeated.
	Evacuate(ctx context.Context, dataCentre string) error
	EndEvacuation(ctx context.Context, dataCentre string) error
}

// Console serves the operators' API and web pages. Set the exported fields before calling Handler.
type Console struct {
	Name       string
	DataCentre string
	// OperatorsAddr and CallersAddr are the addresses that this VM listens on; they appear in the status.
	OperatorsAddr netip.AddrPort
	CallersAddr   netip.AddrPort
	Views         entry.Views
	Operations    Operations
	Metrics       http.Handler
	// Explainer serves POST /v1/explain; nil on a VM without a route address.
	Explainer http.Handler
	// Token is the operator token. Everything but the probes and metrics requires it; if it is empty, every such
	// request is refused.
	Token string
	Log   event.Logger
}

// Handler returns the handler for the operators' address. It rejects cross-origin browser requests that change state.
func (c *Console) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", c.serveLive).Methods(http.MethodGet)
	r.HandleFunc("/readyz", c.serveReady).Methods(http.MethodGet)
	r.Handle("/metrics", c.Metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/document", c.requireToken(c.putDocument)).Methods(http.MethodPut)
	r.HandleFunc("/v1/document", c.requireToken(c.getDocument)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", c.requireToken(c.getStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/spend", c.requireToken(c.getSpend)).Methods(http.MethodGet)
	r.HandleFunc("/v1/group", c.requireToken(c.putGroup)).Methods(http.MethodPut)
	r.HandleFunc("/v1/evacuations", c.requireToken(c.getEvacuations)).Methods(http.MethodGet)
	r.HandleFunc("/v1/evacuations/{data_centre}", c.requireToken(c.putEvacuation)).Methods(http.MethodPut)
	r.HandleFunc("/v1/evacuations/{data_centre}", c.requireToken(c.deleteEvacuation)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/explain", c.requireToken(c.explain)).Methods(http.MethodPost)
	c.addPages(r)
	r.NotFoundHandler = http.HandlerFunc(serveNotFound)
	r.MethodNotAllowedHandler = r.NotFoundHandler
	return http.NewCrossOriginProtection().Handler(r)
}

func serveNotFound(w http.ResponseWriter, r *http.Request) {
	entry.WriteError(w, fault.New(fault.UnknownPath, "the operators' address does not serve %s %s; see docs/INTERFACES.md for the API", r.Method, r.URL.Path))
}

// requireToken rejects API requests that lack the operator token as bearer token.
func (c *Console) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !c.authorized(entry.Bearer(r)) {
			entry.WriteError(w, fault.New(fault.WrongToken, "the operator token is missing or wrong; send it in the header Authorization: Bearer"))
			return
		}
		next(w, r)
	}
}

func (c *Console) authorized(token string) bool {
	return c.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(c.Token)) == 1
}

func (c *Console) serveLive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (c *Console) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !c.Views.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// submitTimeout bounds the wait for a majority to commit a submitted document.
const submitTimeout = 5 * time.Second

// SubmitResult is the response body of a PUT /v1/document that was accepted.
type SubmitResult struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

func (c *Console) putDocument(w http.ResponseWriter, r *http.Request) {
	body, readErr := entry.ReadBody(w, r, document.MaxBytes)
	if readErr != nil {
		entry.WriteError(w, readErr)
		return
	}
	result, err := c.Submit(r.Context(), body, r.Header.Get(godwitplank.HeaderChangeID))
	if err != nil {
		c.Log.Log(event.DocumentRefused, "kind", err.Kind, "document_version", err.Version)
		entry.WriteError(w, err)
		return
	}
	entry.WriteJSON(w, http.StatusOK, result)
}

// Submit validates a document in YAML or JSON and proposes it as the version it names. It is idempotent per changeID,
// a UUID. If no result arrives in time, the document may still be accepted: the error has the outcome Unknown, and the
// caller retries with the same changeID.
func (c *Console) Submit(ctx context.Context, text []byte, changeID string) (*SubmitResult, *fault.Error) {
	if _, err := uuid.Parse(changeID); err != nil {
		return nil, fault.New(fault.BadRequest, "the Change-Id header is %q, which is not a UUID; send a new UUID for each change and the same one for each retry", changeID)
	}
	d, err := document.Parse(text)
	if err != nil {
		return nil, fault.As(err)
	}
	ctx, span := telemetry.StartSpan(ctx, "change", "change_id", changeID)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	canonical, digest := d.Canonical()
	result, err := c.Operations.ChangeDocument(ctx, &state.DocumentChange{ChangeId: changeID, Version: d.Version, Canonical: canonical, Digest: digest})
	if err != nil {
		return nil, fault.New(fault.AnswerLost, "it is unknown whether the document was accepted (%v); send it again with the same Change-Id", err).
			WithOutcome(godwitplank.Unknown, 0)
	}
	if result.Accepted {
		return &SubmitResult{Version: result.Version, Digest: result.Digest}, nil
	}
	if result.CurrentChangeId == changeID && result.Digest != digest {
		return nil, fault.New(fault.ChangeIDReused, "the Change-Id was already used for a different document; send a new UUID for each change")
	}
	e := fault.New(fault.VersionConflict, "version %d cannot follow the current version %d of change %s; read version %d, apply the change to it and submit it as version %d",
		d.Version, result.Version, result.CurrentChangeId, result.Version, result.Version+1)
	e.Version = result.Version
	e.ChangeID = result.CurrentChangeId
	return nil, e
}

func (c *Console) getDocument(w http.ResponseWriter, _ *http.Request) {
	v := c.Views.View()
	if v.Document == nil {
		entry.WriteError(w, fault.New(fault.NoDocument, "this VM has no document yet; submit version 1"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(v.Canonical)
}

func (c *Console) getSpend(w http.ResponseWriter, _ *http.Request) {
	totals := c.Views.View().Spend
	if totals == nil {
		totals = []spend.Total{}
	}
	entry.WriteJSON(w, http.StatusOK, totals)
}

// groupRequest is the request body of PUT /v1/group. Voters are VM names.
type groupRequest struct {
	Voters []string `json:"voters"`
}

func (c *Console) putGroup(w http.ResponseWriter, r *http.Request) {
	var request groupRequest
	if readErr := readJSON(w, r, &request); readErr != nil {
		entry.WriteError(w, readErr)
		return
	}
	membership, err := c.Operations.CreateGroup(r.Context(), request.Voters)
	if err != nil {
		entry.WriteError(w, fault.As(err))
		return
	}
	entry.WriteJSON(w, http.StatusOK, groupStatus(membership))
}
