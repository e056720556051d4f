package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"godwitplank/connection"
	"godwitplank/control"
	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/gateway"
	"godwitplank/piece"
	"godwitplank/platform"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/setting"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

const (
	// routesIdle is how long a caller's idle connection is kept; callers use theirs for less.
	routesIdle = 75 * time.Second
	// controlPatience is shorter than the second after which an operator asks another VM.
	controlPatience = 900 * time.Millisecond
	// memoryShare is the part of the memory limit from which the collector works harder.
	memoryShare = 0.7
	bytesPerMB  = 1 << 20
)

// routes serves the requests of routes.
type routes struct {
	gateway *gateway.Gateway
	maker   *piece.Maker
	broker  *piece.Broker
}

// services gives the maker the endpoints and services of the newest view.
type services struct {
	control *control.Control
}

func (s services) Endpoints(name string) []route.Candidate {
	return s.control.View().Pools[name]
}

func (s services) Service(name string) *document.Service {
	d := s.control.View().Document
	if d == nil {
		return nil
	}
	return d.Service(name)
}

func newRoutes(s *setting.Settings, c *control.Control, meter *telemetry.Meter, log event.Logger) *routes {
	pool := &connection.Pool{Clock: timer.System, Opened: meter.Connection}
	budget := &retry.Budget{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window}
	reach := &route.Reach{}
	maker := piece.NewMaker(services{c}, platform.Pieces{}, pool, budget, reach, timer.System, meter, log)
	broker := piece.NewBroker(s.VM, c, maker, timer.System, log)
	return &routes{
		maker: maker, broker: broker,
		gateway: &gateway.Gateway{
			DataCentre: s.DataCentre, Views: c, Protocol: platform.Requests{}, Pieces: broker, Holder: platform.Pieces{}.Holder,
			Policy:   route.Policies[s.Policy](),
			Prefixes: &route.Prefixes{}, Reach: reach, Budget: budget, Pool: pool, Clock: timer.System, Meter: meter, Log: log,
		},
	}
}

// openFolder opens the data folder, with the replica id of a first voter if this VM is one.
func (d *Daemon) openFolder() error {
	s := d.Settings
	if s.DataDir == "" {
		return nil
	}
	var err error
	if s.Bootstrap && control.IsSeed(s.LinkAddr, s.Join) {
		d.control.Folder, err = disk.OpenAs(s.DataDir, s.VM, control.SeedReplica(s.LinkAddr))
	} else {
		d.control.Folder, err = disk.Open(s.DataDir, s.VM)
	}
	return err
}

// serveOthers starts the servers that the settings name besides the callers', operators' and link addresses.
func (d *Daemon) serveOthers(ctx context.Context, failures chan<- error) error {
	if d.routes != nil {
		d.group.Go(func() { d.routes.maker.Serve(ctx) })
		d.group.Go(func() { d.routes.broker.Serve(ctx) })
	}
	operations := &platform.Control{Operations: d.control, Patience: controlPatience, Log: d.log}
	for _, s := range []struct {
		name    string
		addr    netip.AddrPort
		handler func() http.Handler
	}{
		{"routes_addr", d.Settings.RoutesAddr, func() http.Handler { return d.routes.gateway }},
		{"control_addr", d.Settings.ControlAddr, operations.Handler},
		{"ready_addr", d.Settings.ReadyAddr, func() http.Handler { return platform.Ready(func() bool { return d.control.View().Ready }) }},
		{"metrics_addr", d.Settings.MetricsAddr, func() http.Handler { return metricsOnly(d.meter.Handler()) }},
	} {
		if !s.addr.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", s.addr.String())
		if err != nil {
			return fmt.Errorf("--%s: cannot listen on %s: %w; give a free address of this VM", s.name, s.addr, err)
		}
		server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerWait, IdleTimeout: routesIdle}
		d.servers = append(d.servers, server)
		d.start(failures, func() error { return server.Serve(l) })
	}
	return nil
}

func metricsOnly(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	return mux
}

// limitMemory makes the collector keep the process under its limit.
func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * bytesPerMB))
	}
}
