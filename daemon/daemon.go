// Package daemon assembles the components of one VM and runs its servers until it stops.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"godwitplank/caller"
	"godwitplank/console"
	"godwitplank/control"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/gateway"
	"godwitplank/link"
	"godwitplank/pipeline"
	"godwitplank/route"
	"godwitplank/setting"
	"godwitplank/spend"
	"godwitplank/stage"
	"godwitplank/stop"
	"godwitplank/telemetry"
	"godwitplank/timer"
	"godwitplank/workspace"
)

const (
	// viewPollInterval is how often the control view is checked for readiness and for a planned stop.
	viewPollInterval  = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	// linkBufferBytes is the size of the read buffer of a connection from another VM; a control VM has one for each.
	linkBufferBytes = 4 << 10
)

// Addresses is the content of the addresses file: the bound addresses after port 0 was resolved.
type Addresses struct {
	VM            string         `json:"vm"`
	CallersAddr   netip.AddrPort `json:"callers_addr"`
	OperatorsAddr netip.AddrPort `json:"operators_addr"`
	LinkAddr      netip.AddrPort `json:"link_addr"`
}

// Daemon runs one VM. Set the exported fields, then call Run.
type Daemon struct {
	Settings  *setting.Settings
	LogOutput io.Writer // output of the JSON log

	// ReloadSettings returns the settings from their present sources. If it is nil, the settings cannot be reloaded.
	ReloadSettings func() (*setting.Settings, error)

	log             event.Logger
	output          *event.Queue
	meter           *telemetry.Meter
	optionalServers []*http.Server
	notice          stopNotice
	stop            stop.Schedule
	control         *control.Control
	guard           *caller.Guard
	routes          *routeServer
	entry           *entry.Server
	runner          *pipeline.Runner
	callers         *http.Server
	operators       *http.Server
	link            *grpc.Server
	wg              sync.WaitGroup
}

// Run serves until ctx ends, SIGTERM or SIGINT arrives, or a planned stop of this VM is due, and then drains
// requests in flight. It returns nil after such a stop, and an error if a component fails.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopNotify()
	s := d.Settings
	incarnation := uint64(timer.System.Now().UnixNano())
	d.output = event.NewQueue(d.LogOutput)
	defer d.output.Close()
	d.log = event.NewLogger(d.output, s.LogLevel, s.VM)
	setMemoryLimit(s.MemoryMB)
	if s.TraceFile != "" {
		closeTrace, err := telemetry.WriteTraces(s.TraceFile)
		if err != nil {
			return fmt.Errorf("--trace_file: %w; use a writable file", err)
		}
		defer func() { _ = closeTrace(context.Background()) }()
	}
	if s.ProfileFile != "" {
		stopProfile, err := telemetry.WriteProfile(s.ProfileFile + "." + s.VM)
		if err != nil {
			return fmt.Errorf("--profile_file: %w; use a writable file", err)
		}
		defer stopProfile()
	}
	listeners, bound, err := listen(s)
	if err != nil {
		return err
	}
	if err := d.build(bound, incarnation); err != nil {
		return err
	}
	d.log.Log(event.Started, "callers_addr", bound.CallersAddr, "operators_addr", bound.OperatorsAddr, "link_addr", bound.LinkAddr, "incarnation", incarnation)
	for _, warning := range s.Warnings {
		d.log.Log(event.SettingClamped, "reason", warning)
	}
	return d.serve(ctx, listeners, bound)
}

func listen(s *setting.Settings) ([3]net.Listener, Addresses, error) {
	var listeners [3]net.Listener
	var bound [3]netip.AddrPort
	for i, addr := range []netip.AddrPort{s.CallersAddr, s.OperatorsAddr, s.LinkAddr} {
		if !addr.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return listeners, Addresses{}, fmt.Errorf("cannot listen on %s: %w; use a free address of this VM", addr, err)
		}
		listeners[i] = l
		bound[i] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return listeners, Addresses{s.VM, bound[0], bound[1], bound[2]}, nil
}

func (d *Daemon) build(bound Addresses, incarnation uint64) error {
	s := d.Settings
	limiter := &workspace.Limiter{Started: timer.System.Now()}
	tally := &spend.Tally{}
	meter, err := telemetry.NewMeter()
	if err != nil {
		return err
	}
	d.control = &control.Control{
		Limiter: limiter, Tally: tally, Meter: meter,
		Name: s.VM, DataCentre: s.DataCentre, DataCentres: s.DataCentres, EvacuationsOptional: s.EvacuateWithin == 0, Incarnation: incarnation,
		LinkAddr: bound.LinkAddr, OperatorsAddr: bound.OperatorsAddr, CallersAddr: bound.CallersAddr,
		Join: s.Join, Discover: s.Discover, HubsOnly: s.HubsOnly, Capacity: s.Capacity, ColdExcess: s.Cold.Excess, ColdSlack: s.Cold.Slack, Bootstrap: s.Bootstrap, SpareAfter: s.SpareAfter, DiskLosses: s.DiskLosses, Clock: timer.System, Log: d.log,
	}
	if err := d.openDataFolder(); err != nil {
		return err
	}
	if err := d.control.Init(); err != nil {
		return err
	}
	d.meter = meter
	d.guard = newGuard(s, d.log)
	d.runner = &pipeline.Runner{
		VM: s.VM, Incarnation: incarnation, DataCentre: s.DataCentre,
		Pools:  pipeline.PoolsFunc(func(name string) []route.Candidate { return d.control.View().Pools[name] }),
		Policy: route.Policies[s.Policy](), Ledger: d.control, Client: stage.NewClient(), Stop: &d.stop,
		Clock: timer.System, Meter: meter, Log: d.log, OnSpend: tally.Add,
	}
	if s.RoutesAddr.IsValid() {
		d.routes = newRouteServer(s, d.control, &d.stop, meter, d.log)
		d.routes.dispatcher.Memory = newJobBudget(d.guard.Budget)
		d.control.Pieces, d.control.Placements = d.routes.broker, d.routes.placements
	}
	d.entry = &entry.Server{
		Views: d.control, Announcer: d.control, Runner: d.runner, Limiter: limiter,
		Clock: timer.System, Meter: meter, Log: d.log,
	}
	if err := meter.AddGauges(d.gauges()...); err != nil {
		return err
	}
	operators := &console.Console{
		Name: s.VM, DataCentre: s.DataCentre, OperatorsAddr: bound.OperatorsAddr, CallersAddr: bound.CallersAddr,
		Views: d.control, Operations: d.control, Metrics: meter.Handler(), Token: s.OperatorToken, Log: d.log,
	}
	if d.routes != nil {
		operators.Explainer = &gateway.Explainer{Gateway: d.routes.gateway, Broker: d.routes.broker, Policy: s.Policy}
	}
	d.callers = &http.Server{Handler: d.notice.wrap(d.entry.Handler())}
	d.guard.Configure(d.callers)
	d.operators = &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	d.link = grpc.NewServer(append(telemetry.ServerTracing(),
		grpc.ReadBufferSize(linkBufferBytes), grpc.SharedWriteBuffer(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: control.MinKeepaliveInterval, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(control.MaxMessageBytes), grpc.MaxSendMsgSize(control.MaxMessageBytes),
	)...)
	link.RegisterLinkServer(d.link, d.control)
	return nil
}

func (d *Daemon) serve(ctx context.Context, listeners [3]net.Listener, bound Addresses) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	failures := make(chan error, 4)
	d.start(failures, func() error { return d.control.Run(controlCtx) })
	if listeners[0] != nil {
		d.start(failures, func() error { return d.callers.Serve(d.guard.Listen(listeners[0], noHeadLimit)) })
	}
	if err := d.serveOptional(controlCtx, failures); err != nil {
		return err
	}
	d.start(failures, func() error { return d.operators.Serve(listeners[1]) })
	d.start(failures, func() error { return d.link.Serve(listeners[2]) })
	if err := writeAddresses(d.Settings.AddressesFile, bound); err != nil {
		return err
	}
	reason, err := d.wait(ctx, failures)
	if err != nil {
		return err
	}
	d.log.Log(event.StopStarted, "reason", reason)
	d.drain()
	stopControl()
	d.link.Stop()
	_ = d.operators.Close()
	d.wg.Wait()
	inFlight := d.entry.InFlight()
	if d.routes != nil {
		inFlight += d.routes.gateway.InFlight()
	}
	d.log.Log(event.Stopped, "in_flight", inFlight)
	return nil
}

// start runs a component in a goroutine and reports its error. The error of a server that was shut down is ignored.
func (d *Daemon) start(failures chan<- error, run func() error) {
	d.wg.Go(func() {
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failures <- err
		}
	})
}

// wait blocks until the VM has to stop, and returns the reason or the error of a failed component. Until then it
// reloads the settings and logs readiness.
func (d *Daemon) wait(ctx context.Context, failures <-chan error) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := timer.Subscribe(ctx, viewPollInterval)
	ready := false
	reload := d.watchSettings(ctx)
	for {
		select {
		case <-ctx.Done():
			return "signal", nil
		case err := <-failures:
			return "", err
		case reason := <-reload:
			d.reload(ctx, reason)
		case now := <-ticks:
			v := d.control.View()
			if v.Ready && !ready {
				ready = true
				d.log.Log(event.Ready, "document_version", v.Document.Version)
			}
			if !v.StopAt.IsZero() && !now.Before(v.StopAt) {
				return "planned_stop", nil
			}
		}
	}
}

func writeAddresses(path string, a Addresses) error {
	if path == "" {
		return nil
	}
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", append(text, '\n'), 0o640); err != nil {
		return fmt.Errorf("--addresses_file: %w; use a writable file", err)
	}
	return os.Rename(path+".new", path)
}
