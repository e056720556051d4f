package control

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"godwitplank"
	"godwitplank/fault"
	"godwitplank/link"
)

// One odd announcement among those of the endpoints is refused; the VMs keep following the list.
func TestOddAnnouncementStopsNoVM(t *testing.T) {
	odd := map[string]func(a *godwitplank.Announcement){
		"id is not UTF-8":               func(a *godwitplank.Announcement) { a.EndpointID = "i-\xff" },
		"id with a header":              func(a *godwitplank.Announcement) { a.EndpointID = "i-9\r\nX: y" },
		"id of 100 KB":                  func(a *godwitplank.Announcement) { a.EndpointID = strings.Repeat("i", 100<<10) },
		"pool is not UTF-8":             func(a *godwitplank.Announcement) { a.Pool = "s\xff" },
		"port 0":                        func(a *godwitplank.Announcement) { a.Address = "10.0.0.9:0" },
		"port out of range":             func(a *godwitplank.Announcement) { a.Address = "10.0.0.9:70000" },
		"no address of a machine":       func(a *godwitplank.Announcement) { a.Address = "0.0.0.0:80" },
		"negative slots":                func(a *godwitplank.Announcement) { a.Slots = -1 },
		"slots too large":               func(a *godwitplank.Announcement) { a.Slots = math.MaxInt64 },
		"sequence too large":            func(a *godwitplank.Announcement) { a.EndpointID, a.Sequence = "good", math.MaxUint64 },
		"incarnation too large":         func(a *godwitplank.Announcement) { a.EndpointID, a.Incarnation = "good", math.MaxUint64 },
		"many models":                   func(a *godwitplank.Announcement) { a.Models = make([]string, 100_000) },
		"model with a control sequence": func(a *godwitplank.Announcement) { a.Models = []string{"\x1b[2J"} },
	}
	for name, change := range odd {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hub, a, p := newControl(t, "hub", 1), newControl(t, "vm-a", 1), &peer{}
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			hub.wg.Go(func() { hub.loop(ctx) })
			good := godwitplank.Announcement{EndpointID: "good", Incarnation: 1, Address: "10.0.0.8:80", Pool: "s", Slots: 1}
			for sequence := range uint64(3) {
				good.Sequence = sequence + 1
				is.NoErr(hub.Register(ctx, good))
				bad := good
				bad.EndpointID, bad.Address = "bad", "10.0.0.9:80"
				change(&bad)
				err := hub.Register(ctx, bad)
				is.True(err != nil)
				status := fault.As(err).Status()
				is.True(status >= 400 && status < 500)
				var reply *link.ExchangeReply
				is.NoErr(hub.do(ctx, func() { reply = runExchange(a, hub, p) }))
				_, err = proto.Marshal(reply)
				is.NoErr(err)
			}
			is.Equal(a.endpoints.Find("good").Sequence, uint64(3))
			is.Equal(a.endpoints.Find("good").Addr, netip.MustParseAddrPort("10.0.0.8:80"))
		})
	}
}

// An odd entry that another VM has accepted is left out; the others hold.
func TestOddRelayedEntryIsLeftOut(t *testing.T) {
	is := is.New(t)
	a := newControl(t, "vm-a", 1)
	var relayed []*link.Endpoint
	for i, text := range []string{
		`{"endpoint_id":"i-1","address":"10.0.0.1:80","pool":"s","sequence":1}`,
		strings.Repeat("[", 200_000),
		`{"endpoint_id":"i-2","address":"10.0.0.2:80","pool":"s","sequence":1e400}`,
		`{"endpoint_id":"i-3","address":"10.0.0.3:99999","pool":"s","sequence":1}`,
		`{"endpoint_id":"i-4\n","address":"10.0.0.4:80","pool":"s","sequence":1}`,
		`{"endpoint_id":"i-5","address":"10.0.0.5:0","pool":"s","sequence":1}`,
		fmt.Sprintf(`{"endpoint_id":"i-6","address":"10.0.0.6:80","pool":"s","sequence":%d}`, uint64(math.MaxUint64)),
		`{"endpoint_id":"i-7","address":"10.0.0.7:80","pool":"s","sequence":1}`,
	} {
		relayed = append(relayed, &link.Endpoint{Announcement: []byte(text), LeaseLeftMs: 1000 + int64(i), Open: true})
	}
	a.mergeRelayedEndpoints(a.Clock.Now(), relayed)
	var ids []string
	for _, e := range a.endpoints.Entries() {
		ids = append(ids, e.EndpointID)
	}
	is.Equal(ids, []string{"i-1", "i-7"})
}
