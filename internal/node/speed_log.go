package node

import (
	"math"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// loggedSpeedChange is the factor by which a target's lasting speed changes between two
	// lines: more than noise, and enough to move its part of the load visibly.
	loggedSpeedChange = 1.2
	// slowFrom and slowUntil are the slowdowns from which a target is logged as slow, and
	// below which as normal again. They differ so that noise makes no lines.
	slowFrom  = 1.5
	slowUntil = 1.2
)

// loggedSpeed is what was last logged of a target.
type loggedSpeed struct {
	lasting float64
	isSlow  bool
}

// speedLog holds what was last logged of each target.
type speedLog map[ids.Target]loggedSpeed

// update records a target's speed and returns its state if that is to be logged, else the
// empty string.
func (l speedLog) update(s admit.SpeedStatus) string {
	last, known := l[s.Target]
	if !known {
		last.lasting = 1
	}
	state := ""
	if math.Abs(math.Log(s.Lasting/last.lasting)) > math.Log(loggedSpeedChange) {
		last.lasting, state = s.Lasting, "speed changed"
	}
	switch {
	case !last.isSlow && s.Slowdown >= slowFrom:
		last.isSlow, state = true, "slow"
	case last.isSlow && s.Slowdown < slowUntil:
		last.isSlow, state = false, "normal"
	}
	l[s.Target] = last
	return state
}

// logSpeeds logs the targets whose lasting speed has changed by more than a fifth, and those
// that became slow or normal.
func (n *Node) logSpeeds(log speedLog) {
	statuses := n.scheduler.Speeds()
	listed := make(map[ids.Target]bool, len(statuses))
	slow, uneven := 0, 0
	for _, s := range statuses {
		listed[s.Target] = true
		if state := log.update(s); state != "" {
			n.logger.WithFields(logrus.Fields{
				"target": s.Target, "service": s.Service, "state": state,
				"speed": rounded(s.Lasting), "slowdown": rounded(s.Slowdown), "observations": rounded(s.Observations),
			}).Info("target speed")
		}
		if log[s.Target].isSlow {
			slow++
		}
		if math.Abs(math.Log(s.Lasting)) > math.Log(loggedSpeedChange) {
			uneven++
		}
	}
	for target := range log {
		if !listed[target] {
			delete(log, target)
		}
	}
	n.scope.Gauge("targets_slow").Update(float64(slow))
	n.scope.Gauge("targets_uneven").Update(float64(uneven))
}
