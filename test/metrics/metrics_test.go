// Package metrics_test checks docs/METRICS.md against running routers: each metric
// that a router serves has a row there, and each row that says "start" is served
// from the start.
package metrics_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
)

const (
	metricsPage = "../../docs/METRICS.md"
	prefix      = "umberhill_"
	// columns is the number of columns of the table: name, type, unit, labels, since,
	// meaning.
	columns = 6
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

// family is a metric with all its series. isFromStart is set if a router serves the
// metric from its start, before the first event.
type family struct {
	kind        string
	labels      []string
	isFromStart bool
}

func (f family) String() string { return f.kind + " " + strings.Join(f.labels, ",") }

// documentedFamilies returns the metrics in the table of the page, by name.
func documentedFamilies() map[string]family {
	GinkgoHelper()
	text, err := os.ReadFile(metricsPage)
	Expect(err).NotTo(HaveOccurred())
	out := make(map[string]family)
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		name := strings.Trim(strings.TrimSpace(cells[0]), "`")
		if len(cells) != columns || !strings.HasPrefix(name, prefix) {
			continue
		}
		f := family{kind: strings.TrimSpace(cells[1]), isFromStart: strings.TrimSpace(cells[4]) == "start"}
		for label := range strings.SplitSeq(cells[3], ",") {
			if label = strings.Trim(strings.TrimSpace(label), "`"); label != "" {
				f.labels = append(f.labels, label)
			}
		}
		slices.Sort(f.labels)
		out[name] = f
	}
	return out
}

// servedFamilies returns the metrics in text, the exposition format of a router, by name.
func servedFamilies(text string) map[string]family {
	GinkgoHelper()
	out := make(map[string]family)
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 4 && fields[1] == "TYPE" {
			if strings.HasPrefix(fields[2], prefix) {
				out[fields[2]] = family{kind: fields[3]}
			}
			continue
		}
		series, labels, _ := strings.Cut(fields[0], "{")
		f, ok := out[familyName(series, out)]
		if !ok || f.labels != nil {
			continue
		}
		f.labels = labelNames(labels)
		out[familyName(series, out)] = f
	}
	return out
}

// familyName returns the family name of a series. A histogram has several series names.
func familyName(series string, families map[string]family) string {
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if name, cut := strings.CutSuffix(series, suffix); cut && families[name].kind == "histogram" {
			return name
		}
	}
	return series
}

// labelNames returns the sorted label names, without the bucket bound of a histogram.
func labelNames(labels string) []string {
	out := []string{}
	for pair := range strings.SplitSeq(strings.TrimSuffix(labels, "}"), `",`) {
		name, _, ok := strings.Cut(pair, "=")
		if ok && name != "le" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

var _ = It("match docs/METRICS.md", func(ctx context.Context) {
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	fleet, err := harness.Start(ctx, binaries, harness.Spec{Domains: []harness.Domain{{
		Name: "a", Routers: 2,
		Engines:  []harness.Engine{{Models: []string{"m"}}},
		Services: []harness.Service{{Name: "svc"}},
	}}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
	rows := documentedFamilies()
	checkRows(ctx, fleet, rows)
	sendRequests(ctx, fleet)
	checkRows(ctx, fleet, rows)
})

// sendRequests sends requests, so that the routers also serve the metrics that they
// serve only after a first event.
func sendRequests(ctx context.Context, fleet *harness.Fleet) {
	for _, r := range fleet.Routers {
		caller := r.Caller("ws")
		caller.Complete(ctx, harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: 3, Stream: true})
		caller.Complete(ctx, harness.CompletionRequest{Model: "none", Prompt: "p"})
		caller.Call(ctx, http.MethodPost, "svc", "/x", fmt.Sprint("key-", r.ID), []byte("{}"))
		caller.Close()
	}
}

// checkRows compares the metrics that each router serves with rows.
func checkRows(ctx context.Context, fleet *harness.Fleet, rows map[string]family) {
	GinkgoHelper()
	for _, r := range fleet.Routers {
		text, err := r.Metrics(ctx)
		Expect(err).NotTo(HaveOccurred())
		found := servedFamilies(text)
		for name, f := range found {
			row, ok := rows[name]
			Expect(ok).To(BeTrue(), "%s (%s) has no row in %s", name, f, metricsPage)
			Expect(f.kind).To(Equal(row.kind), name)
			Expect(f.labels).To(HaveExactElements(row.labels), "labels of %s", name)
		}
		for name, row := range rows {
			if row.isFromStart {
				Expect(found).To(HaveKey(name))
			}
		}
	}
}
