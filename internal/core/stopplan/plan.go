package stopplan

import "time"

const (
	// startShare is the part of a stop in which attempts start whatever their deadlines are:
	// the first three of eight seconds, in which load balancers may still send requests. The
	// attempt that starts last then has five eighths of the stop for its response.
	startShare = 3.0 / 8
	// answerReserve is the time between the end of requests and that of connections, in which
	// callers get the router's responses.
	answerReserve = 200 * time.Millisecond
)

// Plan is the schedule of a stop. The end of the process cuts what is unfinished, so a request
// is sent to a target only if its response can be expected before.
type Plan struct {
	// LastStart is until when attempts start whatever their deadlines are.
	LastStart time.Time
	// End is when the requests that are unfinished get the router's own response.
	End time.Time
}

// New returns the plan of a stop that begins at a time, accepts new connections for lead and
// closes all connections after limit.
func New(begin time.Time, lead, limit time.Duration) Plan {
	return Plan{
		LastStart: begin.Add(max(lead, time.Duration(startShare*float64(limit)))),
		End:       begin.Add(max(lead, limit-answerReserve)),
	}
}

// MayStart reports whether an attempt may start for a request with a deadline. After LastStart
// it may if the request ends by its deadline before the requests that are unfinished do.
func (p Plan) MayStart(now, deadline time.Time) bool {
	return !now.After(p.LastStart) || !deadline.After(p.End)
}
