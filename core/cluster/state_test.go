package cluster_test

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// log applies commands to a state as consecutive entries.
type log struct {
	state *cluster.State
	index uint64
}

func (l *log) apply(c proto.Command) {
	l.index++
	l.state.Step(event.Input{Event: event.Committed{Entry: proto.Entry{Index: l.index, Command: c}}})
}

func config(members int, names ...types.ServiceName) *types.Config {
	c := &types.Config{Services: map[types.ServiceName]types.Service{}}
	for _, name := range names {
		c.Services[name] = types.Service{Name: name, Members: members}
	}
	return c
}

func change(id string, base uint64, c *types.Config) proto.Command {
	return proto.Command{Change: &proto.ChangeConfig{ID: types.ChangeID(id), Base: base, Config: c, Source: id}}
}

func member(name types.TargetName) proto.Command {
	return proto.Command{Member: &proto.SetMember{Service: "a", Target: types.Target{Name: name}}}
}

func TestAnnouncementDoesNotUndoDrain(t *testing.T) {
	l := &log{state: cluster.New()}
	l.apply(change("1", 0, config(3, "a")))
	l.apply(member("t1"))
	drain := member("t1")
	drain.Member.Operator, drain.Member.Target.Drained = true, true
	l.apply(drain)
	moved := member("t1")
	moved.Member.Target.Address = "new"
	l.apply(moved)
	got, _ := l.state.Group("a").Target("t1")
	assert.DeepEqual(t, got, types.Target{Name: "t1", Address: "new", State: types.TargetLeaving, Drained: true})
}

func TestTermsOnlyGrow(t *testing.T) {
	l := &log{state: cluster.New()}
	l.apply(change("1", 0, config(1, "a")))
	l.apply(member("t1"))
	begin := func(term types.Term) {
		l.apply(proto.Command{BeginTerm: &proto.BeginTerm{Service: "a", Term: term}})
	}
	serve := func(term types.Term) {
		l.apply(proto.Command{ServeTerm: &proto.ServeTerm{Service: "a", Term: term, Primary: "t1", Start: 7}})
	}
	begin(4)
	serve(3)
	assert.Equal(t, l.state.Group("a").Phase, types.GroupFencing)
	serve(4)
	begin(4)
	begin(2)
	g := l.state.Group("a")
	assert.Equal(t, g.Phase, types.GroupServing)
	assert.DeepEqual(t, g.History, types.TermHistory{{Term: 4, Offset: 7}})
	for term := types.Term(5); term < 100; term++ {
		begin(term)
		serve(term)
	}
	assert.Equal(t, len(l.state.Group("a").History), 32)
}

func TestGroupsFollowTheConfiguration(t *testing.T) {
	l := &log{state: cluster.New()}
	l.apply(change("1", 0, config(3, "a", "b")))
	l.apply(change("2", 1, config(3, "b", "c")))
	assert.DeepEqual(t, l.state.Services(), []types.ServiceName{"b", "c"})
	l.apply(change("3", 2, config(2, "b", "c")))
	answer, _ := l.state.Change("3")
	assert.Equal(t, answer.Result.Accepted, false, "a group was made smaller")
}

// TestViewsCatchUp lets a proxy miss any number of commands, receive updates in any
// order and more than once, and receive them from a restored state. The version of
// its view must never decrease, and the view must equal the state when no update is
// left.
func TestViewsCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{state: cluster.New()}
		var held *types.ClusterView
		var delayed []*proto.ViewUpdate
		var seen uint64
		receive := func(u *proto.ViewUpdate) {
			held, _ = cluster.Merge(held, u)
			if held != nil {
				assert.Assert(t, held.Version >= seen, "the view went back")
				seen = held.Version
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				for range rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "commands") {
					l.apply(randomCommand(t, l))
				}
			},
			"ask": func(t *rapid.T) {
				if u := l.state.Update(seen); u != nil {
					delayed = append(delayed, u)
				}
			},
			"receive": func(t *rapid.T) {
				if len(delayed) > 0 {
					receive(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "update")])
				}
			},
			"restore": func(t *rapid.T) {
				next := cluster.New()
				next.Step(event.Input{Event: event.Restored{Snapshot: proto.Snapshot{
					Index: l.index, State: l.state.Snapshot(),
				}}})
				l.state = next
			},
			"": func(t *rapid.T) {
				if held != nil && held.Version >= l.state.View().Version {
					assert.DeepEqual(t, held.Config, l.state.View().Config)
					assert.DeepEqual(t, held.Groups, l.state.View().Groups)
				}
			},
		})
		if u := l.state.Update(seen); u != nil {
			receive(u)
		}
		if held != nil {
			assert.DeepEqual(t, held.Groups, l.state.View().Groups)
		}
	})
}

func randomCommand(t *rapid.T, l *log) proto.Command {
	service := types.ServiceName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		names := rapid.SampledFrom([][]types.ServiceName{{"a"}, {"a", "b"}, {"b", "c"}, {}}).Draw(t, "services")
		id := fmt.Sprint("change-", l.index)
		return change(id, l.state.Config().Version, config(3, names...))
	case 1:
		name := types.TargetName(rapid.SampledFrom([]string{"t1", "t2", "t3", "t4"}).Draw(t, "target"))
		state := types.TargetState(rapid.IntRange(0, 2).Draw(t, "state"))
		return proto.Command{Member: &proto.SetMember{
			Service: service, Target: types.Target{Name: name, State: state}, Remove: rapid.Bool().Draw(t, "remove"),
		}}
	case 2:
		if g := l.state.Group(service); g != nil {
			return proto.Command{BeginTerm: &proto.BeginTerm{Service: service, Term: g.Term + 1}}
		}
	case 3:
		if g := l.state.Group(service); g != nil && len(g.Members) > 0 {
			return proto.Command{ServeTerm: &proto.ServeTerm{Service: service, Term: g.Term, Primary: g.Members[0].Name}}
		}
	}
	return proto.Command{Proxy: &proto.SetProxy{Host: "p"}}
}

func TestUpdateWithGapDoesNotFit(t *testing.T) {
	base := &types.ClusterView{Version: 3}
	got, ok := cluster.Merge(base, &proto.ViewUpdate{Base: 4, Version: 6})
	assert.Equal(t, ok, false)
	assert.Equal(t, got, base)
}

// TestSynchronousUntilTheNextPrimary checks that a group counts as synchronous from the
// change that says so until a primary begins under a configuration that doesn't.
func TestSynchronousUntilTheNextPrimary(t *testing.T) {
	l := &log{state: cluster.New()}
	version := uint64(0)
	setSyncReplicas := func(n int) {
		c := config(1, "a")
		c.Services["a"] = types.Service{Name: "a", Members: 1, SyncReplicas: n}
		l.apply(change(fmt.Sprint(version+1), version, c))
		version++
	}
	serve := func(term types.Term) {
		l.apply(proto.Command{BeginTerm: &proto.BeginTerm{Service: "a", Term: term}})
		assert.Equal(t, l.state.Group("a").LastPrimary != "", term > 1)
		l.apply(proto.Command{ServeTerm: &proto.ServeTerm{Service: "a", Term: term, Primary: "t1"}})
	}
	setSyncReplicas(0)
	l.apply(member("t1"))
	serve(1)
	assert.Assert(t, !l.state.Group("a").Synchronous)
	setSyncReplicas(1)
	assert.Assert(t, l.state.Group("a").Synchronous)
	setSyncReplicas(0)
	assert.Assert(t, l.state.Group("a").Synchronous, "the primary has acknowledged commits since")
	serve(2)
	assert.Assert(t, !l.state.Group("a").Synchronous)
	assert.Equal(t, l.state.Group("a").LastPrimary, types.TargetName("t1"))
}
