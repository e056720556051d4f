package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitplank/link"
)

// No message of another VM, perhaps of another build, ends this one: exchanges in either direction, and requests for shares.
func FuzzExchange(f *testing.F) {
	sender := &link.VM{Name: "vm-b", LinkAddr: "10.0.0.2:1", Incarnation: 1}
	request, _ := proto.Marshal(&link.ExchangeRequest{Sender: sender, ReceiverIncarnation: 1, Limits: []*link.EndpointLimit{{}}})
	reply, _ := proto.Marshal(&link.ExchangeReply{Sender: sender, Others: []*link.VM{{Name: "vm-c"}}, Group: &link.Group{Id: "g"}})
	f.Add(request, reply)
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, requestData, replyData []byte) {
		c := newControl(t, "vm-a", 1)
		var request link.ExchangeRequest
		if proto.Unmarshal(requestData, &request) == nil && checkSender(request.Sender) == nil {
			if _, err := proto.Marshal(c.buildExchangeReply(&request)); err != nil {
				t.Fatalf("the reply cannot be sent: %v", err)
			}
		}
		var reply link.ExchangeReply
		if proto.Unmarshal(replyData, &reply) == nil && checkSender(reply.Sender) == nil {
			c.handleExchangeReply(&peer{}, c.Clock.Now(), &reply)
		}
		c.publish()
		if _, err := proto.Marshal(c.buildExchangeReply(&link.ExchangeRequest{Sender: &link.VM{Name: "vm-d"}})); err != nil {
			t.Fatalf("what the message left cannot be sent: %v", err)
		}
	})
}
