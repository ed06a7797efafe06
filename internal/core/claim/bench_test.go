package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/claim"
)

// BenchmarkDecodeApplyEncode measures the work of one bucket write: decode the
// bucket, apply a batch of claims and encode the result.
func BenchmarkDecodeApplyEncode(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	writer := claim.Writer{Instance: "router-1", Now: now, Window: 24 * time.Hour}
	owner := claim.Owner{Instance: "router-1", Incarnation: 1}
	grants := func(from, n int) []claim.Op {
		ops := make([]claim.Op, n)
		for i := range ops {
			key := claim.KeyOf("workspace", fmt.Sprint("order-", from+i))
			ops[i] = claim.Grant{
				Key:       key,
				ID:        claim.ID{Owner: owner, Seq: uint64(from + i)},
				RequestID: "9f0c6f6e-8a55-4d53-9f53-0d6b1a2c3d4e",
			}
		}
		return ops
	}
	for _, held := range []int{0, 500, 2_000} {
		for _, batch := range []int{1, 32} {
			b.Run(fmt.Sprintf("held=%d/batch=%d", held, batch), func(b *testing.B) {
				bucket := claim.NewBucket()
				bucket.Apply(writer, grants(1, held))
				raw, err := bucket.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					decoded, err := claim.Decode(raw)
					if err != nil {
						b.Fatal(err)
					}
					decoded.Apply(writer, grants(held+1, batch))
					if _, err := decoded.Encode(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(raw)), "B/object")
			})
		}
	}
}
