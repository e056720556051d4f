package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/document"
	"godwitplank/link"
	"godwitplank/timer"
)

const (
	// slowLinkBytes is the bandwidth of a VM with a link of 7.5 Mbit/s, in bytes per second.
	slowLinkBytes = 7_500_000 / 8
	// hubLinkBytes is the bandwidth between hubs with links of 100 Mbit/s.
	hubLinkBytes = 100_000_000 / 8
	// changeTarget is the time in which a change is in force everywhere in the target deployment.
	changeTarget = 12 * time.Second
	// slowLinkChangeTarget is that time in deployments with such links and up to 2,000 routes.
	slowLinkChangeTarget = 2500 * time.Millisecond
)

// narrowLink forwards connections to hubs and limits the bytes from all hubs together.
type narrowLink struct {
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
	ctx    context.Context
	group  sync.WaitGroup
}

func newNarrowLink(t *testing.T, bytesPerSecond int) *narrowLink {
	ctx, cancel := context.WithCancel(context.Background())
	l := &narrowLink{bytesPerSecond: bytesPerSecond, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		l.group.Wait()
	})
	return l
}

// reserve waits until the link has carried n more bytes.
func (l *narrowLink) reserve(n int) {
	l.mu.Lock()
	l.freeAt = later(l.freeAt, time.Now()).Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// to returns an address that forwards to a hub.
func (l *narrowLink) to(t *testing.T, hub netip.AddrPort) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(l.ctx, func() { _ = listener.Close() })
	l.group.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", hub.String())
			if err != nil {
				_ = near.Close()
				continue
			}
			closeBoth := func() { _, _ = near.Close(), far.Close() }
			context.AfterFunc(l.ctx, closeBoth)
			l.group.Go(func() { defer closeBoth(); _, _ = io.Copy(far, near) })
			l.group.Go(func() { defer closeBoth(); l.copyLimited(near, far) })
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (l *narrowLink) copyLimited(near, far net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := far.Read(buffer)
		l.reserve(n)
		if _, writeErr := near.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// startEntryVM starts a VM without a disk that reaches the voters over one narrow link.
func startEntryVM(t *testing.T, voters []*voter) *Control {
	t.Helper()
	narrow := newNarrowLink(t, slowLinkBytes)
	c := &Control{Name: "vm-entry", DataCentre: "dc-a", HubsOnly: true, EvacuationsOptional: true, Clock: timer.System}
	for _, v := range voters {
		c.Join = append(c.Join, narrow.to(t, v.addr))
	}
	if err := c.Init(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

// submitLarge submits a document that is also its own source.
func submitLarge(t *testing.T, v *voter, d *document.Document) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	source, _ := d.Canonical()
	if err := v.SubmitIfNewer(ctx, d, source); err != nil {
		t.Fatal(err)
	}
}

// documentOfTarget returns a document with the workspaces of the target deployment.
func documentOfTarget() *document.Document {
	d := &document.Document{Version: 1}
	for i := range 15_000 {
		name := fmt.Sprintf("workspace-%d", i)
		d.Workspaces = append(d.Workspaces, document.Workspace{
			Name: name, Unlimited: true, KeysSHA256: []string{document.SHA256([]byte(name)), document.SHA256([]byte(name + "'"))},
		})
	}
	return d
}

// documentOfRoutes returns a document with many routes.
func documentOfRoutes(n int) *document.Document {
	d := &document.Document{Version: 1, Services: []document.Service{{Name: "service-a"}, {Name: "service-b"}}}
	for i := range n {
		name := document.SHA256([]byte{byte(i), byte(i >> 8)})
		d.Routes = append(d.Routes, document.Route{
			Name: name[:10], Host: name[10:20] + ".example", PathPrefix: "/" + name[20:30] + "/", Kind: document.Repeatable,
			TimeoutMS: 2000, Services: []document.WeightedService{{Service: "service-a", Weight: 1}},
		})
	}
	return d
}

// A document that takes longer to transfer than an exchange may take never arrived.
func TestTargetDocumentArrivesOverSlowLink(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	leader, _ := waitForLeader(t, voters)
	entry := startEntryVM(t, voters)
	d := documentOfTarget()
	for version := range uint64(3) {
		d.Version = version + 1
		d.Workspaces[version].Priority = 2
		submitLarge(t, leader, d)
		acknowledged := time.Now()
		for entry.View().DocumentVersion() < d.Version && time.Since(acknowledged) < changeTarget {
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(entry.View().DocumentVersion(), d.Version)
		t.Logf("version %d in force after %v", d.Version, time.Since(acknowledged))
		_, digest := d.Canonical()
		is.Equal(entry.View().Digest, digest)
	}
}

// A document that was replaced during its transfer kept a VM at an old version for as long as changes went on.
func TestQuickChangesArriveOverSlowLink(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	leader, _ := waitForLeader(t, voters)
	entry := startEntryVM(t, voters)
	d := documentOfRoutes(2000)
	type acknowledgement struct {
		version uint64
		at      time.Time
	}
	var acknowledged []acknowledgement
	active, activations := uint64(0), 0
	observe := func(until time.Time) {
		for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			now, version := time.Now(), entry.View().DocumentVersion()
			is.True(version >= active) // a document was replaced by an older one
			if version > active {
				active, activations = version, activations+1
			}
			for _, a := range acknowledged {
				if now.Sub(a.at) > slowLinkChangeTarget && version < a.version {
					t.Fatalf("version %d is in force %v after version %d was acknowledged", version, now.Sub(a.at), a.version)
				}
			}
		}
	}
	const changes, interval = 12, 330 * time.Millisecond
	for i := range changes {
		next := time.Now().Add(interval)
		d.Version = uint64(i + 1)
		d.Routes[7*i].Services[0].Service = "service-b"
		submitLarge(t, leader, d)
		acknowledged = append(acknowledged, acknowledgement{d.Version, time.Now()})
		observe(next)
	}
	observe(time.Now().Add(slowLinkChangeTarget + interval))
	is.Equal(active, uint64(changes))
	is.True(activations >= changes/3) // changes come into force while others follow
	is.Equal(entry.View().Document.Routes[7*(changes-1)].Services[0].Service, "service-b")
}

// A hub that can't send its document kept a VM from the document of the others.
func TestTransferContinuesAtAnotherHub(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	leader, _ := waitForLeader(t, voters)
	entry := startEntryVM(t, voters)
	// The hubs with faults are those that are asked first.
	byAddr := make(map[netip.AddrPort]*voter)
	for i, addr := range entry.Join {
		byAddr[addr] = voters[i]
	}
	addrs := slices.SortedFunc(slices.Values(entry.Join), netip.AddrPort.Compare)
	d := documentOfRoutes(100)
	for i, c := range []struct {
		name  string
		hubs  int // number of hubs with the fault
		fault func(stream grpc.ServerStream) error
	}{
		{"no fault", 0, nil},
		{"stalls", 2, func(stream grpc.ServerStream) error {
			<-stream.Context().Done()
			return nil
		}},
		{"stalls after the first part", 2, func(stream grpc.ServerStream) error {
			err := stream.SendMsg(&link.DocumentPart{Version: 9, TotalBytes: 1 << 20, Data: make([]byte, 1<<10)})
			<-stream.Context().Done()
			return err
		}},
		{"damaged", 2, func(stream grpc.ServerStream) error {
			return stream.SendMsg(&link.DocumentPart{Data: []byte("damaged")})
		}},
		{"too large", 2, func(stream grpc.ServerStream) error { return stream.SendMsg(&link.DocumentPart{TotalBytes: 1 << 40}) }},
		{"breaks off", 2, func(grpc.ServerStream) error { return status.Error(codes.Internal, "broken") }},
		{"an earlier build", 3, func(grpc.ServerStream) error { return status.Error(codes.Unimplemented, "unknown method") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, addr := range addrs[:c.hubs] {
				byAddr[addr].transferFault.Store(&c.fault)
			}
			d.Version = uint64(i + 1)
			submitLarge(t, leader, d)
			waitUntil(t, "the document", func() bool { return entry.View().DocumentVersion() == d.Version })
			for _, v := range voters {
				v.transferFault.Store(nil)
			}
		})
	}
	is.Equal(entry.View().NewestVersion(), d.Version)
}

// narrowListener limits what a hub receives from all other VMs together.
type narrowListener struct {
	net.Listener

	link *narrowLink
}

func (l narrowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return narrowConn{conn, l.link}, err
}

type narrowConn struct {
	net.Conn

	link *narrowLink
}

func (c narrowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 16<<10)])
	c.link.reserve(n)
	return n, err
}

// A document that takes longer to reach the voters than one of their calls may take was never accepted.
func TestTargetDocumentIsCommittedOverSlowLinks(t *testing.T) {
	is := is.New(t)
	voters := startVotersOn(t, func(l net.Listener) net.Listener { return narrowListener{l, newNarrowLink(t, hubLinkBytes)} })
	leader, others := waitForLeader(t, voters)
	d := documentOfTarget()
	for i, v := range []*voter{leader, others[0]} {
		d.Version = uint64(i + 1)
		started := time.Now()
		submitLarge(t, v, d)
		t.Logf("version %d accepted after %v", d.Version, time.Since(started))
		is.True(time.Since(started) < changeTarget)
	}
}

// A reply with the state of all endpoints that takes longer than an exchange may take never arrived.
func TestAllEndpointsArriveOverSlowLink(t *testing.T) {
	is := is.New(t)
	voters := startVoters(t)
	waitForLeader(t, voters)
	for _, v := range voters {
		is.NoErr(v.do(context.Background(), func() {
			for i := range 1900 {
				v.endpoints.Announce(v.Clock.Now(), testEndpoint(i, 1, "digest"), time.Minute)
			}
		}))
	}
	entry := startEntryVM(t, voters)
	started := time.Now()
	waitUntil(t, "all endpoints", func() bool { return len(entry.View().Endpoints) == 1900 })
	t.Logf("after %v", time.Since(started))
}
