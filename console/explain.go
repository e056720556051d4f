package console

import (
	"net/http"

	"godwitplank/entry"
	"godwitplank/fault"
)

// explain serves POST /v1/explain.
func (c *Console) explain(w http.ResponseWriter, r *http.Request) {
	if c.Explainer == nil {
		entry.WriteError(w, fault.New(fault.UnknownPath, "this VM serves no routes; ask a VM that runs with --routes_addr"))
		return
	}
	c.Explainer.ServeHTTP(w, r)
}
