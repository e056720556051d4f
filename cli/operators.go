package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"godwitplank"
	"godwitplank/console"
	"godwitplank/document"
	"godwitplank/spend"
)

func (t *tool) groupCommand() *cobra.Command {
	group := &cobra.Command{Use: "group", Short: "Create or show the replicated group"}
	var voters string
	create := &cobra.Command{
		Use:     "create",
		Short:   "Create the replicated group; repeating the same call returns the same group",
		Example: "  godwitplank group create --voters vm-a,vm-b,vm-c --server 127.0.0.1:7201 --operator_token_file token",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			names := strings.FieldsFunc(voters, func(r rune) bool { return r == ',' || r == ' ' })
			if len(names) == 0 {
				return usageError("--voters is missing; name an odd number of VMs that have a data folder")
			}
			body, err := json.Marshal(map[string][]string{"voters": names})
			if err != nil {
				return err
			}
			var g console.GroupStatus
			if err := t.call(c.Context(), http.MethodPut, "/v1/group", body, nil, &g); err != nil {
				return err
			}
			return t.print(g, func(w io.Writer) { printGroup(w, &g) })
		},
	}
	create.Flags().StringVar(&voters, "voters", "", "names of the VMs that become voters, such as vm-a,vm-b,vm-c")
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the group's replicas",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s console.Status
			if err := t.call(c.Context(), http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
				return err
			}
			return t.print(s.Group, func(w io.Writer) { printGroup(w, s.Group) })
		},
	}
	group.AddCommand(create, show)
	return group
}

func printGroup(w io.Writer, g *console.GroupStatus) {
	if g == nil {
		fmt.Fprintln(w, "no group exists; create one with group create")
		return
	}
	fmt.Fprintf(w, "group %s, leader %s, repaired %v\n", g.ID, g.LeaderVM, g.Repaired)
	writeTable(w, "VM\tREPLICA\tROLE\tPOSITION", len(g.Replicas), func(i int) string {
		r := g.Replicas[i]
		return fmt.Sprintf("%s\t%s\t%s\t%d", r.VM, r.ReplicaID, r.Role, r.Position)
	})
}

func writeTable(w io.Writer, header string, rows int, row func(i int) string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	for i := range rows {
		fmt.Fprintln(tw, row(i))
	}
	_ = tw.Flush()
}

func (t *tool) documentCommand() *cobra.Command {
	d := &cobra.Command{Use: "document", Short: "Check, submit or show the operators' document"}
	d.AddCommand(t.checkDocumentCommand(), t.submitDocumentCommand(), t.showDocumentCommand(), t.documentStatusCommand())
	return d
}

func (t *tool) checkDocumentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a document without a server; - reads standard input",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := t.readInput(args[0])
			if err != nil {
				return err
			}
			d, err := document.Parse(text)
			if err != nil {
				return err
			}
			_, digest := d.Canonical()
			return t.print(console.SubmitResult{Version: d.Version, Digest: digest}, func(w io.Writer) {
				fmt.Fprintf(w, "version %d is whole, digest %s\n", d.Version, digest)
			})
		},
	}
}

func (t *tool) submitDocumentCommand() *cobra.Command {
	var changeID string
	c := &cobra.Command{
		Use:     "submit FILE",
		Short:   "Submit a document; if no response arrives, submit it again with the same --change_id",
		Example: "  godwitplank document submit document.yaml --server 127.0.0.1:7201 --operator_token_file token",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := t.readInput(args[0])
			if err != nil {
				return err
			}
			if changeID == "" {
				changeID = uuid.NewString()
			}
			var result console.SubmitResult
			err = t.call(c.Context(), http.MethodPut, "/v1/document", text, http.Header{godwitplank.HeaderChangeID: {changeID}}, &result)
			if err != nil {
				return fmt.Errorf("change id %s: %w", changeID, err)
			}
			return t.print(result, func(w io.Writer) { fmt.Fprintf(w, "accepted version %d, digest %s\n", result.Version, result.Digest) })
		},
	}
	c.Flags().StringVar(&changeID, "change_id", "", "UUID that makes repeated submissions idempotent; generated if empty")
	return c
}

func (t *tool) showDocumentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the server's active document as JSON",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var text []byte
			if err := t.call(c.Context(), http.MethodGet, "/v1/document", nil, nil, &text); err != nil {
				return err
			}
			_, err := fmt.Fprintf(t.out, "%s\n", text)
			return err
		},
	}
}

func (t *tool) documentStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state and the active document version of each VM",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s console.Status
			if err := t.call(c.Context(), http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
				return err
			}
			return t.print(s, func(w io.Writer) {
				writeTable(w, "VM\tDATA CENTRE\tROLE\tSTATE\tVERSION", len(s.VMs), func(i int) string {
					v := s.VMs[i]
					return fmt.Sprintf("%s\t%s\t%s\t%s\t%d", v.Name, v.DataCentre, v.Role, v.State, v.DocumentVersion)
				})
			})
		},
	}
}

func (t *tool) endpointsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "endpoints",
		Short: "List the endpoints known to the server",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s console.Status
			if err := t.call(c.Context(), http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
				return err
			}
			return t.print(s.Endpoints, func(w io.Writer) {
				writeTable(w, "ENDPOINT\tPOOL\tDATA CENTRE\tADDRESS\tSTATE\tIN FLIGHT\tCONFLICT", len(s.Endpoints), func(i int) string {
					e := s.Endpoints[i]
					return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s", e.EndpointID, e.Pool, e.DataCentre, e.Address, e.State, e.InFlight, e.Conflict)
				})
			})
		},
	}
}

func (t *tool) spendCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "spend",
		Short: "Show the calls and endpoint time of each workspace by stage",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var totals []spend.Total
			if err := t.call(c.Context(), http.MethodGet, "/v1/spend", nil, nil, &totals); err != nil {
				return err
			}
			return t.print(totals, func(w io.Writer) {
				writeTable(w, "WORKSPACE\tSTAGE\tCALLS\tENDPOINT TIME", len(totals), func(i int) string {
					s := totals[i]
					return fmt.Sprintf("%s\t%s\t%d\t%v", s.Workspace, s.Stage, s.Calls, time.Duration(s.HeldMS)*time.Millisecond)
				})
			})
		},
	}
}

// readInput reads a file, or standard input if path is "-".
func (t *tool) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(t.in)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("%v; give a file that can be read, or - for standard input", err)
	}
	return text, nil
}
