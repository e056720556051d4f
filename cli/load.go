package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"godwitplank/console"
	"godwitplank/load"
	"godwitplank/timer"
)

// counterSyncDelay is how long the VMs need to exchange their spend counters after the last call.
const counterSyncDelay = 1500 * time.Millisecond

func (t *tool) loadCommand() *cobra.Command {
	var addrList, outPath, baselinePath string
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Generate load from a description and print deadline attainment, cost per stage and latencies",
		Long: "Generate load from a description and print deadline attainment, cost per stage and latencies.\n" +
			"With --server, the cost and the number of stage calls are read from the VMs, and the addresses if none is given.",
		Example: "  godwitplank load load.yaml --server 127.0.0.1:7201 --operator_token_file token --out after.json --against before.json",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := t.readInput(args[0])
			if err != nil {
				return err
			}
			d, err := load.Parse(text)
			if err != nil {
				return usageError("%v", err)
			}
			for _, a := range strings.FieldsFunc(addrList, func(r rune) bool { return r == ',' }) {
				addr, err := netip.ParseAddrPort(a)
				if err != nil {
					return usageError("--callers: %q is not an address; give ip:port,ip:port", a)
				}
				d.Addrs = append(d.Addrs, addr)
			}
			result, err := t.runLoad(c.Context(), c.ErrOrStderr(), d)
			if err != nil {
				return err
			}
			return t.printLoad(result, outPath, baselinePath)
		},
	}
	c.Flags().StringVar(&addrList, "callers", "", "addresses on which VMs accept requests, ip:port,ip:port; added to those of the description")
	c.Flags().StringVar(&outPath, "out", "", "file to write the result to as JSON")
	c.Flags().StringVar(&baselinePath, "against", "", "result file of an earlier run to compare with")
	return c
}

// runLoad sends the load. With --server it also adds what the VMs counted during the run to the result.
func (t *tool) runLoad(ctx context.Context, progress io.Writer, d *load.Description) (*load.Result, error) {
	var vms []console.VMStatus
	if t.server != "" {
		var s console.Status
		if err := t.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
			return nil, err
		}
		vms = workingVMs(s.VMs)
	}
	if len(d.Addrs) == 0 {
		for _, v := range vms {
			addr, err := netip.ParseAddrPort(v.CallersAddr)
			if err != nil {
				return nil, err
			}
			d.Addrs = append(d.Addrs, addr)
		}
	}
	before, err := t.readCounters(ctx, vms)
	if err != nil {
		return nil, err
	}
	r := &load.Runner{Description: d, Clock: timer.System, Progress: func(sent, finished int64) {
		fmt.Fprintf(progress, "sent %d, finished %d\n", sent, finished)
	}}
	result, err := r.Run(ctx)
	if err != nil || t.server == "" {
		return result, err
	}
	if err := timer.Wait(ctx, counterSyncDelay); err != nil {
		return nil, err
	}
	after, err := t.readCounters(ctx, vms)
	if err != nil {
		return nil, err
	}
	result.SetUsage(before, after)
	return result, nil
}

// workingVMs returns the VMs that are alive and not stopping.
func workingVMs(vms []console.VMStatus) []console.VMStatus {
	var out []console.VMStatus
	for _, v := range vms {
		if v.State == "working" {
			out = append(out, v)
		}
	}
	return out
}

// readCounters reads the VMs' current spend and metrics. Without --server there are none.
func (t *tool) readCounters(ctx context.Context, vms []console.VMStatus) (*load.Counters, error) {
	c := &load.Counters{}
	if t.server == "" {
		return c, nil
	}
	if err := t.call(ctx, http.MethodGet, "/v1/spend", nil, nil, &c.Spend); err != nil {
		return nil, err
	}
	for _, v := range vms {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.OperatorsAddr+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		var text []byte
		if err := send(r, &text); err != nil {
			return nil, err
		}
		if err := c.ReadMetrics(strings.NewReader(string(text))); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// printLoad prints the result beside the one in baselinePath, if given, and writes it to outPath, if given.
func (t *tool) printLoad(result *load.Result, outPath, baselinePath string) error {
	if outPath != "" {
		text, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(outPath, append(text, '\n'), 0o640); err != nil {
			return err
		}
	}
	var baseline *load.Result
	if baselinePath != "" {
		text, err := os.ReadFile(baselinePath)
		if err != nil {
			return usageError("--against: %v; give a file written by --out", err)
		}
		baseline = &load.Result{}
		if err := json.Unmarshal(text, baseline); err != nil {
			return usageError("--against: %v; give a file written by --out", err)
		}
	}
	return t.print(result, func(w io.Writer) { result.Print(w, baseline) })
}
