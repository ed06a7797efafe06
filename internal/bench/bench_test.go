package bench

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = DescribeTable("Row", func(bound Bound, value float64, want string) {
	var out bytes.Buffer
	Expect(Row{Name: "a/b", Value: value, Unit: "ms", Bound: bound, Seed: 7}.Print(&out)).To(Succeed())
	Expect(out.String()).To(Equal("a/b\t" + want + "\t7\n"))
},
	Entry("met", AtMost(2), 2.0, "2\tms\t<=2\tmet"),
	Entry("short", AtMost(2), 2.01, "2.01\tms\t<=2\tshort"),
	Entry("at least", AtLeast(0.97), 0.969, "0.969\tms\t>=0.97\tshort"),
	Entry("exactly", Exactly(0), 1.0, "1\tms\t==0\tshort"),
	Entry("above", Above(1), 1.0, "1\tms\t>1\tshort"),
	Entry("information", Info(), 3.0, "3\tms\t-\tmet"),
)

var _ = Describe("window", func() {
	at := func(a, b float64) sample { return sample{units: map[string]float64{"a": a, "b": b}} }

	DescribeTable("gap is the range of the difference in normalized service",
		func(w window, weights map[string]float64, want float64) {
			Expect(w.gap(weights)).To(Equal(want))
		},
		Entry("equal", window{at(0, 0), at(5, 5)}, map[string]float64{"a": 1, "b": 1}, 0.0),
		Entry("by weight", window{at(0, 0), at(5, 10)}, map[string]float64{"a": 1, "b": 2}, 0.0),
		Entry("difference changes sign", window{at(0, 0), at(5, 0), at(5, 10)}, map[string]float64{"a": 1, "b": 1}, 10.0),
		Entry("service before the window is ignored", window{at(9, 0), at(10, 1)}, map[string]float64{"a": 1, "b": 1}, 0.0),
	)

	It("has an infinite gap without samples", func() {
		Expect(window{}.gap(map[string]float64{"a": 1, "b": 1})).To(BeNumerically(">", 1e9))
	})

	It("computes utilisation from the busy slot time", func() {
		stats := func(at int64, busy float64) engine.Stats {
			return engine.Stats{AtMS: at, BusySlotSeconds: busy, Slots: 4}
		}
		w := window{
			{engines: []engine.Stats{stats(0, 0), stats(0, 0)}},
			{engines: []engine.Stats{stats(1000, 4), stats(1000, 2)}},
		}
		Expect(w.utilisation(allEngines)).To(Equal(0.75))
		Expect(w.utilisation(func(i int) bool { return i == 1 })).To(Equal(0.5))
	})
})

var _ = DescribeTable("wireBytes matches the byte counters of the peer links", func(text string, want int) {
	Expect(wireBytes.FindAllStringSubmatch(text, -1)).To(HaveLen(want))
},
	Entry("both directions", "# TYPE x counter\numberhill_peer_wire_bytes{direction=\"sent\"} 12\numberhill_peer_wire_bytes{direction=\"received\"} 1.5e+06\n", 2),
	Entry("none", "umberhill_peer_bytes{kind=\"sched\"} 12\n", 0),
)

var _ = Describe("Load", func() {
	var (
		target *engine.Engine
		caller *harness.Caller
	)

	BeforeEach(func() {
		target = engine.New(engine.Options{Models: []string{"m"}, TokensPerSecond: 1000, Concurrency: 4})
		web := httptest.NewServer(target)
		caller = harness.NewCaller(strings.TrimPrefix(web.URL, "http://"), "")
		DeferCleanup(func() {
			caller.Close()
			target.Close()
			web.Close()
		})
	})

	flow := func(change func(*Flow)) Flow {
		f := Flow{Workspace: "ws", Callers: []*harness.Caller{caller}, Model: "m", Size: Size{Prompt: 5, Tokens: 3, Hint: 9}}
		change(&f)
		return f
	}

	It("keeps a closed loop's requests in flight and counts their units", func() {
		load := StartLoad(context.Background(), 1, flow(func(f *Flow) { f.InFlight = 8 }))
		Eventually(func() int64 { return load.Tally("ws").Correct.Load() }, 10*time.Second).Should(BeNumerically(">", 20))
		Eventually(func() int { return target.Stats().Waiting }).Should(BeNumerically(">", 0))
		load.Stop()
		done := target.Stats()
		Expect(done.UnitsByTag["ws"]).To(BeNumerically(">=", 20*8))
		Expect(load.Tally("ws").Wrong.Load()).To(BeZero())
	})

	It("sends an open loop's requests at a rate and drops arrivals above MaxInFlight", func() {
		load := StartLoad(context.Background(), 1, flow(func(f *Flow) {
			f.Rate, f.MaxInFlight, f.Stream = 2000, 2, true
		}))
		Eventually(func() int64 { return load.Tally("ws").Correct.Load() }, 10*time.Second).Should(BeNumerically(">", 5))
		Eventually(func() int64 { return load.Tally("ws").Dropped.Load() }, 10*time.Second).Should(BeNumerically(">", 0))
		load.Stop()
	})
})
