package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"godwitplank/console"
)

const evacuationsPath = "/v1/evacuations"

func (t *tool) evacuationCommand() *cobra.Command {
	c := &cobra.Command{Use: "evacuation", Short: "Start, end or show evacuations of data centres, whose endpoints get no new work"}
	c.AddCommand(
		t.changeEvacuationCommand("start", "Start an evacuation; repeating the command changes nothing", http.MethodPut),
		t.changeEvacuationCommand("end", "End an evacuation; repeating the command changes nothing", http.MethodDelete),
		t.showEvacuationsCommand(),
	)
	return c
}

func (t *tool) changeEvacuationCommand(name, short, method string) *cobra.Command {
	return &cobra.Command{
		Use:     name + " DATA_CENTRE",
		Short:   short,
		Example: "  godwitplank evacuation " + name + " dc-a --server 127.0.0.1:7201 --operator_token_file token",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			var result console.EvacuationResult
			if err := t.call(c.Context(), method, evacuationsPath+"/"+url.PathEscape(args[0]), nil, nil, &result); err != nil {
				return err
			}
			return t.print(result, func(w io.Writer) {
				if result.Evacuated {
					fmt.Fprintf(w, "%s is evacuated\n", result.DataCentre)
				} else {
					fmt.Fprintf(w, "%s is not evacuated\n", result.DataCentre)
				}
			})
		},
	}
}

func (t *tool) showEvacuationsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "List the evacuated data centres known to the server",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var list console.EvacuationList
			if err := t.call(c.Context(), http.MethodGet, evacuationsPath, nil, nil, &list); err != nil {
				return err
			}
			return t.print(list, func(w io.Writer) {
				fmt.Fprintf(w, "version %d\n", list.Version)
				writeTable(w, "DATA CENTRE\tSINCE", len(list.Evacuations), func(i int) string {
					e := list.Evacuations[i]
					return e.DataCentre + "\t" + e.Since.Format(time.RFC3339)
				})
			})
		},
	}
}
