package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"godwitplank/gateway"
	"godwitplank/piece"
	"godwitplank/route"
)

func (t *tool) whereCommand() *cobra.Command {
	var where gateway.Where
	var prompt []string
	var deadline time.Duration
	c := &cobra.Command{
		Use:   "where",
		Short: "Show where a request would go now and why, without sending it",
		Long: "Asks a VM with a route address about a request. Nothing is sent, reserved or counted. The endpoints of a stage are\n" +
			"known to the VM that dispatches its service.",
		Example: "  godwitplank explain where --host chat.example --path /v1/chat --workspace w --prompt system:900,turn:40 --pieces 4",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			for _, text := range prompt {
				part, err := parsePart(text)
				if err != nil {
					return err
				}
				where.Prompt = append(where.Prompt, part)
			}
			where.DeadlineMS = deadline.Milliseconds()
			body, err := json.Marshal(&where)
			if err != nil {
				return err
			}
			var e gateway.Explanation
			if err := t.call(c.Context(), http.MethodPost, "/v1/explain", body, nil, &e); err != nil {
				return err
			}
			return t.print(&e, func(w io.Writer) { printExplanation(w, &e) })
		},
	}
	flags := c.Flags()
	flags.StringVar(&where.Host, "host", "", "host of the request")
	flags.StringVar(&where.Path, "path", "/", "path of the request")
	flags.StringVar(&where.Key, "key", "", "key of the workspace")
	flags.StringVar(&where.Workspace, "workspace", "", "name of the workspace, instead of its key")
	flags.StringVar(&where.Model, "model", "", "model that the endpoint has to serve")
	flags.StringSliceVar(&prompt, "prompt", nil, "parts of the prompt in order, ID:TOKENS")
	flags.IntSliceVar(&where.Pieces, "pieces", nil, "number of pieces of each stage")
	flags.DurationVar(&deadline, "deadline", 0, "time budget of the caller, such as 3s; 0 for the route's")
	return c
}

// parsePart parses ID:TOKENS. The id may have colons.
func parsePart(text string) (gateway.WherePart, error) {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return gateway.WherePart{}, usageError("--prompt has %q; give ID:TOKENS", text)
	}
	tokens, err := strconv.Atoi(text[i+1:])
	if err != nil || tokens < 0 {
		return gateway.WherePart{}, usageError("--prompt has %q; give ID:TOKENS", text)
	}
	return gateway.WherePart{ID: text[:i], Tokens: tokens}, nil
}

func printExplanation(w io.Writer, e *gateway.Explanation) {
	fmt.Fprintf(w, "decision %s: %s\n", e.Decision, e.Reason)
	if e.Decision == gateway.Refuse {
		fmt.Fprintf(w, "refused with status %d, kind %s, retry after %d ms\n", e.Status, e.Kind, e.RetryAfterMS)
	}
	fmt.Fprintf(w, "route %s, workspace %s, priority %d, document version %d, deadline %d ms, objective %d ms\n",
		orDash(e.Route), orDash(e.Workspace), e.Priority, e.DocumentVersion, e.DeadlineMS, e.ObjectiveMS)
	fmt.Fprintf(w, "predicted: first byte after %d ms, run at most %d ms (0: unknown)\n", e.FirstByteMS, e.RunAtMostMS)
	for _, s := range e.Stages {
		fmt.Fprintf(w, "\nstage %d, service %s, %d pieces, predicted %d ms, delay %d ms, dispatched by %s", s.Stage, s.Service, s.Pieces, s.PredictedMS, s.DelayMS, s.DispatcherVM)
		if !s.Known {
			fmt.Fprintln(w, ", which knows its endpoints")
			continue
		}
		fmt.Fprintf(w, ", %d pieces queued\n", s.QueuedPieces)
		writeTable(w, "RANK\tENDPOINT\tDATA CENTRE\tIN FLIGHT\tSLOWDOWN\tHELD BYTES\tEXCLUDED", len(s.Endpoints), func(i int) string { return stageRow(&s.Endpoints[i]) })
	}
	for _, s := range e.Services {
		fmt.Fprintf(w, "\nservice %s, share %.2f, chosen %s\n", s.Service, s.Share, orDash(s.Chosen))
		if s.SelectedBy != "" {
			fmt.Fprintf(w, "VM %s selects for all VMs; the choice above counts if it does not respond\n", s.SelectedBy)
		}
		writeTable(w, "CHANCE\tENDPOINT\tDATA CENTRE\tIN FLIGHT\tREMOTE LOAD\tCACHED\tSLOWNESS\tPREDICTED MS\tNOTE", len(s.Candidates), func(i int) string { return candidateRow(&s.Candidates[i]) })
	}
}

func stageRow(e *piece.EndpointTerms) string {
	rank := "-"
	if e.Available {
		rank = strconv.Itoa(e.Rank)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%.2f\t%d\t%s", rank, e.Endpoint, e.DataCentre, e.InFlight, e.Slowdown, e.HeldBytes, orDash(e.Excluded))
}

func candidateRow(c *route.Terms) string {
	note := c.Excluded
	switch {
	case note != "":
	case c.LastResort != "":
		note = "last resort: " + c.LastResort
	case c.Home:
		note = "home of the prompt"
	}
	return fmt.Sprintf("%.2f\t%s\t%s\t%d\t%d\t%d\t%.2f\t%.1f\t%s", c.Chance, c.Endpoint, c.DataCentre, c.InFlight, c.RemoteLoad, c.CachedTokens, c.Slowness, c.PredictedMS, orDash(note))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
