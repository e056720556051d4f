package console

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"godwitplank/entry"
	"godwitplank/evacuation"
	"godwitplank/fault"
)

// EvacuationList is the response body of GET /v1/evacuations: the evacuations that the answering VM knows. Version
// increases with each change, so that the lists of two VMs can be compared.
type EvacuationList struct {
	Version     uint64             `json:"version"`
	Evacuations []EvacuationStatus `json:"evacuations"`
}

// EvacuationStatus describes an evacuated data centre.
type EvacuationStatus struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
}

// EvacuationResult is the response body of an accepted start or end of an evacuation.
type EvacuationResult struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
}

func evacuationList(s evacuation.State) EvacuationList {
	out := EvacuationList{Version: s.Version, Evacuations: []EvacuationStatus{}}
	for _, c := range s.Changes {
		if c.Active {
			out.Evacuations = append(out.Evacuations, EvacuationStatus{DataCentre: c.DataCentre, Since: time.UnixMilli(c.TimeMS).UTC()})
		}
	}
	return out
}

func (c *Console) getEvacuations(w http.ResponseWriter, _ *http.Request) {
	entry.WriteJSON(w, http.StatusOK, evacuationList(c.Views.View().Evacuations))
}

func (c *Console) putEvacuation(w http.ResponseWriter, r *http.Request) {
	c.writeEvacuation(w, r, true)
}

func (c *Console) deleteEvacuation(w http.ResponseWriter, r *http.Request) {
	c.writeEvacuation(w, r, false)
}

func (c *Console) writeEvacuation(w http.ResponseWriter, r *http.Request, active bool) {
	dataCentre := mux.Vars(r)["data_centre"]
	if err := c.changeEvacuation(r.Context(), dataCentre, active); err != nil {
		entry.WriteError(w, fault.As(err))
		return
	}
	entry.WriteJSON(w, http.StatusOK, EvacuationResult{DataCentre: dataCentre, Evacuated: active})
}

func (c *Console) changeEvacuation(ctx context.Context, dataCentre string, active bool) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if active {
		return c.Operations.Evacuate(ctx, dataCentre)
	}
	return c.Operations.EndEvacuation(ctx, dataCentre)
}

// evacuateForm starts or ends an evacuation from the state page.
func (c *Console) evacuateForm(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, entry.MaxBodyBytes)
	dataCentre, action := r.PostFormValue("data_centre"), r.PostFormValue("action")
	if action != "start" && action != "end" {
		c.render(w, "result", http.StatusBadRequest, &page{Messages: []string{"The form is malformed or incomplete; submit it again."}})
		return
	}
	if err := c.changeEvacuation(r.Context(), dataCentre, action == "start"); err != nil {
		e := fault.As(err)
		c.render(w, "result", e.Status(), &page{Messages: []string{e.Error()}})
		return
	}
	message := fmt.Sprintf("The evacuation of data centre %s is started. Its endpoints get no new work.", dataCentre)
	if action == "end" {
		message = fmt.Sprintf("The evacuation of data centre %s is ended.", dataCentre)
	}
	c.render(w, "result", http.StatusOK, &page{Messages: []string{message}})
}
