package burn

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// The drawing area of a plot in SVG units.
const (
	plotWidth  = 760
	plotHeight = 220
	plotLeft   = 64
	plotRight  = 40
	plotTop    = 12
	plotBottom = 28
	plotTicks  = 4
	plotSpan   = time.Hour
)

var lineColours = [...]string{
	"#1b6ca8", "#c4501b", "#2f8f4e", "#8a4fa3", "#b8860b", "#00868b", "#a83250", "#555555",
}

// plot is a line chart of the last hour.
type plot struct {
	Title, Unit string
	// Top is the least value at the upper end of the value axis; a larger value of a line
	// extends the axis.
	Top    float64
	Lines  []plotLine
	YTicks []plotTick
	XTicks []plotTick
	Empty  bool
}

type plotLine struct {
	Name, Colour, Path string
	Markers            []marker
	points             []Point
}

type marker struct{ X, Y string }

type plotTick struct {
	At    float64
	Label string
}

// The methods below give the template the plot's dimensions and coordinates in SVG units.
func (plot) Width() int      { return plotWidth }
func (plot) Height() int     { return plotHeight }
func (plot) Left() int       { return plotLeft }
func (plot) Right() int      { return plotWidth - plotRight }
func (plot) Bottom() int     { return plotHeight - plotBottom }
func (plot) TopEdge() int    { return plotTop }
func (plot) LabelY() int     { return plotHeight - 8 }
func (plot) TickLabelX() int { return plotLeft - 6 }

func (p *plot) addLine(name string, points []Point) {
	colour := lineColours[len(p.Lines)%len(lineColours)]
	p.Lines = append(p.Lines, plotLine{Name: name, Colour: colour, points: points})
}

// layout computes the paths of all lines and the ticks of both axes; the time axis ends
// at now.
func (p *plot) layout(now time.Time) {
	p.Empty = true
	top := p.Top
	for _, l := range p.Lines {
		for _, pt := range l.points {
			top = max(top, pt.Value)
			p.Empty = false
		}
	}
	top = roundUp(top)
	from := p.axisStart(now)
	for i := range p.Lines {
		p.Lines[i].draw(from, now, top)
	}
	p.addTicks(from, now, top)
}

// axisStart returns the start of the time axis: the time of the earliest point, but at
// least a minute and at most plotSpan before now.
func (p *plot) axisStart(now time.Time) time.Time {
	first := now.Add(-time.Minute)
	for _, l := range p.Lines {
		for _, pt := range l.points {
			if at := time.Unix(pt.At, 0); at.Before(first) {
				first = at
			}
		}
	}
	if earliest := now.Add(-plotSpan); first.Before(earliest) {
		return earliest
	}
	return first
}

func (l *plotLine) draw(from, now time.Time, top float64) {
	var path strings.Builder
	for _, pt := range l.points {
		at := time.Unix(pt.At, 0)
		if at.Before(from) {
			continue
		}
		x, y := scaleX(at, from, now), scaleY(pt.Value, top)
		command := "L"
		if path.Len() == 0 {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%.1f %.1f ", command, x, y)
		l.Markers = append(l.Markers, marker{fmt.Sprintf("%.1f", x), fmt.Sprintf("%.1f", y)})
	}
	l.Path = path.String()
	// A path of a single point is invisible and needs a marker; longer paths don't.
	if len(l.Markers) > 1 {
		l.Markers = nil
	}
}

func (p *plot) addTicks(from, now time.Time, top float64) {
	for i := range plotTicks + 1 {
		share := float64(i) / plotTicks
		p.YTicks = append(p.YTicks, plotTick{At: scaleY(share*top, top), Label: formatValue(share * top)})
		at := from.Add(time.Duration(share * float64(now.Sub(from))))
		p.XTicks = append(p.XTicks, plotTick{At: scaleX(at, from, now), Label: at.UTC().Format("15:04:05")})
	}
}

func scaleX(at, from, now time.Time) float64 {
	share := min(1, at.Sub(from).Seconds()/now.Sub(from).Seconds())
	return plotLeft + share*(plotWidth-plotLeft-plotRight)
}

func scaleY(value, top float64) float64 {
	return plotHeight - plotBottom - value/top*(plotHeight-plotTop-plotBottom)
}

// roundUp returns the least number of the form 1, 2 or 5 times a power of ten that is
// not less than v.
func roundUp(v float64) float64 {
	if v <= 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 1
	}
	scale := math.Pow(10, math.Floor(math.Log10(v)))
	for _, step := range []float64{1, 2, 5} {
		if v <= step*scale {
			return step * scale
		}
	}
	return 10 * scale
}

func formatValue(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3gk", v/1e3)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
