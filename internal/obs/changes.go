package obs

import (
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// maxChangeKeys bounds the subjects that a Changes remembers.
const maxChangeKeys = 4096

// Changes logs changes of state: a line only where the state of a subject
// differs from the last, and no more lines than a rate allows.
type Changes struct {
	logger  *logrus.Entry
	limiter *rate.Limiter

	mu         sync.Mutex
	last       map[string]string
	suppressed int
}

// NewChanges returns a Changes that writes at most perSecond lines a second in
// the mean and burst at a time.
func NewChanges(logger *logrus.Entry, perSecond float64, burst int) *Changes {
	return &Changes{
		logger:  logger,
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		last:    make(map[string]string),
	}
}

// Set tells the state of a subject, such as "peer a2" and "live". It logs a
// line at the level where the state is new, and tells whether it was new. The
// next line after suppressed ones carries their number.
func (c *Changes) Set(level logrus.Level, subject, state string, fields logrus.Fields) bool {
	c.mu.Lock()
	if c.last[subject] == state {
		c.mu.Unlock()
		return false
	}
	c.remember(subject, state)
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

// remember keeps the map bounded; a forgotten subject logs one line more.
func (c *Changes) remember(subject, state string) {
	if len(c.last) >= maxChangeKeys {
		clear(c.last)
	}
	c.last[subject] = state
}
