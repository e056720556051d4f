package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"godwitplank/connection"
	"godwitplank/control"
	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/gateway"
	"godwitplank/piece"
	"godwitplank/placement"
	"godwitplank/platform"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/setting"
	"godwitplank/stop"
	"godwitplank/telemetry"
	"godwitplank/timer"
)

const (
	// idleTimeout closes an idle connection of a probe or of a reader of the metrics.
	idleTimeout = 75 * time.Second
	// controlTimeout is shorter than the second after which an operator tries another VM.
	controlTimeout = 900 * time.Millisecond
	// heapShare is the share of the process's memory limit that is set as Go's soft memory limit, above which the garbage
	// collector works harder.
	heapShare  = 0.7
	bytesPerMB = 1 << 20
)

// routeServer holds the components that serve requests of routes.
type routeServer struct {
	gateway    *gateway.Gateway
	dispatcher *piece.Dispatcher
	broker     *piece.Broker
	placements *placement.Broker
}

// viewServices looks up services and their endpoints in the newest control view.
type viewServices struct {
	control *control.Control
}

func (s viewServices) Endpoints(name string) []route.Candidate {
	return s.control.View().Pools[name]
}

// Holders includes the endpoints of evacuated data centres.
func (s viewServices) Holders(name string) []route.Candidate {
	v := s.control.View()
	if len(v.Evacuated[name]) == 0 {
		return v.Pools[name]
	}
	return slices.Concat(v.Pools[name], v.Evacuated[name])
}

func (s viewServices) Service(name string) *document.Service {
	d := s.control.View().Document
	if d == nil {
		return nil
	}
	return d.Service(name)
}

func (s viewServices) Document() *document.Document {
	return s.control.View().Document
}

func newRouteServer(s *setting.Settings, c *control.Control, schedule *stop.Schedule, meter *telemetry.Meter, log event.Logger) *routeServer {
	pool := &connection.Pool{Clock: timer.System, OnOpen: meter.RecordConnection}
	budget := &retry.Budget{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window}
	reachability := &route.Reachability{}
	dispatcher := piece.NewDispatcher(viewServices{c}, platform.PieceProtocol{}, pool, budget, reachability, timer.System, meter, log)
	dispatcher.Overload = piece.OverloadPolicy(s.OverloadPolicy)
	broker := piece.NewBroker(s.VM, c, dispatcher, timer.System, log)
	tight := &document.TightServices{Limit: s.TightObjective}
	dispatcher.Tight = func(service string) bool { return tight.Contains(c.View().Document, service) }
	placements := placement.NewBroker(s.VM, tight, c, viewServices{c}, reachability, timer.System, meter, log)
	return &routeServer{
		dispatcher: dispatcher, broker: broker, placements: placements,
		gateway: &gateway.Gateway{
			DataCentre: s.DataCentre, Views: c, Protocol: platform.RequestProtocol{}, Pieces: broker, ResultAddr: platform.PieceProtocol{}.HolderAddr,
			Policy:   route.Policies[s.Policy](),
			Prefixes: &route.PrefixIndex{}, Reach: reachability, Crashes: c.Crashes, Budget: budget, Pool: pool, Placements: placements, Stop: schedule, Clock: timer.System, Meter: meter, Log: log,
			Overload: dispatcher.Overload, Tight: tight, Forecasts: broker,
		},
	}
}

// openDataFolder opens the data folder. If this VM is one of the voters that bootstrap the group, a new folder gets the
// replica id that is derived from the link address; else it gets a random one.
func (d *Daemon) openDataFolder() error {
	s := d.Settings
	if s.DataDir == "" {
		return nil
	}
	var err error
	if s.Bootstrap && control.IsSeed(s.LinkAddr, s.Join) {
		d.control.Folder, err = disk.OpenWithReplicaID(s.DataDir, s.VM, control.SeedReplicaID(s.LinkAddr))
	} else {
		d.control.Folder, err = disk.Open(s.DataDir, s.VM)
	}
	return err
}

// serveOptional starts piece dispatch and the servers for those of the optional addresses that are set.
func (d *Daemon) serveOptional(ctx context.Context, failures chan<- error) error {
	if d.routes != nil {
		d.wg.Go(func() { d.routes.dispatcher.Serve(ctx) })
		d.wg.Go(func() { d.routes.broker.Serve(ctx) })
		d.wg.Go(func() { d.routes.placements.Serve(ctx) })
	}
	operations := &platform.Control{Operations: d.control, Timeout: controlTimeout, Log: d.log}
	for _, s := range []struct {
		name    string
		addr    netip.AddrPort
		handler func() http.Handler
		// guarded is true for addresses that callers reach; headLimit is the largest head there, 0 for the default.
		guarded   bool
		headLimit func() int
	}{
		{"routes_addr", d.Settings.RoutesAddr, func() http.Handler { return d.routes.gateway }, true, d.headLimit},
		{"control_addr", d.Settings.ControlAddr, operations.Handler, true, noHeadLimit},
		{"ready_addr", d.Settings.ReadyAddr, func() http.Handler { return platform.ReadyHandler(func() bool { return d.control.View().Ready }) }, false, nil},
		{"metrics_addr", d.Settings.MetricsAddr, func() http.Handler { return metricsOnly(d.meter.Handler()) }, false, nil},
	} {
		if !s.addr.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", s.addr.String())
		if err != nil {
			return fmt.Errorf("--%s: cannot listen on %s: %w; use a free address of this VM", s.name, s.addr, err)
		}
		server := &http.Server{Handler: d.notice.wrap(s.handler()), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		if s.guarded {
			d.guard.Configure(server)
			l = d.guard.Listen(l, s.headLimit)
		}
		d.optionalServers = append(d.optionalServers, server)
		d.start(failures, func() error { return server.Serve(l) })
	}
	return nil
}

func metricsOnly(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	return mux
}

// setMemoryLimit sets Go's soft memory limit, so that the garbage collector keeps the process under its limit of mb MB.
func setMemoryLimit(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mb) * bytesPerMB))
	}
}
