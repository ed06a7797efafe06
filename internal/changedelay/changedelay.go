package changedelay

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/fleetlog"
	"github.com/umberhill/umberhill/internal/ids"
)

// inForceMessage is the message of the log lines that are read.
const inForceMessage = "configuration in force"

const (
	// endSlack is how long before the end of the logs a version need not be in force.
	endSlack = time.Second
	// maxNamed is the number of routers that are named as the last ones.
	maxNamed = 3
)

// Router is when a version came into force at one router.
type Router struct {
	Instance ids.Instance `json:"instance"`
	// DelayMS is the time in ms since the version was in force at the first router.
	DelayMS int64 `json:"delay_ms"`
	// Source is the store or the peer from which the router got it.
	Source string `json:"source"`
	// KnownMS is the time in ms for which the router knew that it lacked a version, and
	// MaxDelayMS the time in ms since its configuration before was complete, which is as long
	// as or longer than that since the version was acknowledged.
	KnownMS    int64 `json:"known_ms"`
	MaxDelayMS int64 `json:"max_delay_ms"`
}

// Version is the spread of one version over the fleet.
type Version struct {
	Version uint64 `json:"version"`
	// FirstAt is when the first router had it in force.
	FirstAt time.Time `json:"first_at"`
	Routers int       `json:"routers"`
	// MedianMS, P99MS and LargestMS are delays in ms.
	MedianMS  int64 `json:"median_ms"`
	P99MS     int64 `json:"p99_ms"`
	LargestMS int64 `json:"largest_ms"`
	// FromStore counts the routers that read the version in the store.
	FromStore int `json:"from_store"`
	// Last are the last routers that had it in force, the last one first.
	Last []Router `json:"last"`
	// Never are the routers that had an older version when the logs end, LargestMS after
	// FirstAt or later.
	Never []ids.Instance `json:"never,omitempty"`
}

// Logs collects what logs say of the configuration in force. It may read several logs.
type Logs struct {
	routers map[ids.Instance]*routerLog
	end     time.Time
}

type routerLog struct {
	held     []held
	lifetime fleetlog.Lifetime
}

// held is a version that came into force.
type held struct {
	at      time.Time
	version uint64
	Router
}

// inForceFields are the fields of a line that are used.
type inForceFields struct {
	Version  uint64 `json:"version"`
	Source   string `json:"source"`
	KnownMS  int64  `json:"known_ms"`
	MaxDelay int64  `json:"max_delay_ms"`
}

// Read adds the lines of a log. Other lines are left out.
func (l *Logs) Read(r io.Reader) error { return fleetlog.Scan(r, l.add) }

func (l *Logs) add(line fleetlog.Line) error {
	if line.Time.After(l.end) {
		l.end = line.Time
	}
	router := l.router(line.Instance)
	router.lifetime.Record(line)
	if line.Message != inForceMessage {
		return nil
	}
	var fields inForceFields
	if err := line.Decode(&fields); err != nil {
		return err
	}
	router.held = append(router.held, held{line.Time, fields.Version, Router{
		Instance: line.Instance, Source: fields.Source, KnownMS: fields.KnownMS, MaxDelayMS: fields.MaxDelay,
	}})
	return nil
}

func (l *Logs) router(i ids.Instance) *routerLog {
	if l.routers == nil {
		l.routers = make(map[ids.Instance]*routerLog)
	}
	if l.routers[i] == nil {
		l.routers[i] = new(routerLog)
	}
	return l.routers[i]
}

// Versions returns the spread of each version, in ascending order. Routers that started after
// a version was first in force, or stopped soon after that, do not count.
func (l *Logs) Versions() []Version {
	first := make(map[uint64]time.Time)
	for _, r := range l.routers {
		for _, h := range r.held {
			if at, known := first[h.version]; !known || h.at.Before(at) {
				first[h.version] = h.at
			}
		}
	}
	var out []Version
	for _, version := range slices.Sorted(maps.Keys(first)) {
		if v := l.spread(version, first[version]); v.Routers > 0 {
			out = append(out, v)
		}
	}
	return out
}

func (l *Logs) spread(version uint64, first time.Time) Version {
	v := Version{Version: version, FirstAt: first}
	var all []Router
	for name, r := range l.routers {
		if !r.lifetime.Counts(first) {
			continue
		}
		i := slices.IndexFunc(r.held, func(h held) bool { return h.version >= version })
		if i < 0 {
			if len(r.held) > 0 && l.end.Sub(first) > endSlack {
				v.Never = append(v.Never, name)
			}
			continue
		}
		h := r.held[i]
		h.DelayMS = max(0, h.at.Sub(first).Milliseconds())
		all = append(all, h.Router)
		if h.Source == "store" {
			v.FromStore++
		}
	}
	if len(all) == 0 {
		return v
	}
	slices.SortFunc(all, func(a, b Router) int {
		return cmp.Or(cmp.Compare(a.DelayMS, b.DelayMS), cmp.Compare(a.Instance, b.Instance))
	})
	slices.Sort(v.Never)
	n := len(all)
	v.Routers, v.MedianMS, v.P99MS, v.LargestMS = n, all[n/2].DelayMS, all[min(n-1, n*99/100)].DelayMS, all[n-1].DelayMS
	if len(v.Never) > 0 {
		v.LargestMS = max(v.LargestMS, l.end.Sub(first).Milliseconds())
	}
	v.Last = slices.Clone(all[max(0, n-maxNamed):])
	slices.Reverse(v.Last)
	return v
}
