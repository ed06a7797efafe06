package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/speed"
)

// A few observations outweigh these priors.
const (
	// modelDecay is the factor applied to the weight of older observations with each
	// new one, so that about the last hundred count.
	modelDecay = 0.99
	// priorWeight is the total weight of the prior, in observations.
	priorWeight = 8
	// maxRateFactor bounds the learned prefill rate to between the prior divided and
	// multiplied by this factor.
	maxRateFactor = 6
	// priorBase is the prior time to the first event for an empty prompt.
	priorBase = 25 * time.Millisecond
	// defaultTokensPerMS is the prior prefill rate in tokens per ms if the
	// configuration does not state the engines' throughput.
	defaultTokensPerMS = 20
	// priorDuration is the expected time of a request at a target before any
	// observation.
	priorDuration = 50 * time.Millisecond
)

// latencyModel estimates, for a target of mean speed, time to first event = base + tokens
// ahead / rate by least squares with exponential forgetting, and the mean duration of requests.
type latencyModel struct {
	priorTokensPerMS float64
	// The weighted sums of the regression, x in tokens and y in ms.
	sumW, sumX, sumY, sumXX, sumXY float64
	baseMS, msPerToken             float64
	meanDurationMS, durationCount  float64
	// gap is the time between two events of a stream, as all routers observe it.
	gap speed.Gap
}

func newLatencyModel(priorTokensPerMS float64) *latencyModel {
	if priorTokensPerMS <= 0 {
		priorTokensPerMS = defaultTokensPerMS
	}
	m := &latencyModel{priorTokensPerMS: priorTokensPerMS}
	base := float64(priorBase.Milliseconds())
	for _, x := range []float64{0, 2000, 4000, 8000} {
		m.addSample(x, base+x/priorTokensPerMS, priorWeight/4)
	}
	m.solve()
	return m
}

func (m *latencyModel) addSample(x, y, w float64) {
	m.sumW += w
	m.sumX += w * x
	m.sumY += w * y
	m.sumXX += w * x * x
	m.sumXY += w * x * y
}

// observe adds an observation: the tokens ahead of a first event, its own prompt
// included, and the time it took.
func (m *latencyModel) observe(tokens int, took time.Duration) {
	for _, p := range []*float64{&m.sumW, &m.sumX, &m.sumY, &m.sumXX, &m.sumXY} {
		*p *= modelDecay
	}
	m.addSample(float64(tokens), float64(took)/float64(time.Millisecond), 1)
	m.solve()
}

func (m *latencyModel) solve() {
	slope := 1 / m.priorTokensPerMS
	if d := m.sumW*m.sumXX - m.sumX*m.sumX; d > 0 {
		slope = (m.sumW*m.sumXY - m.sumX*m.sumY) / d
	}
	m.msPerToken = min(max(slope, 1/(m.priorTokensPerMS*maxRateFactor)), maxRateFactor/m.priorTokensPerMS)
	m.baseMS = max(0, (m.sumY-m.msPerToken*m.sumX)/m.sumW)
}

// predictAt returns the expected time to the first event with the given tokens ahead, at a
// target whose prefill takes longer than the mean by a factor. The rest of the time is mostly load that reports do not show yet. It takes as long at a fast target as
// at a slow one, since the routers balance expected times.
func (m *latencyModel) predictAt(tokens int, factor float64) time.Duration {
	return time.Duration((m.baseMS + m.msPerToken*float64(tokens)*factor) * float64(time.Millisecond))
}

// tokensIn returns the number of tokens prefilled in d.
func (m *latencyModel) tokensIn(d time.Duration) int {
	return int(float64(d) / float64(time.Millisecond) / m.msPerToken)
}

// observeDuration adds the time between the sending of a request and its end to the
// mean.
func (m *latencyModel) observeDuration(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	m.durationCount++
	m.meanDurationMS += (ms - m.meanDurationMS) / min(m.durationCount, 100)
}

// meanDuration returns the mean time of a request at a target.
func (m *latencyModel) meanDuration() time.Duration {
	if m.durationCount == 0 {
		return priorDuration
	}
	return time.Duration(m.meanDurationMS * float64(time.Millisecond))
}
