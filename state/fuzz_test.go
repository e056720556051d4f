package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitplank/order"
)

// Any commands of the log have the same effect on each replica, and an image of their state is restored as it was.
func FuzzApply(f *testing.F) {
	for _, c := range []*Command{
		{Id: "1", TimeMs: 1, Change: &Command_Document{Document: &DocumentChange{Version: 1, Canonical: []byte("{}")}}},
		{Id: "2", TimeMs: 2, Change: &Command_Order{Order: &order.Change{Key: &order.Key{Workspace: "w", Key: "k", Stage: "s"}, ValidMs: 100}}},
		{Id: "3", TimeMs: 3, Change: &Command_Evacuation{Evacuation: &Evacuation{DataCentre: "d"}}},
		{Id: "4", TimeMs: -1, Change: &Command_Departure{Departure: &Departure{}}},
		{Id: "5"},
	} {
		data, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var replicas [2]Machine
		for _, data := range [][]byte{first, second} {
			var c Command
			if proto.Unmarshal(data, &c) != nil {
				continue
			}
			if !proto.Equal(replicas[0].Apply(&c), replicas[1].Apply(proto.CloneOf(&c))) {
				t.Fatal("the replicas return different results")
			}
		}
		image := replicas[0].Image()
		if !bytes.Equal(image, replicas[1].Image()) {
			t.Fatal("the replicas have different images")
		}
		var restored Machine
		if err := restored.Restore(image); err != nil {
			t.Fatalf("the image cannot be restored: %v", err)
		}
		if !bytes.Equal(restored.Image(), image) {
			t.Fatal("the restored state has another image")
		}
	})
}
