package targetlimit

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// fleetPeer is the peer to which the sum over all other routers is attributed.
const fleetPeer ids.Instance = "the fleet"

// Report is what one router, or several together, have heard of the limit of a run, and
// what they send to it.
type Report struct {
	Run Run
	// PerSecond is the rate that a response named NamedAge ago, 0 for none. BySuccess is set
	// if a successful response has named one.
	PerSecond float64
	NamedAge  time.Duration
	BySuccess bool
	// UnnamedAge is the age of the last response that named no limit. It is used only if
	// IsUnnamed is set.
	IsUnnamed  bool
	UnnamedAge time.Duration
	// Sent is the number of requests sent, each decayed with its age as of the report.
	Sent float64
}

// LocalReport returns what this router has heard itself, and what it sends.
func (l *Limiter) LocalReport(now time.Time) []Report {
	l.expire(now)
	var out []Report
	l.reportedDemand = l.OwnDemand(now)
	for run, lim := range l.limits {
		lim.reportedSent = lim.sent
		r := Report{Run: run, Sent: lim.sent.get(now, sentWindow)}
		if !lim.heard.namedAt.IsZero() {
			r.PerSecond, r.NamedAge, r.BySuccess = lim.heard.perSecond, now.Sub(lim.heard.namedAt), lim.heard.bySuccess
		}
		if !lim.heard.unnamedAt.IsZero() {
			r.IsUnnamed, r.UnnamedAge = true, now.Sub(lim.heard.unnamedAt)
		}
		if r.PerSecond > 0 || r.IsUnnamed || r.Sent >= minReportedSent {
			out = append(out, r)
		}
	}
	return out
}

// minReportedSent is the least number of sent requests that is reported.
const minReportedSent = 0.01

// ApplyPeerReport replaces what is known of a peer.
func (l *Limiter) ApplyPeerReport(now time.Time, name ids.Instance, reports []Report, demand Demand) {
	delete(l.tracker.byName, fleetPeer)
	l.apply(now, name, reports, demand)
}

// ApplyFleetReport replaces what is known of all other routers. The reports are sums over
// the fleet, this router's last report included.
func (l *Limiter) ApplyFleetReport(now time.Time, reports []Report, demand Demand) {
	for i := range reports {
		if lim := l.limits[reports[i].Run]; lim != nil {
			reports[i].Sent = max(0, reports[i].Sent-lim.reportedSent.get(now, sentWindow))
		}
	}
	demand.Visible = max(0, demand.Visible-l.reportedDemand)
	for name := range l.tracker.byName {
		if name != fleetPeer {
			delete(l.tracker.byName, name)
		}
	}
	l.apply(now, fleetPeer, reports, demand)
}

func (l *Limiter) apply(now time.Time, name ids.Instance, reports []Report, demand Demand) {
	l.tracker.Record(now, name, demand)
	for _, lim := range l.limits {
		delete(lim.peersSent, name)
	}
	for _, r := range reports {
		s := r.stated(now)
		if _, limited := s.perSecondAt(now); l.limits[r.Run] == nil && !limited {
			continue
		}
		lim := l.limit(r.Run)
		lim.stated.merge(s)
		lim.peersSent[name] = r.Sent
	}
}

// stated returns what the report says.
func (r *Report) stated(now time.Time) stated {
	s := stated{perSecond: r.PerSecond, bySuccess: r.BySuccess}
	if r.PerSecond > 0 {
		s.namedAt = now.Add(-r.NamedAge)
	}
	if r.IsUnnamed {
		s.recordUnnamed(now.Add(-r.UnnamedAge))
	}
	return s
}

// Aged returns the report as of a later time. Until then the sender is taken to have sent
// as many requests as before.
func (r Report) Aged(age time.Duration) Report {
	r.NamedAge += age
	r.UnnamedAge += age
	return r
}

// Sum returns the sum of reports: for each run the latest statements and the requests that
// all have sent.
func Sum(reports []Report) []Report {
	index := make(map[Run]int, len(reports))
	var out []Report
	for _, r := range reports {
		i, ok := index[r.Run]
		if !ok {
			index[r.Run] = len(out)
			out = append(out, r)
			continue
		}
		out[i].add(r)
	}
	return out
}

func (r *Report) add(o Report) {
	if o.PerSecond > 0 && (r.PerSecond == 0 || o.NamedAge < r.NamedAge) {
		r.PerSecond, r.NamedAge = o.PerSecond, o.NamedAge
	}
	if o.IsUnnamed && (!r.IsUnnamed || o.UnnamedAge < r.UnnamedAge) {
		r.IsUnnamed, r.UnnamedAge = true, o.UnnamedAge
	}
	r.BySuccess = r.BySuccess || o.BySuccess
	r.Sent += o.Sent
}
