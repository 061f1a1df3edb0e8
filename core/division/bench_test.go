package division_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/division"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

type permanentLeader struct{}

func (permanentLeader) LeadsUntil() types.Instant { return 1 << 62 }

// heap returns the bytes in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLeaseRequest measures what a lease request costs the leader that names six
// organisations, of which every proxy holds rights of a hundred.
func BenchmarkLeaseRequest(b *testing.B) {
	const named, held = 6, 100
	for _, size := range []struct{ proxies, organisations int }{{30, 100}, {300, 100}, {1300, 100}, {1300, 10000}} {
		b.Run(fmt.Sprintf("proxies=%d/organisations=%d", size.proxies, size.organisations), func(b *testing.B) {
			config := &types.Config{QuotaWindow: window, Organisations: map[types.OrganisationName]types.Organisation{}}
			name := func(i int) types.OrganisationName {
				return types.OrganisationName(fmt.Sprintf("org-%05d", i%size.organisations))
			}
			for i := range size.organisations {
				config.Organisations[name(i)] = types.Organisation{Name: name(i), Rate: 1000, Burst: 1000}
			}
			replicated := cluster.New()
			table := lease.NewTable("c1", replicated, permanentLeader{})
			divider := division.New(replicated, table)
			table.SetQuotas(divider)
			now := types.Instant(time.Hour)
			step := func(ev event.Event) {
				in := event.Input{Now: now, Event: ev}
				replicated.Step(in)
				table.Step(in)
				divider.Step(in)
			}
			snapshot := proto.ClusterState{Config: config}
			proxy := func(i int) types.HostID { return types.HostID(fmt.Sprintf("proxy-%04d.1", i%size.proxies)) }
			for i := range size.proxies {
				snapshot.Proxies = append(snapshot.Proxies, proto.SetProxy{Host: proxy(i)})
			}
			step(event.Restored{Snapshot: proto.Snapshot{Index: 10, State: snapshot}})
			step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
			request := func(i, first, count int, full bool) proto.LeaseRequest {
				r := proto.LeaseRequest{Proxy: proxy(i), Seq: uint64(i), SharesSeq: uint64(i), ViewVersion: 10, AppliedVersion: 10, Process: 1, QuotasFull: full, Uptime: time.Minute}
				for k := range count {
					r.QuotaUses = append(r.QuotaUses, proto.QuotaUse{Organisation: name(first + k), Part: 2, Used: 1 + k%2})
				}
				return r
			}
			before := heap()
			for i := range size.proxies {
				step(event.LeaseRequested{Request: request(i, i*37, held, true)})
			}
			state := float64(heap()-before) / (1 << 20)
			n := size.proxies
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(300 * time.Millisecond / time.Duration(size.proxies))
				step(event.LeaseRequested{Request: request(n, (n%size.proxies)*37+n/size.proxies*named%held, named, false)})
				n++
			}
			b.ReportMetric(state, "MB-state")
		})
	}
}
