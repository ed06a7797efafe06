// Package leavedelay measures, from the logs of a fleet's routers, how long after a target began to
// leave each router still used it.
package leavedelay

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/fleetlog"
	"github.com/umberhill/umberhill/internal/ids"
)

// The messages of the log lines that are read.
const (
	listedMessage   = "target listed"
	goneMessage     = "target gone"
	lostMessage     = "store lost"
	regainedMessage = "store regained"
)

const (
	// maxNamed is the number of routers that are named as the last ones.
	maxNamed = 3
	// contactWindow is how long before the leave the changes of a router's contact with the
	// store are shown: more than the retention of a missing entry.
	contactWindow = 6 * time.Second
	// endSlack is how long before the end of the logs a target need not be dropped.
	endSlack = time.Second
)

// Contact is a change of a router's contact with the store.
type Contact struct {
	// OffsetMS is the time in ms since the first router stopped using the target.
	OffsetMS int64 `json:"offset_ms"`
	// Lost is set if the store was lost, and not set if it was regained.
	Lost bool `json:"lost"`
}

// Reason is what a router's log line says of why it stopped using the target only then.
type Reason struct {
	// Cause says how the router learned that the target leaves; see the line `target gone`.
	Cause string `json:"cause,omitempty"`
	// Source is the store or the peer from which it learned that.
	Source string `json:"source,omitempty"`
	// MissingMS is the time in ms for which it used the target although it knew that the store
	// lacked the entry.
	MissingMS int64 `json:"missing_ms"`
	// MaxDelayMS is the time in ms since its list before was complete: the target has left that
	// long ago at most.
	MaxDelayMS int64 `json:"max_delay_ms"`
}

// Router is when one router stopped using a target.
type Router struct {
	Instance ids.Instance `json:"instance"`
	// DelayMS is the time in ms since the first router stopped using the target.
	DelayMS int64 `json:"delay_ms"`
	Reason
	// Contacts are the changes of its contact with the store from contactWindow before the leave
	// until then.
	Contacts []Contact `json:"contacts,omitempty"`
}

// Leave is the spread of one leave over the fleet.
type Leave struct {
	Target  ids.Target `json:"target"`
	Service string     `json:"service"`
	// FirstAt is when the first router stopped using the target.
	FirstAt time.Time `json:"first_at"`
	// Draining is set if the entry said that the target leaves, and not set if it was removed.
	Draining bool `json:"draining"`
	Routers  int  `json:"routers"`
	// MedianMS, P99MS and LargestMS are delays in ms.
	MedianMS  int64 `json:"median_ms"`
	P99MS     int64 `json:"p99_ms"`
	LargestMS int64 `json:"largest_ms"`
	// Last are the last routers that stopped using it, the last one first.
	Last []Router `json:"last"`
	// Never are the routers that still used it when the logs end, LargestMS after FirstAt.
	Never []ids.Instance `json:"never,omitempty"`
}

// Logs collects what logs say of the targets in use. It may read several logs.
type Logs struct {
	routers map[ids.Instance]*routerLog
	end     time.Time
}

type routerLog struct {
	lifetime fleetlog.Lifetime
	contacts []contact
	uses     map[ids.Target][]use
}

type contact struct {
	at   time.Time
	lost bool
}

// use is a line about a target.
type use struct {
	at       time.Time
	inUse    bool
	draining bool
	service  string
	reason   Reason
}

// Read adds the lines of a log. Other lines are left out.
func (l *Logs) Read(r io.Reader) error { return fleetlog.Scan(r, l.add) }

func (l *Logs) add(line fleetlog.Line) error {
	if line.Time.After(l.end) {
		l.end = line.Time
	}
	router := l.router(line.Instance)
	router.lifetime.Record(line)
	switch line.Message {
	case lostMessage, regainedMessage:
		var fields struct {
			Step string `json:"step"`
		}
		if err := line.Decode(&fields); err != nil {
			return err
		}
		if fields.Step == "watch targets" {
			router.contacts = append(router.contacts, contact{line.Time, line.Message == lostMessage})
		}
	case listedMessage, goneMessage:
		var fields struct {
			Target  ids.Target `json:"target"`
			Service string     `json:"service"`
			Leaving bool       `json:"leaving"`
			Reason
		}
		if err := line.Decode(&fields); err != nil {
			return err
		}
		inUse := line.Message == listedMessage && !fields.Leaving
		router.uses[fields.Target] = append(router.uses[fields.Target], use{line.Time, inUse, fields.Leaving, fields.Service, fields.Reason})
	}
	return nil
}

func (l *Logs) router(i ids.Instance) *routerLog {
	if l.routers == nil {
		l.routers = make(map[ids.Instance]*routerLog)
	}
	if l.routers[i] == nil {
		l.routers[i] = &routerLog{uses: make(map[ids.Target][]use)}
	}
	return l.routers[i]
}

// Leaves returns the spread of each leave, the largest delay first. Routers that did not run at
// its beginning, or stopped soon after it, do not count.
func (l *Logs) Leaves() []Leave {
	ends := make(map[ids.Target][]time.Time)
	for _, r := range l.routers {
		for target, uses := range r.uses {
			for i, u := range uses {
				if i > 0 && uses[i-1].inUse && !u.inUse {
					ends[target] = append(ends[target], u.at)
				}
			}
		}
	}
	var out []Leave
	for target, times := range ends {
		slices.SortFunc(times, time.Time.Compare)
		var first time.Time
		for _, at := range times {
			// A target that most routers have listed since leaves anew.
			if first.IsZero() || l.isListedBetween(target, first, at) {
				first = at
				out = append(out, l.spread(target, first))
			}
		}
	}
	slices.SortFunc(out, func(a, b Leave) int {
		return cmp.Or(cmp.Compare(b.LargestMS, a.LargestMS), a.FirstAt.Compare(b.FirstAt), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// isListedBetween reports whether most routers listed a target as usable after one time and by the
// other.
func (l *Logs) isListedBetween(target ids.Target, after, by time.Time) bool {
	listed, routers := 0, 0
	for _, r := range l.routers {
		uses := r.uses[target]
		if len(uses) == 0 {
			continue
		}
		routers++
		if slices.ContainsFunc(uses, func(u use) bool { return u.inUse && u.at.After(after) && !u.at.After(by) }) {
			listed++
		}
	}
	return 2*listed > routers
}

func (l *Logs) spread(target ids.Target, first time.Time) Leave {
	leave := Leave{Target: target, FirstAt: first}
	var all []Router
	for _, name := range slices.Sorted(maps.Keys(l.routers)) {
		r := l.routers[name]
		end, used := r.endOfUse(target, first)
		switch {
		case !used || !r.lifetime.Counts(first):
		case end == nil:
			if l.end.Sub(first) > endSlack {
				leave.Never = append(leave.Never, name)
			}
		default:
			if end.at.Equal(first) {
				leave.Draining, leave.Service = end.draining, end.service
			}
			all = append(all, Router{
				Instance: name, DelayMS: end.at.Sub(first).Milliseconds(), Reason: end.reason, Contacts: r.contactsBetween(first, end.at),
			})
		}
	}
	if n := len(all); n > 0 {
		slices.SortStableFunc(all, func(a, b Router) int { return cmp.Compare(a.DelayMS, b.DelayMS) })
		leave.Routers, leave.MedianMS, leave.P99MS, leave.LargestMS = n, all[n/2].DelayMS, all[min(n-1, n*99/100)].DelayMS, all[n-1].DelayMS
		leave.Last = slices.Clone(all[max(0, n-maxNamed):])
		slices.Reverse(leave.Last)
	}
	if len(leave.Never) > 0 {
		leave.LargestMS = max(leave.LargestMS, l.end.Sub(first).Milliseconds())
	}
	return leave
}

// endOfUse returns the line with which the router stopped using a target, nil if it has not, and
// whether it used the target when the first router stopped.
func (r *routerLog) endOfUse(target ids.Target, first time.Time) (end *use, used bool) {
	for i, u := range r.uses[target] {
		switch {
		case u.at.Before(first):
			used = u.inUse && !r.lifetime.StartedBetween(u.at, first)
		case used && !u.inUse:
			return &r.uses[target][i], true
		}
	}
	return nil, used
}

// contactsBetween returns the changes of the contact with the store around a leave.
func (r *routerLog) contactsBetween(first, end time.Time) []Contact {
	var out []Contact
	for _, c := range r.contacts {
		if c.at.After(first.Add(-contactWindow)) && !c.at.After(end) {
			out = append(out, Contact{OffsetMS: c.at.Sub(first).Milliseconds(), Lost: c.lost})
		}
	}
	return out
}
