package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/link"
	"godwitplank/spend"
	"godwitplank/timer"
	"godwitplank/vm"
)

// newPopulatedControl returns a Control with a document and the given numbers of directly announced endpoints and VMs.
func newPopulatedControl(b *testing.B, endpoints, vms int) *Control {
	b.Helper()
	c := &Control{Name: "vm-0", DataCentre: "dc-0", Clock: timer.System}
	if err := c.Init(); err != nil {
		b.Fatal(err)
	}
	token := document.SHA256([]byte("token"))
	canonical, digest := (&document.Document{
		Version: 1, EndpointAdmissions: []document.EndpointAdmission{{Pool: "language", Endpoints: []string{"e-*"}, TokenSHA256: token}},
	}).Canonical()
	c.applyDocument(documentChange(canonical, digest))
	for i := range endpoints {
		c.endpoints.Announce(c.Clock.Now(), testEndpoint(i, 1, token), time.Hour)
	}
	for i := range vms {
		c.vms.Merge(c.Clock.Now(), vm.Entry{
			Name: fmt.Sprintf("vm-%d", i+1), Incarnation: 1, DataCentre: "dc-0", LastSeen: c.Clock.Now(), LastReported: c.Clock.Now(),
			LinkAddr: netip.MustParseAddrPort("10.0.0.1:7300"), ReplicaID: "b9f2a3a0-0000-4000-8000-000000000000",
		})
	}
	return c
}

func testEndpoint(i int, sequence uint64, token string) endpoint.Entry {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000)
	return endpoint.Entry{
		Announcement: godwitplank.Announcement{
			EndpointID: fmt.Sprintf("e-%d", i), Incarnation: 1733300000123, Sequence: sequence, Address: addr.String(),
			DataCentre: "dc-0", Pool: "language", Models: []string{"m1", "m2"}, Slots: 8, Load: godwitplank.Load{Running: 3, Queued: 1},
		},
		TokenSHA256: token, Addr: addr,
	}
}

// BenchmarkPublish measures publishing one view, which a VM does at least 10 times a second.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{34, 136, 544, 1900} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c := newPopulatedControl(b, n, 30)
			b.ReportAllocs()
			for b.Loop() {
				c.publish()
			}
		})
	}
}

// BenchmarkAnnounce measures handling one announcement; each endpoint sends one a second.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{34, 136, 1900} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c := newPopulatedControl(b, n, 30)
			token := document.SHA256([]byte("token"))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := c.handleAnnouncement(testEndpoint(i%n, uint64(i/n+2), token)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkExchange measures the time and the size of one reply to another VM, which sends two requests a second.
func BenchmarkExchange(b *testing.B) {
	for _, size := range [][3]int{{5, 7, 0}, {34, 30, 0}, {136, 30, 0}, {5, 420, 0}, {5, 7, 1}, {34, 30, 1}, {136, 30, 1}, {5, 420, 1}} {
		name, since := "full", uint64(0)
		if size[2] == 1 {
			name, since = "renewal", 1<<40
		}
		b.Run(fmt.Sprintf("%s/endpoints=%d/vms=%d", name, size[0], size[1]), func(b *testing.B) {
			c := newPopulatedControl(b, size[0], size[1])
			sender := &link.VM{Name: "vm-1", Incarnation: 1, LinkAddr: "10.0.0.1:7300"}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				reply := c.buildExchangeReply(&link.ExchangeRequest{Sender: sender, ReceiverIncarnation: c.Incarnation, EndpointsSince: since, RenewalsSince: since, OthersSince: since})
				data, err := proto.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

// BenchmarkMergeRelayedEndpoints measures merging another VM's endpoints.
func BenchmarkMergeRelayedEndpoints(b *testing.B) {
	for _, n := range []int{5, 34, 136} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			from, to := newPopulatedControl(b, n, 0), newPopulatedControl(b, 0, 0)
			reply := &link.ExchangeReply{}
			from.addEndpointChanges(from.Clock.Now(), syncRevisions{}, reply)
			b.ReportAllocs()
			for b.Loop() {
				to.endpoints = endpoint.Table{}
				to.mergeRelayedEndpoints(to.Clock.Now(), reply.Endpoints)
			}
		})
	}
}

// BenchmarkSpend measures computing the totals and the encoded size of all counters.
func BenchmarkSpend(b *testing.B) {
	for _, size := range [][3]int{{5, 10, 16}, {500, 10, 8}, {500, 10, 32}} {
		b.Run(fmt.Sprintf("workspaces=%d/stages=%d/incarnations=%d", size[0], size[1], size[2]), func(b *testing.B) {
			c := newPopulatedControl(b, 0, 0)
			for i := range size[0] * size[1] * size[2] {
				c.spendCounters.Merge(spend.Line{
					Key: spend.Key{
						VM: fmt.Sprintf("vm-%d", i%size[2]), Incarnation: 1,
						Workspace: fmt.Sprintf("workspace-%d", i/size[2]%size[0]), Stage: fmt.Sprintf("stage-%d", i/size[2]/size[0]),
					},
					Amount: spend.Amount{Calls: 9, Held: time.Second},
				})
			}
			lines, _ := c.spendCounters.ChangedSince(0)
			data, err := proto.Marshal(&link.SpendLines{Lines: encodeSpend(lines)})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				c.spendCounters.Totals()
			}
			b.ReportMetric(float64(len(data))/float64(len(lines)), "bytes/line")
		})
	}
}
