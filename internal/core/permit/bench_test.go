package permit_test

import (
	"fmt"
	"testing"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/ids"
)

// BenchmarkAsk is an owner's part in moving one permit: a holder returns it and
// the least served waiter gets it, with all routers waiting.
func BenchmarkAsk(b *testing.B) {
	for _, routers := range []int{8, 80, 1200} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			g := group(8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8)
			o := newOwner(g)
			hs := map[ids.Instance]*permit.Holder{}
			var names []ids.Instance
			need := func(i int) permit.Need {
				return permit.Need{Want: 4, VS: float64(i * 50), Base: permit.NoVS, Step: 50}
			}
			for i := range routers {
				n := ids.Instance(fmt.Sprintf("r%d", i))
				names = append(names, n)
				hs[n] = newHolder(g)
				tell(o, t0, n, need(i), hs)
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
				tell(o, t0, n, need(i), hs)
			}
		})
	}
}
