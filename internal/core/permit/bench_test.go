package permit_test

import (
	"fmt"
	"testing"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/ids"
)

// BenchmarkMergeHold measures an owner's work for moving one permit: a holder
// returns it and the waiting router with the least virtual service receives it,
// while all routers wait.
func BenchmarkMergeHold(b *testing.B) {
	for _, routers := range []int{8, 80, 1200} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			g := group(8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8)
			o := newOwner(g)
			hs := map[ids.Instance]*permit.Holder{}
			var names []ids.Instance
			demand := func(i int) permit.Demand {
				return permit.Demand{Want: 4, VirtualService: float64(i * 50), SustainedVirtualService: permit.NoVirtualService, VirtualServiceStep: 50}
			}
			for i := range routers {
				n := ids.Instance(fmt.Sprintf("r%d", i))
				names = append(names, n)
				hs[n] = newHolder(g)
				sendHold(o, t0, n, demand(i), hs)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				n := names[i%routers]
				h := hs[n]
				for k := range g.Members {
					if h.Return(k, 1) > 0 {
						break
					}
				}
				sendHold(o, t0, n, demand(i), hs)
			}
		})
	}
}
