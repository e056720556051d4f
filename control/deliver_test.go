package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"godwitplank/link"
)

// Replicas answer heartbeats in the reply to the call that carries them, so that an idle group makes no calls to its leader. VMs of a
// build that does not take the messages of a reply get them in calls, and the leader keeps its quorum with both.
func TestHeartbeatsAreAnsweredInReplies(t *testing.T) {
	for name, c := range map[string]struct{ earlierBuild bool }{
		"all take replies": {},
		"an earlier build": {earlierBuild: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var answered, called atomic.Int64
			group := runGroup(t, grpc.UnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
				r, ok := request.(*link.DeliverRequest)
				if ok && c.earlierBuild {
					r.TakesReplies = false
				}
				reply, err := handler(ctx, request)
				if ok && err == nil {
					called.Add(1)
					answered.Add(int64(min(1, len(reply.(*link.DeliverReply).Messages))))
				}
				return reply, err
			}))
			eventually(t, "a leader", func() bool { return leaderOf(group) != nil })
			leader := leaderOf(group)
			submit(t, leader, 1)
			time.Sleep(500 * time.Millisecond) // the commit has reached all
			called.Store(0)
			answered.Store(0)
			time.Sleep(2 * time.Second)
			is.Equal(leaderOf(group), leader)
			t.Logf("%d calls, %d answered in their replies", called.Load(), answered.Load())
			is.True(called.Load() > 0)
			is.Equal(answered.Load() == 0, c.earlierBuild)
			if !c.earlierBuild {
				is.True(answered.Load()*10 >= called.Load()*9)
			}
			submit(t, leader, 2)
		})
	}
}
