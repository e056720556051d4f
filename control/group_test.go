package control

import (
	"testing"

	"github.com/matryer/is"

	"godwitplank/raft"
)

func TestSameGroup(t *testing.T) {
	// vm-a lost its disk: its new replica is already a voter, the old one is not yet removed.
	m := &raft.Membership{Replicas: []*raft.Replica{{Id: "1", Vm: "vm-a"}, {Id: "2", Vm: "vm-c"}, {Id: "3", Vm: "vm-e"}, {Id: "4", Vm: "vm-a"}, {Id: "5", Vm: "vm-b", Learner: true}}}
	for _, c := range []struct {
		name   string
		voters []string
		same   bool
	}{
		{"the voters", []string{"vm-a", "vm-c", "vm-e"}, true},
		{"a learner is not a voter", []string{"vm-a", "vm-b", "vm-c", "vm-e"}, false},
		{"other voters", []string{"vm-a", "vm-b", "vm-c"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := sameGroup(m, c.voters)
			is.New(t).Equal(err == nil, c.same)
		})
	}
}
