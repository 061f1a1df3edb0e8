package wire

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// BenchmarkFrameSize reports the encoded size of a lease request, of its grant and
// of a view, for a proxy that serves several services with three members each.
func BenchmarkFrameSize(b *testing.B) {
	for _, services := range []int{3, 12, 48} {
		request, grant, view := framesForServices(services)
		for _, c := range []struct {
			name  string
			frame Frame
		}{{"request", request}, {"grant", grant}, {"view", view}} {
			b.Run(fmt.Sprintf("%s/services=%d", c.name, services), func(b *testing.B) {
				size := 0
				for b.Loop() {
					data, err := Encode(c.frame)
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size), "B/frame")
			})
		}
	}
}

func framesForServices(services int) (request, grant, view Frame) {
	r := &proto.LeaseRequest{Proxy: "proxy-0001.0123456789ab", AvailabilityZone: "gulf-a", Seq: 1 << 40, SentAt: 1 << 40, ViewVersion: 1 << 20, AppliedVersion: 1 << 20}
	g := &proto.LeaseGrant{Proxy: r.Proxy, Seq: r.Seq, SentAt: r.SentAt, Duration: 1500e6, Term: 9}
	v := &proto.LeaseGrant{View: &proto.ViewUpdate{Version: 1 << 20}}
	for i := range services {
		group := &types.Group{Service: types.ServiceName(fmt.Sprintf("spares-ledger-%04d", i)), Term: 7, Phase: types.GroupServing, Primary: "member-1"}
		for m := range 3 {
			ref := types.TargetRef{Service: group.Service, Name: types.TargetName(fmt.Sprintf("member-%d", m))}
			status := types.TargetStatus{Term: 7, Pos: types.LogPos{Term: 7, Offset: 1 << 33}}
			r.Reports = append(r.Reports, proto.TargetReport{Ref: ref, Status: status, SinceLastContact: 1 << 24})
			share := types.Share{Connections: 5, Slots: 1}
			r.Held = append(r.Held, proto.ShareHeld{Ref: ref, Share: share, Demand: 3})
			g.Shares = append(g.Shares, proto.ShareGrant{Ref: ref, Share: share})
			group.Members = append(group.Members, types.Target{Name: ref.Name, Address: "10.0.0.1:5432", AvailabilityZone: "gulf-a"})
		}
		v.View.Groups = append(v.View.Groups, group)
	}
	return Frame{LeaseRequest: r}, Frame{LeaseGrant: g}, Frame{LeaseGrant: v}
}
