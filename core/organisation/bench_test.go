package organisation

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// viewOf returns a view with the given number of organisations of two keys each.
func viewOf(count int) *types.NodeView {
	c := &types.Config{Version: 1, Organisations: make(map[types.OrganisationName]types.Organisation)}
	for i := range count {
		name := types.OrganisationName(fmt.Sprint("organisation-", i))
		c.Organisations[name] = types.Organisation{
			Name: name, Keys: []types.KeyDigest{{byte(i), byte(i >> 8), 1}, {byte(i), byte(i >> 8), 2}},
		}
	}
	return &types.NodeView{LeaseUntil: leaseEnd, Cluster: &types.ClusterView{Config: c}, KeyHolders: KeyHolders(c)}
}

func BenchmarkKeyHolders(b *testing.B) {
	for _, count := range []int{100, 10_000} {
		b.Run(fmt.Sprint(count, " organisations"), func(b *testing.B) {
			view := viewOf(count)
			b.ReportAllocs()
			for b.Loop() {
				KeyHolders(view.Cluster.Config)
			}
		})
	}
}

func BenchmarkIdentify(b *testing.B) {
	for _, count := range []int{100, 10_000} {
		b.Run(fmt.Sprint(count, " organisations"), func(b *testing.B) {
			view := viewOf(count)
			for b.Loop() {
				if _, why := Identify(view, types.KeyDigest{7, 0, 1}, "orders", inLease); why != nil {
					b.Fatal(why)
				}
			}
		})
	}
}
