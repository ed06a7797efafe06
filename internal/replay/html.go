package replay

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

//go:embed report.html.tmpl
var reportSource string

var reportPage = template.Must(template.New("replay").Parse(reportSource))

// The drawing area of a chart in SVG units.
const (
	barHeight = 16
	barGap    = 6
	chartLeft = 140
	chartWide = 520
)

// report is what the template shows.
type report struct {
	Seed   uint64
	Charts []chart
}

// chart has a bar for each policy; results are those of one pattern.
type chart struct {
	Pattern, About string
	Height         int
	Bars           []bar
	Results        []Result
}

// bar is divided by how requests ended; a line across it marks the worth.
type bar struct {
	Result
	Top, Baseline                 int
	Pieces                        []piece
	WorthX                        float64
	WorthTop, WorthBottom, Height int
}

// piece is a part of a bar; its class is how the requests ended.
type piece struct {
	Class    string
	X, Width float64
	Requests int
}

// WriteHTML writes a self-contained page with a chart and a table for each pattern.
// Results of one pattern must follow each other.
func WriteHTML(out io.Writer, seed uint64, results []Result) error {
	about := make(map[string]string)
	for _, p := range Patterns() {
		about[p.Name] = p.About
	}
	r := report{Seed: seed}
	for _, res := range results {
		if n := len(r.Charts); n == 0 || r.Charts[n-1].Pattern != res.Pattern {
			r.Charts = append(r.Charts, chart{Pattern: res.Pattern, About: about[res.Pattern]})
		}
		r.Charts[len(r.Charts)-1].add(res)
	}
	return errors.Wrap(reportPage.Execute(out, r), "write the report")
}

// overhang is by how much the line of the worth is longer than its bar is high, and
// textRise by how much a label's baseline lies above the bar's end.
const (
	overhang = 2
	textRise = 4
)

func (c *chart) add(r Result) {
	top := len(c.Bars) * (barHeight + barGap)
	c.Bars = append(c.Bars, bar{
		Result: r, Top: top, Height: barHeight, Baseline: top + barHeight - textRise, Pieces: pieces(r),
		WorthX: chartLeft + r.Worth*chartWide, WorthTop: top - overhang, WorthBottom: top + barHeight + overhang,
	})
	c.Results = append(c.Results, r)
	c.Height = top + barHeight + barGap
}

func pieces(r Result) []piece {
	all := []piece{
		{Class: "on-time", Requests: r.OnTime},
		{Class: "late", Requests: r.Late},
		{Class: "refused", Requests: r.Refused},
		{Class: "left", Requests: r.Abandoned},
	}
	x := float64(chartLeft)
	for i := range all {
		all[i].X, all[i].Width = x, float64(all[i].Requests)/float64(max(1, r.Asked))*chartWide
		x += all[i].Width
	}
	return all
}

// Width is for the template.
func (chart) Width() int { return chartLeft + chartWide + barGap }
