package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/crash"
)

// Each of three VMs sees one crash under a deadly part, and one sees sound runs with the part that all prompts begin with. All
// of them, one that starts later and a restarted hub keep the deadly part from endpoints, and nothing else.
func TestVMsJoinCrashEvidence(t *testing.T) {
	is := is.New(t)
	hub := newControl(t, "hub", 1)
	now := hub.Clock.Now()
	const crashes = 3
	var vms [crashes]*Control
	var peers [crashes]*peer
	for i := range vms {
		vms[i], peers[i] = newControl(t, fmt.Sprint("vm-", i), 1), &peer{}
		at := now.Add(-time.Duration(crashes-i) * time.Second)
		vms[i].Crashes.RecordCrash(crash.Run{
			At: at, Endpoint: crash.Endpoint{ID: fmt.Sprint("e-", i), Incarnation: 1}, Prompt: uint64(i), Parts: []string{"first", "dead"},
		})
	}
	vms[0].Crashes.RecordSurvival(now.Add(-500*time.Millisecond), []string{"first", "other"})
	const evaluationTime = 400 * time.Millisecond // five rounds are longer than completed runs may take to be reported
	for range 5 {
		for i := range vms {
			runExchange(vms[i], hub, peers[i])
		}
		time.Sleep(evaluationTime)
	}
	excludesOnlyDeadly := func(c *Control) {
		t.Helper()
		now := c.Clock.Now()
		is.True(c.Crashes.Find(now, []string{"elsewhere", "dead"}) != nil)
		is.True(c.Crashes.Find(now, []string{"first", "other"}) == nil)
	}
	for _, c := range vms {
		excludesOnlyDeadly(c)
	}
	late := newControl(t, "vm-late", 1)
	runExchange(late, hub, &peer{})
	excludesOnlyDeadly(late)
	restarted := newControl(t, "hub", 2)
	runExchange(vms[0], restarted, peers[0])
	excludesOnlyDeadly(restarted)
}

// A VM sends each crashed run once, and again to a hub that has restarted.
func TestCrashedRunsSentOnce(t *testing.T) {
	is := is.New(t)
	hub, a, p := newControl(t, "hub", 1), newControl(t, "vm-a", 1), &peer{}
	sent := func(to *Control) int {
		request := newExchangeRequest(a, p)
		runExchange(a, to, p)
		return len(request.CrashedRuns)
	}
	a.Crashes.RecordCrash(crash.Run{At: a.Clock.Now(), Endpoint: crash.Endpoint{ID: "e"}, Prompt: 1, Parts: []string{"p"}})
	is.Equal(sent(hub), 1) // first contact: the peer's incarnation is not known yet
	is.Equal(sent(hub), 1)
	is.Equal(sent(hub), 0)
	restarted := newControl(t, "hub", 2)
	is.Equal(sent(restarted), 0)
	is.Equal(sent(restarted), 1)
	is.Equal(sent(restarted), 0)
}
