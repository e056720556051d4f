package control

import (
	"testing"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/link"
	"godwitplank/state"
	"godwitplank/timer"
	"godwitplank/vm"
)

// documentOfVersion returns an empty document of a version in its replicated form.
func documentOfVersion(t *testing.T, version uint64) *state.DocumentChange {
	t.Helper()
	return documentChange((&document.Document{Version: version}).Canonical())
}

func documentChange(canonical []byte, digest string) *state.DocumentChange {
	parsed, err := document.ParseCanonical(canonical)
	if err != nil {
		panic(err)
	}
	return &state.DocumentChange{Version: parsed.Version, Canonical: canonical, Digest: digest}
}

// The active document is never replaced by an older one.
func TestDocumentNeverReverts(t *testing.T) {
	is := is.New(t)
	c := &Control{Name: "vm-a", Clock: timer.System}
	is.NoErr(c.Init())
	for _, version := range []uint64{3, 2, 5, 1, 4} {
		c.applyDocument(documentOfVersion(t, version))
	}
	is.Equal(c.document.Version, uint64(5))
	c.applyDocument(nil)
	is.Equal(c.document.Version, uint64(5))
	c.publish()
	is.Equal(c.View().Document.Version, uint64(5))
}

// newControl returns an initialized Control whose loop does not run.
func newControl(t *testing.T, name string, incarnation uint64) *Control {
	t.Helper()
	c := &Control{Name: name, Incarnation: incarnation, DataCentre: "dc-a", Clock: timer.System}
	if err := c.Init(); err != nil {
		t.Fatal(err)
	}
	return c
}

// runExchange runs one state exchange between two VMs without a network.
func runExchange(from, to *Control, p *peer) *link.ExchangeReply {
	sentAt := from.Clock.Now()
	reply := to.buildExchangeReply(newExchangeRequest(from, p))
	p.crashesSentAt = sentAt
	from.handleExchangeReply(p, sentAt, reply)
	return reply
}

func newExchangeRequest(from *Control, p *peer) *link.ExchangeRequest {
	request := &link.ExchangeRequest{
		Sender: from.describeSelf(), ReceiverIncarnation: p.synced.incarnation,
		SpendSince: p.synced.spend, EndpointsSince: p.synced.endpoints, RenewalsSince: p.synced.renewals, OthersSince: p.synced.others,
		LimitsSince: p.synced.limits, Paces: from.pacesSince(p.pacesSentAt),
	}
	from.recordStatedLimits()
	request.Limits, _ = from.limitsSince(p.sentLimitsRevision)
	request.Departures = from.departures()
	request.EvacuationVersion = from.evacuations.set.Version
	from.addCrashEvidence(from.Clock.Now(), p, request)
	return request
}

// Replies carry an endpoint's full announcement once and renewals after that. They carry the full announcement again if
// it changed, the requesting VM lost it or the replying VM restarted.
func TestExchangeSendsOnlyChanges(t *testing.T) {
	is := is.New(t)
	a, b, p := newControl(t, "vm-a", 1), newControl(t, "vm-b", 1), &peer{}
	announce := func(c *Control, sequence uint64, leaving bool) {
		e := testEndpoint(1, sequence, "digest")
		e.Leaving = leaving
		c.endpoints.Announce(c.Clock.Now(), e, godwitplank.LeaseDuration)
	}
	announce(b, 1, false)
	is.Equal(len(runExchange(a, b, p).Endpoints), 1)
	announce(b, 2, false)
	reply := runExchange(a, b, p)
	is.Equal(len(reply.Endpoints), 0)
	is.Equal(len(reply.Renewals), 1)
	is.Equal(a.endpoints.Find("e-1").Sequence, uint64(2))

	announce(b, 3, true) // the flag leaving is sent with a full announcement
	is.Equal(len(runExchange(a, b, p).Endpoints), 1)
	is.True(a.endpoints.Find("e-1").Leaving)
	announce(b, 4, false) // the flag stays set through renewals
	runExchange(a, b, p)
	is.True(a.endpoints.Find("e-1").Leaving)

	a.endpoints = endpoint.Table{} // the requesting VM lost the endpoint, and learns it from the next renewal
	is.Equal(len(runExchange(a, b, p).Renewals), 0)
	announce(b, 5, false)
	is.Equal(len(runExchange(a, b, p).Renewals), 1)
	is.Equal(a.endpoints.Find("e-1"), nil)
	is.Equal(len(runExchange(a, b, p).Endpoints), 1)
	is.True(a.endpoints.Find("e-1").Leaving)

	b = newControl(t, "vm-b", 2) // the replying VM restarted
	announce(b, 9, false)
	is.Equal(len(runExchange(a, b, p).Endpoints), 1)
}

// A VM that announced its stop and is gone holds no share. A lost VM does, since it may still use its minimum share.
func TestShareHolders(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	now := c.Clock.Now()
	longAgo := now.Add(-10 * vm.AliveTimeout)
	for _, e := range []vm.Entry{
		{Name: "working", LastSeen: now},
		{Name: "stopping", LastSeen: now, Stopping: true},
		{Name: "stopped", LastSeen: longAgo, Stopping: true},
		{Name: "lost", LastSeen: longAgo},
	} {
		c.vms.Merge(now, e)
	}
	is.Equal(c.shareHolders(), []string{"vm-a", "lost", "stopping", "working"})
}

// A VM with a data folder restarts with its active document, also if that document is not in its Raft log.
func TestDocumentSurvivesRestart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for _, version := range []uint64{5, 1} {
		folder, err := disk.Open(dir, "vm-a")
		is.NoErr(err)
		c := &Control{Name: "vm-a", Clock: timer.System, Folder: folder}
		is.NoErr(c.Init())
		c.applyDocument(documentOfVersion(t, version))
		is.Equal(c.document.Version, uint64(5))
	}
}

// registered returns the table entry of an endpoint that announces itself.
func registered(t *testing.T, a godwitplank.Announcement) endpoint.Entry {
	t.Helper()
	addr, err := endpoint.Check(&a)
	if err != nil {
		t.Fatal(err)
	}
	return endpoint.Entry{Announcement: a, Addr: addr, Source: endpoint.Direct, OfService: true}
}
