package state

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func evacuationCommand(id string, timeMs int64, dataCentre string, active bool) *Command {
	return &Command{Id: id, TimeMs: timeMs, Change: &Command_Evacuation{Evacuation: &Evacuation{DataCentre: dataCentre, Active: active}}}
}

// A command that a proposer sent twice must not start an evacuation again that was withdrawn in between, also if the
// machine was restored from a snapshot in between. The last command of the log wins.
func TestEvacuationsInLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, active, sent := &Machine{}, make(map[string]bool), []*Command(nil)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				m.Apply(proto.CloneOf(rapid.SampledFrom(sent).Draw(t, "which")))
			} else {
				c := evacuationCommand(fmt.Sprint(i), int64(i), rapid.SampledFrom([]string{"dc-a", "dc-b"}).Draw(t, "data centre"), rapid.Bool().Draw(t, "active"))
				result := m.Apply(proto.CloneOf(c)).Evacuation
				if result.Refused || !proto.Equal(result.Current, EncodeEvacuations(m.Evacuations())) {
					t.Fatalf("result %v of command %v", result, c)
				}
				active[c.GetEvacuation().DataCentre] = c.GetEvacuation().Active
				sent = append(sent, c)
			}
			if rapid.Bool().Draw(t, "restore") {
				image := m.Image()
				m = &Machine{}
				if err := m.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			for name, want := range active {
				if m.Evacuations().Active(name) != want {
					t.Fatalf("%s: active is %v, the last command says %v", name, !want, want)
				}
			}
		}
	})
}
