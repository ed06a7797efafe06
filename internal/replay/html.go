package replay

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

//go:embed report.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("replay").Parse(pageSource))

// The drawing area of a chart in SVG units.
const (
	barHeight  = 16
	barGap     = 6
	chartLeft  = 140
	chartWidth = 520
)

// pageData is the input of the page's template.
type pageData struct {
	Seed   uint64
	Charts []chart
}

// chart shows the results of one pattern with a bar for each policy.
type chart struct {
	Pattern, Description string
	Height               int
	Bars                 []bar
	Results              []Result
}

// bar is the bar of one policy. It is divided into segments by the outcome of the
// requests; a line across it marks the worth.
type bar struct {
	Result
	Top, Baseline                 int
	Segments                      []segment
	WorthX                        float64
	WorthTop, WorthBottom, Height int
}

// segment is a part of a bar; its CSS class names the outcome of the requests.
type segment struct {
	Class    string
	X, Width float64
	Requests int
}

// WriteHTML writes a self-contained page with a chart and a table for each pattern.
// The results of one pattern must be adjacent.
func WriteHTML(out io.Writer, seed uint64, results []Result) error {
	descriptions := make(map[string]string)
	for _, p := range Patterns() {
		descriptions[p.Name] = p.Description
	}
	r := pageData{Seed: seed}
	for _, res := range results {
		if n := len(r.Charts); n == 0 || r.Charts[n-1].Pattern != res.Pattern {
			r.Charts = append(r.Charts, chart{Pattern: res.Pattern, Description: descriptions[res.Pattern]})
		}
		r.Charts[len(r.Charts)-1].add(res)
	}
	return errors.Wrap(pageTemplate.Execute(out, r), "write replay report")
}

// worthLineOverhang is the length by which the line of the worth extends beyond its bar
// at each end. labelBaselineOffset is the distance of a label's baseline above the bar's
// lower edge. Both are in SVG units.
const (
	worthLineOverhang   = 2
	labelBaselineOffset = 4
)

func (c *chart) add(r Result) {
	top := len(c.Bars) * (barHeight + barGap)
	c.Bars = append(c.Bars, bar{
		Result: r, Top: top, Height: barHeight, Baseline: top + barHeight - labelBaselineOffset, Segments: newSegments(r),
		WorthX: chartLeft + r.Worth*chartWidth, WorthTop: top - worthLineOverhang, WorthBottom: top + barHeight + worthLineOverhang,
	})
	c.Results = append(c.Results, r)
	c.Height = top + barHeight + barGap
}

func newSegments(r Result) []segment {
	segments := []segment{
		{Class: "on-time", Requests: r.OnTime},
		{Class: "late", Requests: r.Late},
		{Class: "refused", Requests: r.Refused},
		{Class: "left", Requests: r.Abandoned},
	}
	x := float64(chartLeft)
	for i := range segments {
		segments[i].X, segments[i].Width = x, float64(segments[i].Requests)/float64(max(1, r.Requests))*chartWidth
		x += segments[i].Width
	}
	return segments
}

// Width returns the width of the chart in SVG units; the template calls it.
func (chart) Width() int { return chartLeft + chartWidth + barGap }
