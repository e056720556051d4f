package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"godwitplank"
	"godwitplank/crash"
	"godwitplank/vm"
)

// In a steady state the size of a reply does not depend on the number of VMs and endpoints: it has only what changed since
// the last one. Each reply once described all VMs whenever one had changed, and renewed all endpoints.
func TestReplySizeIsFlat(t *testing.T) {
	is := is.New(t)
	size := func(vms, endpoints int) (steady, oneChange int) {
		hub, a, p := newControl(t, "hub", 1), newControl(t, "vm-a", 1), &peer{}
		now := hub.Clock.Now()
		for i := range vms {
			hub.vms.Merge(now, vm.Entry{Name: fmt.Sprint("vm-", i), Incarnation: 1, DataCentre: "dc-a", LastSeen: now, LastReported: now})
		}
		for i := range endpoints {
			hub.endpoints.Announce(now, testEndpoint(i, 1, "digest"), godwitplank.LeaseDuration)
		}
		runExchange(a, hub, p)
		runExchange(a, hub, p) // vm-a itself was new in the first one
		steady = proto.Size(runExchange(a, hub, p))
		hub.vms.Merge(now, vm.Entry{Name: "vm-1", Incarnation: 2, DataCentre: "dc-a", LastSeen: now, LastReported: now})
		hub.endpoints.Announce(now, testEndpoint(1, 2, "digest"), godwitplank.LeaseDuration)
		reply := runExchange(a, hub, p)
		is.Equal(len(reply.Others), 1)
		is.Equal(len(reply.Renewals), 1)
		return steady, proto.Size(reply)
	}
	smallSteady, smallChange := size(20, 30)
	largeSteady, largeChange := size(400, 1900)
	t.Logf("steady: %d and %d bytes, one change: %d and %d", smallSteady, largeSteady, smallChange, largeChange)
	const numberBytes = 8 // revisions of a larger system are longer numbers
	is.True(largeSteady <= smallSteady+numberBytes)
	is.True(largeChange <= smallChange+numberBytes)
}

// A VM that a hub no longer hears is reported as lost, also if other hubs have reported it since, and as alive once the hub
// hears it again. Only the change is sent.
func TestHubReportsLostVM(t *testing.T) {
	is := is.New(t)
	hub, a, p := newControl(t, "hub", 1), newControl(t, "vm-a", 1), &peer{}
	a.HubsOnly = true
	now := hub.Clock.Now()
	heard := func(at time.Time) vm.Entry {
		return vm.Entry{Name: "vm-b", Incarnation: 1, LastSeen: at, LastReported: now}
	}
	hub.vms.Merge(now, heard(now))
	runExchange(a, hub, p)
	is.True(p.aliveVMs["vm-b"])
	hub.vms.Find("vm-b").LastSeen = now.Add(-2 * vm.AliveTimeout)
	is.Equal(hub.vms.DetectLost(now), []string{"vm-b"})
	is.Equal(len(runExchange(a, hub, p).Others), 1)
	is.True(!p.aliveVMs["vm-b"])
	hub.vms.Merge(now, heard(hub.Clock.Now()))
	runExchange(a, hub, p)
	is.True(p.aliveVMs["vm-b"])
}

// The crash of an endpoint with many runs in flight costs each exchange a bounded number of bytes.
func TestCrashEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	const (
		runs            = 1000
		maxRequestBytes = 16 << 10
		maxReplyBytes   = 4 << 10
	)
	hub, a, p := newControl(t, "hub", 1), newControl(t, "vm-a", 1), &peer{}
	runExchange(a, hub, p)
	for i := range runs {
		a.Crashes.RecordCrash(crash.Run{
			At: a.Clock.Now(), Endpoint: crash.Endpoint{ID: "i-236a4d829b", Incarnation: 1_700_000_000_000}, Prompt: uint64(i),
			Parts: []string{"a1979a9a31e", fmt.Sprintf("%012x", i), fmt.Sprintf("%012x", runs+i)},
		})
	}
	request := newExchangeRequest(a, p)
	reply := runExchange(a, hub, p)
	t.Logf("request: %d bytes, reply: %d bytes", proto.Size(request), proto.Size(reply))
	is.True(proto.Size(request) < maxRequestBytes)
	is.True(proto.Size(reply) < maxReplyBytes)
}
