package admit

import "time"

const (
	// chunkTokens is the largest number of prompt tokens that an engine prefills between two
	// steps of the streams that run beside. It is the usual default of engines; the
	// configuration does not state it.
	chunkTokens = 1024
	// tolerablePauseShare is the fraction of the gap objective up to which the prefill of a
	// prompt makes no running stream late. The rest is for the streams' own steps and for
	// prompts that the reports do not show yet.
	tolerablePauseShare = 0.5
	// latePausePenalty is the cost of making one running stream late. A fraction of an
	// objective, since streams that end before the prefill begins, or are late already, are
	// counted too.
	latePausePenalty = 100 * time.Millisecond
)

// pauseAt returns how long the prefill of prompt tokens delays the next event of a stream that
// runs at an engine with the given slowness. Engines prefill in chunks, so that a stream has
// waited for one chunk a step by the time of its event.
func (s *service) pauseAt(tokens int, slowness float64) time.Duration {
	if perEvent := s.conf.Engine.TokensPerEvent; perEvent > 0 {
		tokens = min(tokens, perEvent*chunkTokens)
	}
	return time.Duration(float64(tokens) * s.latency.msPerToken * slowness * float64(time.Millisecond))
}

// pauseCost returns the cost of the delay that a prompt causes to the streams that run at an
// engine. It keeps long prompts away from engines at which they would make others late: slow
// ones, and those with many streams.
func (s *service) pauseCost(tokens, running int, slowness float64) time.Duration {
	objective := s.shortestGapObjective.duration
	if objective <= 0 || running == 0 {
		return 0
	}
	use := float64(s.pauseAt(tokens, slowness)) / float64(objective)
	risk := min(max((use-tolerablePauseShare)/(1-tolerablePauseShare), 0), 1)
	return time.Duration(risk * float64(running) * float64(latePausePenalty))
}
