package fairness

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/explain"
	"github.com/umberhill/umberhill/internal/ids"
)

// The messages of the log lines that are read.
const (
	workspaceLoadMessage = "workspace load"
	routerLoadMessage    = "router load"
)

// Logs collects what the logs of a fleet's routers say of its load. Each router logs its load
// once a second, for the workspaces that requested most.
type Logs struct {
	routers    map[logKey]RouterLoad
	workspaces []workspaceLine
	first      time.Time
}

type logKey struct {
	instance ids.Instance
	at       time.Time
}

// workspaceLine is what one router did for one workspace in one second.
type workspaceLine struct {
	at                 time.Time
	instance           ids.Instance
	workspace          ids.Workspace
	requests           int
	requested, started float64
	refused            map[string]int
}

// RouterLoad is what one router did in one second.
type RouterLoad struct {
	Instance ids.Instance `json:"instance"`
	// Requests counts those of the workspace, Started the tokens of those that started.
	Requests int     `json:"requests"`
	Started  float64 `json:"started_tokens"`
	// RefusedShare is the share of all requests that the router refuses for its own load, and
	// DelayMS the delay in ms with which its goroutines run.
	RefusedShare float64 `json:"refused_share"`
	DelayMS      float64 `json:"delay_ms"`
	// Diverts is set if the router is not ready for its load, Accepted counts connections.
	Diverts  bool `json:"diverts"`
	Accepted int  `json:"accepted_connections"`
}

// Second is what happened to a workspace in one second.
type Second struct {
	Second    int            `json:"second"`
	At        time.Time      `json:"at"`
	Requested float64        `json:"requested_tokens"`
	Started   float64        `json:"started_tokens"`
	Most      float64        `json:"most_started_tokens"`
	Refused   map[string]int `json:"refused"`
	// Routers are those that the workspace used, that with the most requests first.
	Routers []RouterLoad `json:"routers"`
}

// Read adds the lines of a log.
func (l *Logs) Read(r io.Reader) error {
	return explain.ScanLog(r, []string{workspaceLoadMessage, routerLoadMessage}, l.add)
}

func (l *Logs) add(line explain.Line) {
	switch line.Message {
	case routerLoadMessage:
		if l.routers == nil {
			l.routers = make(map[logKey]RouterLoad)
		}
		diverts, _ := line.Fields["diverts"].(bool)
		l.routers[logKey{ids.Instance(line.Instance), line.At.Truncate(time.Second)}] = RouterLoad{
			RefusedShare: number(line, "refuse_share"), DelayMS: number(line, "sched_delay_ms"),
			Diverts: diverts, Accepted: int(number(line, "caller_conns_accepted")),
		}
	case workspaceLoadMessage:
		ws, _ := line.Fields["workspace"].(string)
		w := workspaceLine{
			at: line.At, instance: ids.Instance(line.Instance), workspace: ids.Workspace(ws), requests: int(number(line, "requests")),
			requested: number(line, "requested_tokens"), started: number(line, "started_tokens"), refused: make(map[string]int),
		}
		reasons, _ := line.Fields["refused"].(map[string]any)
		for reason, count := range reasons {
			n, _ := count.(float64)
			w.refused[reason] = int(n)
		}
		l.workspaces = append(l.workspaces, w)
		if l.first.IsZero() || w.at.Before(l.first) {
			l.first = w.at
		}
	}
}

// number returns a field that holds a number, 0 if there is none.
func number(line explain.Line, field string) float64 {
	n, _ := line.Fields[field].(float64)
	return n
}

// start is the beginning of second 0.
func (l *Logs) start() time.Time { return l.first.Truncate(time.Second) }

func (l *Logs) secondOf(at time.Time) int { return int(at.Sub(l.start()) / time.Second) }

// Start returns when second 0 begins, and false if no line was read.
func (l *Logs) Start() (time.Time, bool) { return l.start(), len(l.workspaces) > 0 }

// Series returns the usage by second. Requests that callers repeat count again. The last
// second is left out, since some routers may not have logged it.
func (l *Logs) Series() Series {
	series := make(Series)
	last := 0
	for _, w := range l.workspaces {
		last = max(last, l.secondOf(w.at))
	}
	for _, w := range l.workspaces {
		if second := l.secondOf(w.at); second < last {
			u := series.At(w.workspace, second)
			u.Requested += w.requested
			u.Started += w.started
			u.Denied = u.Denied || len(w.refused) > 0
		}
	}
	return series
}

// Seconds returns what happened to a workspace in each second in which it had requests.
func (l *Logs) Seconds(ws ids.Workspace) []Second {
	series := l.Series()
	most := series.MostStarted()
	seconds := make(map[int]*Second)
	routers := make(map[int]map[ids.Instance]*RouterLoad)
	for _, w := range l.workspaces {
		i := l.secondOf(w.at)
		if w.workspace != ws || i >= len(most) {
			continue
		}
		if seconds[i] == nil {
			usage := series.At(ws, i)
			seconds[i] = &Second{
				Second: i, At: l.start().Add(time.Duration(i) * time.Second), Requested: usage.Requested, Started: usage.Started,
				Most: most[i], Refused: make(map[string]int),
			}
			routers[i] = make(map[ids.Instance]*RouterLoad)
		}
		for reason, n := range w.refused {
			seconds[i].Refused[reason] += n
		}
		load := routers[i][w.instance]
		if load == nil {
			of := l.routers[logKey{w.instance, w.at.Truncate(time.Second)}]
			load = &of
			load.Instance = w.instance
			routers[i][w.instance] = load
		}
		load.Requests += w.requests
		load.Started += w.started
	}
	out := make([]Second, 0, len(seconds))
	for _, i := range slices.Sorted(maps.Keys(seconds)) {
		for _, load := range routers[i] {
			seconds[i].Routers = append(seconds[i].Routers, *load)
		}
		slices.SortFunc(seconds[i].Routers, func(a, b RouterLoad) int {
			return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Instance, b.Instance))
		})
		out = append(out, *seconds[i])
	}
	return out
}
