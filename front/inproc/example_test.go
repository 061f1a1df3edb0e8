package inproc_test

import (
	"context"
	"fmt"
	"log"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/session"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/front/inproc"
	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// dialer implements runtime.TargetDialer for a MemoryGroup.
type dialer struct{ group *inproc.MemoryGroup }

func (d dialer) Dial(ctx context.Context, ref types.TargetRef, addr types.Address, _ types.OrganisationName) (runtime.TargetConn, error) {
	return d.group.Dial(ctx, ref, addr)
}

// discardRecorder is a recorder that discards everything.
type discardRecorder struct{}

func (discardRecorder) Decision(effect.Decide)         {}
func (discardRecorder) Observation(effect.Observation) {}

var config = &types.Config{
	Version: 1,
	Services: map[types.ServiceName]types.Service{"ledger": {
		Name: "ledger", Members: 3, Slots: 3, Connections: 20,
		DefaultProfile: "session", Profiles: []types.ProfileName{"session"},
	}},
	Profiles: map[types.ProfileName]types.Profile{"session": {
		Name: "session", Freshness: types.FreshSession, Durability: types.DurableMajority,
		RequestTimeout: 5 * time.Second, QueueTimeout: time.Second, Weight: 1,
	}},
}

// newProxy returns a standalone proxy for the group.
func newProxy(group *inproc.MemoryGroup) *runtime.Proxy {
	return runtime.NewProxy(runtime.ProxyOptions{
		Control: core.New(inproc.NewControl(config, group.Group("ledger"))),
		Shard:   func(i int) *core.Reducer { return core.NewShard(session.Options{Index: i}) },
		Shards:  1, Clock: runtime.NewClock(), Seed: func() uint64 { return 1 },
		Targets: dialer{group}, Recorder: discardRecorder{},
	})
}

// Example embeds session consistency without daemons: a read that follows a
// write returns its value although one replica has stopped replicating.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	group := inproc.NewMemoryGroup("a", "b", "c")
	group.SetPaused("c", true)
	proxy := newProxy(group)
	go proxy.Run(ctx)
	if err := inproc.WaitReady(ctx, proxy); err != nil {
		log.Fatal(err)
	}

	s, err := inproc.Open(proxy, types.SessionParams{Service: "ledger"})
	if err != nil {
		log.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Do(ctx, "SET crystal 41"); err != nil {
		log.Fatal(err)
	}
	stock, err := s.Do(ctx, "GET crystal", inproc.Read())
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(stock.Text)
	// Output: 41
}
