package runtime

import (
	"context"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// TestLatestLeaseRequestReplacesEarlierOnes holds the control loop up while proxies send
// several requests each, more than the loop has room for events.
func TestLatestLeaseRequestReplacesEarlierOnes(t *testing.T) {
	const rounds = 2 * maxControlEvents
	entered, resume := make(chan struct{}), make(chan struct{})
	handled := make(chan proto.LeaseRequest, 2*rounds)
	host := testControlHost(logFunc(func(effect.Persist) error { return nil }), func(in event.Input) []effect.Effect {
		switch e := in.Event.(type) {
		case event.PeerMessage:
			close(entered)
			<-resume
		case event.LeaseRequested:
			handled <- e.Request
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { _ = host.Run(ctx) }()
	host.HandlePeerMessage(proto.Message{})
	<-entered
	for i := range rounds {
		host.HandleLeaseRequest(proto.LeaseRequest{Proxy: "p1", Seq: uint64(i)})
		host.HandleLeaseRequest(proto.LeaseRequest{Proxy: "p2", Seq: uint64(i)})
	}
	close(resume)
	for _, want := range []proto.LeaseRequest{{Proxy: "p1", Seq: rounds - 1}, {Proxy: "p2", Seq: rounds - 1}} {
		select {
		case got := <-handled:
			assert.DeepEqual(t, got, want)
		case <-ctx.Done():
			t.Fatal("a request was not handled")
		}
	}
	select {
	case got := <-handled:
		t.Fatalf("an earlier request was handled too: %+v", got)
	case <-time.After(50 * time.Millisecond):
	}
}
