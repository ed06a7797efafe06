package fairness

import (
	"cmp"
	"math"
	"slices"

	"github.com/umberhill/umberhill/internal/ids"
)

// Window is the number of seconds over which workspaces are compared.
const Window = 6

// Usage is what one workspace requested and received in one second. Sizes are in tokens, a
// generated token counts twice.
type Usage struct {
	Requested, Started float64
	// Denied is set if a request was refused, abandoned or late.
	Denied bool
}

// Series is the usage of workspaces by second.
type Series map[ids.Workspace][]Usage

// At returns the usage of a workspace in a second, which is at least 0.
func (s Series) At(ws ids.Workspace, second int) *Usage {
	for len(s[ws]) <= second {
		s[ws] = append(s[ws], Usage{})
	}
	return &s[ws][second]
}

// MostStarted returns the most that was started for one workspace in each second.
func (s Series) MostStarted() []float64 {
	var most []float64
	for _, usage := range s {
		for i, u := range usage {
			if i == len(most) {
				most = append(most, 0)
			}
			most[i] = max(most[i], u.Started)
		}
	}
	return most
}

// Margin is the Window in which a workspace received the least part of what it was due.
type Margin struct {
	Workspace ids.Workspace `json:"workspace"`
	// From is the first second of the window.
	From int `json:"from"`
	// Ratio is Started, plus what is tolerated, over Due.
	Ratio float64 `json:"ratio"`
	// Due sums up for each second what the workspace requested, or what was started for the
	// best served one if that is less.
	Requested float64 `json:"requested_tokens"`
	Started   float64 `json:"started_tokens"`
	Due       float64 `json:"due_tokens"`
}

// Margins returns the margin of each workspace that was denied requests in each second of a
// whole window, the least ratio first. A workspace may lack tolerated tokens.
func (s Series) Margins(tolerated float64) []Margin {
	most := s.MostStarted()
	var margins []Margin
	for ws, usage := range s {
		least := Margin{Workspace: ws, Ratio: math.Inf(1)}
		for from := 0; from+Window <= len(usage); from++ {
			m := Margin{Workspace: ws, From: from}
			denied := true
			for i, u := range usage[from : from+Window] {
				m.Requested += u.Requested
				m.Started += u.Started
				m.Due += math.Min(u.Requested, most[from+i])
				denied = denied && u.Denied
			}
			if m.Ratio = (m.Started + tolerated) / m.Due; denied && m.Due > 0 && m.Ratio < least.Ratio {
				least = m
			}
		}
		if least.Due > 0 {
			margins = append(margins, least)
		}
	}
	slices.SortFunc(margins, func(a, b Margin) int {
		return cmp.Or(cmp.Compare(a.Ratio, b.Ratio), cmp.Compare(a.Workspace, b.Workspace))
	})
	return margins
}
