package runtime

import (
	"context"
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

// TestLoopThatIsBehind fills all queues of a control loop that is held up: calls beyond
// what may wait are refused at once, and the others come after most of the lease requests
// and of the messages of other control hosts.
func TestLoopThatIsBehind(t *testing.T) {
	const waiting = 200
	hold, held := make(chan struct{}), make(chan struct{})
	var handled []string
	done := make(chan struct{})
	host := testControlHost(nil, func(in event.Input) []effect.Effect {
		switch in.Event.(type) {
		case event.Start:
			close(held)
			<-hold
			return nil
		case event.PeerMessage:
			handled = append(handled, "message")
		case event.LeaseRequested:
			handled = append(handled, "lease")
		case event.OperatorCalled:
			handled = append(handled, "call")
		}
		if len(handled) == 2*waiting+maxWaitingCalls {
			close(done)
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	<-held
	callCtx, endCalls := context.WithCancel(ctx)
	endCalls()
	for range maxWaitingCalls {
		_, err := host.Call(callCtx, proto.OperatorRequest{})
		assert.ErrorIs(t, err, context.Canceled)
	}
	_, err := host.Call(ctx, proto.OperatorRequest{})
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	for i := range waiting {
		host.HandlePeerMessage(proto.Message{})
		host.HandleLeaseRequest(proto.LeaseRequest{Proxy: types.HostID(fmt.Sprint(i))})
	}
	close(hold)
	<-done
	counts := make(map[string]int)
	for _, kind := range handled[:2*waiting] {
		counts[kind]++
	}
	assert.Assert(t, counts["call"] <= 2*waiting/fairShare, "%v", counts)
	assert.Assert(t, counts["call"] >= waiting/fairShare, "%v", counts)
	assert.Equal(t, counts["message"], waiting)
	cancel()
	assert.NilError(t, <-ended)
}
