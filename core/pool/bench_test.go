package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// BenchmarkPlanDials plans the connections of a target whose share is used up, for one
// waiting request of each organisation.
func BenchmarkPlanDials(b *testing.B) {
	for _, size := range []struct{ conns, organisations int }{{4, 8}, {10, 76}, {68, 76}, {10, 10_000}} {
		b.Run(fmt.Sprintf("%dConns%dOrganisations", size.conns, size.organisations), func(b *testing.B) {
			target := NewTarget(types.TargetRef{Service: "s", Name: "t"})
			target.Update("10.0.0.1:1", types.Share{Connections: size.conns, Shared: size.conns, Slots: 8})
			d := Demand{ServiceWaiting: true, Organisations: true}
			for i := range size.organisations {
				name := types.OrganisationName(fmt.Sprint("organisation-", i))
				d.Waiting = append(d.Waiting, Waiting{Organisation: name, Requests: 1})
				if i < size.conns {
					c := target.Dial(types.ConnID(i+1), name)
					target.Connected(c, 0)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				target.PlanDials(d, types.Instant(time.Second))
			}
		})
	}
}
