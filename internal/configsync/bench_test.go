package configsync

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/config"
)

// benchContracts is the number of workspaces expected in two years.
const benchContracts = 46_000

// newFilledSet returns a set of contracts and the builder of its snapshots.
func newFilledSet(n int) (*config.Set, *builder, *Snapshot) {
	set := config.New(parse)
	l := config.Listing{Kind: api.KindContract, Revision: uint64(n)}
	for i := range n {
		l.Objects = append(l.Objects, contractObject(i, uint64(i+1)))
	}
	b := newBuilder(set)
	return set, b, b.build(emptySnapshot(), set.ApplyList([]config.Listing{l}).Changed)
}

func contractObject(i int, version uint64) config.Object {
	name := fmt.Sprintf("workspace-%d", i)
	return config.Object{
		Key: config.Key{Kind: api.KindContract, Name: name}, Version: version,
		Value: contractJSON(name, 1+int(version%9)),
	}
}

// BenchmarkChange measures the work of one router for one changed contract: the
// merge, the snapshot and the push to its children.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, benchContracts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set, build, snapshot := newFilledSet(n)
			version := set.Revision()
			for b.Loop() {
				prev := set.Revision()
				version++
				res := set.ApplyWatch(prev, version, []config.Object{contractObject(int(version)%n, version)})
				set.Delta(prev, maxMessageBytes)
				snapshot = build.build(snapshot, res.Changed)
			}
			b.ReportMetric(float64(len(snapshot.Contracts)), "contracts")
		})
	}
}

// BenchmarkMemory measures the heap that a router uses per contract.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		set, build, snapshot := newFilledSet(benchContracts)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(set)
		runtime.KeepAlive(build)
		runtime.KeepAlive(snapshot)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchContracts, "B/contract")
}

// BenchmarkTransfer measures the work of both sides in a transfer of all contracts,
// page by page.
func BenchmarkTransfer(b *testing.B) {
	sender, _, _ := newFilledSet(benchContracts)
	pages := 0
	for b.Loop() {
		pages = 0
		receiver := config.New(parse)
		for next := receiver.StartTransfer("peer"); next != nil; pages++ {
			_, next = receiver.ApplyPage("peer", sender.AnswerPull(next, maxMessageBytes).GetPage())
		}
	}
	b.ReportMetric(float64(pages), "pages")
}
