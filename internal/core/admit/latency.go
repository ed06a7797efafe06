package admit

import "time"

// Untuned first values: priors that a few requests replace.
const (
	// modelDecay is the weight that each new observation takes off the older
	// ones: about the last hundred count.
	modelDecay = 0.99
	// modelPrior is the weight of the prior in observations.
	modelPrior = 8
	// rateSpread bounds the learned reading rate by the prior's multiple.
	rateSpread = 6
	// priorBase is the time to a first event of an empty prompt until learned.
	priorBase = 25 * time.Millisecond
	// priorRate is the reading rate in tokens per ms where the configuration
	// does not tell the engines' throughput.
	priorRate = 20
	// priorService is the time of a plain service's answer until learned.
	priorService = 50 * time.Millisecond
)

// latencyModel learns time to first event = base + tokens ahead / rate by least squares
// with exponential forgetting.
type latencyModel struct {
	prior               float64 // tokens per ms
	n, x, y, xx, xy     float64
	baseMs, msPerToken  float64
	durationMs, samples float64
}

func newLatencyModel(prior float64) *latencyModel {
	if prior <= 0 {
		prior = priorRate
	}
	f := &latencyModel{prior: prior}
	base := float64(priorBase.Milliseconds())
	for _, x := range []float64{0, 2000, 4000, 8000} {
		f.weigh(x, base+x/prior, modelPrior/4)
	}
	f.solve()
	return f
}

func (f *latencyModel) weigh(x, y, w float64) {
	f.n += w
	f.x += w * x
	f.y += w * y
	f.xx += w * x * x
	f.xy += w * x * y
}

// observe takes the tokens that were ahead of a first event, its own included,
// and how long it took.
func (f *latencyModel) observe(tokens int, took time.Duration) {
	for _, p := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*p *= modelDecay
	}
	f.weigh(float64(tokens), float64(took)/float64(time.Millisecond), 1)
	f.solve()
}

func (f *latencyModel) solve() {
	slope := 1 / f.prior
	if d := f.n*f.xx - f.x*f.x; d > 0 {
		slope = (f.n*f.xy - f.x*f.y) / d
	}
	f.msPerToken = min(max(slope, 1/(f.prior*rateSpread)), rateSpread/f.prior)
	f.baseMs = max(0, (f.y-f.msPerToken*f.x)/f.n)
}

// predict returns the expected time to the first event.
func (f *latencyModel) predict(tokens int) time.Duration {
	return time.Duration((f.baseMs + f.msPerToken*float64(tokens)) * float64(time.Millisecond))
}

// tokensIn returns how many tokens are read in a time.
func (f *latencyModel) tokensIn(d time.Duration) int {
	return int(float64(d) / float64(time.Millisecond) / f.msPerToken)
}

// ended takes the whole time that a request was at a target.
func (f *latencyModel) ended(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	f.samples++
	f.durationMs += (ms - f.durationMs) / min(f.samples, 100)
}

// duration is the mean time of a request at a target.
func (f *latencyModel) duration() time.Duration {
	if f.samples == 0 {
		return priorService
	}
	return time.Duration(f.durationMs * float64(time.Millisecond))
}
