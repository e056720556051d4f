package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"godwitplank/document"
	"godwitplank/entry"
	"godwitplank/fault"
	"godwitplank/piece"
	"godwitplank/route"
	"godwitplank/timer"
)

// Limits of the numbers in a question. They exceed those of any request that a route serves.
const (
	maxWhereBytes    = 64 << 10
	maxWhereTokens   = 1 << 30
	maxWherePieces   = 1 << 20
	maxWhereDeadline = time.Hour
)

// Where describes a request whose choice of endpoints is asked for. It is the request body of POST /v1/explain.
type Where struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is a workspace's key; Workspace is its name, for operators who do not have the key.
	Key       string `json:"key,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Model     string `json:"model,omitempty"`
	// Prompt lists the parts of the prompt in order.
	Prompt []WherePart `json:"prompt,omitempty"`
	// Pieces is the number of pieces of each stage.
	Pieces []int `json:"pieces,omitempty"`
	// DeadlineMS is the caller's time budget in milliseconds, 0 for the route's.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// WherePart is a part of a prompt.
type WherePart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Decision is what would happen to a request now.
type Decision string

// Decisions.
const (
	Start  Decision = "start"
	Wait   Decision = "wait"
	Refuse Decision = "refuse"
	// AskDispatcher means that another VM, which dispatches a first stage, decides between Start and Wait.
	AskDispatcher Decision = "ask_dispatcher"
)

// Explanation is the response body of POST /v1/explain.
type Explanation struct {
	DocumentVersion uint64   `json:"document_version"`
	Route           string   `json:"route,omitempty"`
	Workspace       string   `json:"workspace,omitempty"`
	Priority        int      `json:"priority"`
	DeadlineMS      int64    `json:"deadline_ms,omitempty"`
	ObjectiveMS     int64    `json:"objective_ms,omitempty"`
	Decision        Decision `json:"decision"`
	// Reason says why. Kind, Status and RetryAfterMS are those of a refusal.
	Reason       string     `json:"reason"`
	Kind         fault.Kind `json:"kind,omitempty"`
	Status       int        `json:"status,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	// FirstByteMS is the predicted time until the first byte of the response, 0 for a request without stages. RunAtMostMS is how long the run at an endpoint takes at most as this VM has
	// learnt, 0 if it does not know.
	FirstByteMS int64              `json:"first_byte_ms,omitempty"`
	RunAtMostMS int64              `json:"run_at_most_ms,omitempty"`
	Stages      []ExplainedStage   `json:"stages,omitempty"`
	Services    []ExplainedService `json:"services,omitempty"`
}

// ExplainedStage is a stage of the request that has pieces.
type ExplainedStage struct {
	Stage       int    `json:"stage"`
	Service     string `json:"service"`
	After       []int  `json:"after,omitempty"`
	Pieces      int    `json:"pieces"`
	PredictedMS int64  `json:"predicted_ms"`
	// DelayMS is by how much such stages exceeded their predicted time lately.
	DelayMS int64 `json:"delay_ms"`
	piece.Terms
}

// ExplainedService is a service of the route with its candidates.
type ExplainedService struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// SelectedBy is the VM that selects the engines for all VMs with its own knowledge (package placement); empty if this VM
	// does. The candidates are then those of this VM's choice if that VM does not respond.
	SelectedBy string `json:"selected_by,omitempty"`
	// Chosen is the candidate with the highest chance, empty if there is none.
	Chosen     string        `json:"chosen,omitempty"`
	Candidates []route.Terms `json:"candidates"`
}

// Explainer explains the choices of a Gateway without sending, reserving or counting anything.
type Explainer struct {
	Gateway *Gateway
	Broker  *piece.Broker
	// Policy is the name of the Gateway's policy in route.Policies.
	Policy string
}

// ServeHTTP serves POST /v1/explain. The caller has checked the operator token.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, refusal := entry.ReadBody(w, r, maxWhereBytes)
	if refusal != nil {
		entry.WriteError(w, refusal)
		return
	}
	var where Where
	if err := json.Unmarshal(body, &where); err != nil {
		entry.WriteError(w, fault.New(fault.BadRequest, "the request body is not the expected JSON (%v); see docs/INTERFACES.md for its format", err))
		return
	}
	if err := where.check(); err != nil {
		entry.WriteError(w, err)
		return
	}
	entry.WriteJSON(w, http.StatusOK, e.Explain(&where))
}

// check returns a fault if a number is out of range.
func (w *Where) check() *fault.Error {
	if w.DeadlineMS < 0 || w.DeadlineMS > maxWhereDeadline.Milliseconds() {
		return fault.New(fault.BadRequest, "deadline_ms is %d; give 0 to %d", w.DeadlineMS, maxWhereDeadline.Milliseconds())
	}
	tokens := 0
	for _, p := range w.Prompt {
		if p.Tokens < 0 || p.Tokens > maxWhereTokens-tokens {
			return fault.New(fault.BadRequest, "part %.50q of the prompt has %d tokens; give at most %d in all parts", p.ID, p.Tokens, maxWhereTokens)
		}
		tokens += p.Tokens
	}
	for i, n := range w.Pieces {
		if n < 0 || n > maxWherePieces {
			return fault.New(fault.BadRequest, "stage %d has %d pieces; give 0 to %d", i, n, maxWherePieces)
		}
	}
	return nil
}

// Explain returns where a request of this form would go now, by the functions that choose for requests.
func (e *Explainer) Explain(w *Where) *Explanation {
	g := e.Gateway
	x := &exchange{received: g.Clock.Now(), view: g.Views.View(), Request: &Request{
		Key: w.Key, Host: w.Host, Path: w.Path, Model: w.Model, Pieces: w.Pieces, Remaining: time.Duration(w.DeadlineMS) * time.Millisecond,
	}}
	for _, p := range w.Prompt {
		x.Prefix = append(x.Prefix, route.PromptPart{ID: p.ID, Tokens: p.Tokens})
	}
	out := &Explanation{}
	if x.view.Document == nil {
		return out.refuse(fault.New(fault.NoDocument, "this VM has not received the document yet"))
	}
	d := x.view.Document
	out.DocumentVersion = d.Version
	if x.route = d.FindRoute(x.Host, x.Path); x.route == nil {
		return out.refuse(fault.New(fault.UnknownPath, "no route matches host %q and path %q; check both against the document", x.Host, x.Path))
	}
	out.Route, x.priority = x.route.Name, x.route.Priority
	if err := x.identify(d, w.Workspace); err != nil {
		return out.refuse(fault.As(err))
	}
	x.setTimes()
	out.Workspace, out.Priority = x.workspace, x.priority
	out.DeadlineMS, out.ObjectiveMS = x.deadline.Sub(x.received).Milliseconds(), x.due.Sub(x.received).Milliseconds()
	out.FirstByteMS = g.expectedStages(x).Milliseconds()
	if run, ok := g.runs.estimate(x.route.Name); ok {
		out.RunAtMostMS = run.Milliseconds()
	}
	for i := range x.route.Stages {
		if i < len(x.Pieces) && x.Pieces[i] > 0 {
			out.Stages = append(out.Stages, e.explainStage(x, i))
		}
	}
	refusal := e.explainServices(x, out)
	if q := g.findQuarantine(x); q != nil {
		left := q.Until.Sub(x.received)
		return out.refuse(fault.New(fault.PromptQuarantined, "endpoints crashed while they ran prompts with some of its parts").WithOutcome("", left))
	}
	if g.endsAfterStop(x) {
		return out.refuse(stoppingFault(x))
	}
	if refusal != nil {
		out.refuse(refusal)
		if len(out.Stages) > 0 {
			out.Reason = "once its stages have run: " + out.Reason
		}
		return out
	}
	out.decide()
	return out
}

// identify sets the workspace by its name, or else by the request's key.
func (x *exchange) identify(d *document.Document, name string) error {
	if name == "" {
		return x.authenticate(d)
	}
	workspace := d.Workspace(name)
	if workspace == nil {
		return fault.New(fault.WrongKey, "no workspace has the name %.50q; give one of the active document", name)
	}
	x.workspace = workspace.Name
	if workspace.RanksRequests && !x.route.Public {
		x.priority += workspacePriorityWeight * workspace.Priority
	}
	return nil
}

// setTimes sets the deadline and the end of the latency objective as for an admitted request.
func (x *exchange) setTimes() {
	x.deadline = x.received.Add(x.route.Timeout())
	if x.Remaining > 0 {
		x.deadline = timer.Earlier(x.deadline, x.received.Add(x.Remaining))
	}
	x.due = x.deadline
	if x.route.TargetLatencyMS > 0 {
		x.due = timer.Earlier(x.deadline, x.received.Add(x.route.TargetLatency()))
	}
}

func (e *Explainer) explainStage(x *exchange, i int) ExplainedStage {
	s := &x.route.Stages[i]
	return ExplainedStage{
		Stage: i, Service: s.Service, After: s.After, Pieces: x.Pieces[i], PredictedMS: e.Gateway.predictedDuration(x, i).Milliseconds(),
		DelayMS: e.Gateway.delays.estimate(s.Service).Milliseconds(), Terms: e.Broker.Explain(s.Service),
	}
}

// explainServices adds the candidates of the route's services. It returns the refusal of a request whose most likely service
// has no endpoint for it. What the endpoint would fetch of the stages' results is not known before they have run, and is left
// out of the choice.
func (e *Explainer) explainServices(x *exchange, out *Explanation) *fault.Error {
	total, largest := 0.0, -1.0
	for _, s := range x.route.Services {
		total += s.Weight
	}
	var refusal *fault.Error
	for _, s := range x.route.Services {
		share := 1.0
		if total > 0 {
			share = s.Weight / total
		}
		explained, err := e.explainService(x, s.Service)
		explained.Share = share
		out.Services = append(out.Services, explained)
		if share > largest {
			largest, refusal = share, err
		}
	}
	return refusal
}

func (e *Explainer) explainService(x *exchange, name string) (ExplainedService, *fault.Error) {
	g := e.Gateway
	service := x.view.Document.Service(name)
	candidates := x.view.Pools[name]
	q := route.Query{Now: x.received, DataCentre: g.DataCentre, Model: x.Model, Reach: g.Reach}
	out := ExplainedService{Service: name}
	if g.Placements.Places(name) {
		out.SelectedBy = g.Placements.Owner(name)
	}
	if service != nil && service.Engine != nil {
		out.Candidates = g.Prefixes.Explain(q, candidates, x.Prefix)
	} else {
		out.Candidates = route.ExplainPolicy(e.Policy, q, candidates)
	}
	best := 0.0
	for i := range out.Candidates {
		if c := &out.Candidates[i]; c.Chance > best {
			best, out.Chosen = c.Chance, c.Endpoint
		}
	}
	if out.Chosen == "" {
		return out, fault.As(noCandidate(q, candidates))
	}
	return out, nil
}

func (e *Explanation) refuse(f *fault.Error) *Explanation {
	e.Decision, e.Reason, e.Kind, e.Status, e.RetryAfterMS = Refuse, f.Message, f.Kind, f.Status(), f.RetryAfterMS
	return e
}

// decide sets the decision on a request that is not refused: its first stages decide whether it starts now.
func (e *Explanation) decide() {
	e.Decision, e.Reason = Start, "it goes to an endpoint now"
	for _, s := range e.Stages {
		if len(s.After) > 0 {
			continue
		}
		available := 0
		for _, c := range s.Endpoints {
			if c.Available {
				available++
			}
		}
		switch {
		case !s.Known:
			e.Decision, e.Reason = AskDispatcher, fmt.Sprintf("stage %d of service %s is dispatched by VM %s; ask it for its queue and endpoints", s.Stage, s.Service, s.DispatcherVM)
		case available == 0:
			e.Decision, e.Reason = Wait, fmt.Sprintf("no endpoint of service %s takes a call for stage %d now", s.Service, s.Stage)
			return
		case s.QueuedPieces > 0:
			e.Decision, e.Reason = Wait, fmt.Sprintf("%d pieces of service %s wait already before those of stage %d", s.QueuedPieces, s.Service, s.Stage)
			return
		case e.Decision == Start:
			e.Reason = "the pieces of its first stages are sent now"
		}
	}
}
