package obs

import (
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// maxSubjects bounds the subjects whose last state a ChangeLogger keeps.
const maxSubjects = 4096

// ChangeLogger logs changes of state: one line if the state of a subject differs
// from its last one, within a rate limit. It keeps a subject whose state flaps from
// flooding the log. It is safe for concurrent use.
type ChangeLogger struct {
	logger  *logrus.Entry
	limiter *rate.Limiter

	mu         sync.Mutex
	last       map[string]string
	suppressed int
}

// NewChangeLogger returns a ChangeLogger that writes at most perSecond lines per second on
// average and at most burst lines at once.
func NewChangeLogger(logger *logrus.Entry, perSecond float64, burst int) *ChangeLogger {
	return &ChangeLogger{
		logger:  logger,
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		last:    make(map[string]string),
	}
}

// Set records the state of a subject, such as "live" of "peer a2". If the state
// has changed, it logs a line at the given level and returns true. The next line
// after suppressed ones carries their number.
func (c *ChangeLogger) Set(level logrus.Level, subject, state string, fields logrus.Fields) bool {
	c.mu.Lock()
	if c.last[subject] == state {
		c.mu.Unlock()
		return false
	}
	c.recordState(subject, state)
	if !c.limiter.Allow() {
		c.suppressed++
		c.mu.Unlock()
		return true
	}
	suppressed := c.suppressed
	c.suppressed = 0
	c.mu.Unlock()

	entry := c.logger.WithFields(fields).WithField("state", state)
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	entry.Log(level, subject)
	return true
}

// recordState records the state of a subject. It clears the map when that is full, so
// that a subject may be logged once more without a change.
func (c *ChangeLogger) recordState(subject, state string) {
	if len(c.last) >= maxSubjects {
		clear(c.last)
	}
	c.last[subject] = state
}
