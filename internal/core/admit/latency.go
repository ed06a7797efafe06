package admit

import "time"

const (
	// fitDecay is the weight that each new observation takes off the older
	// ones: about the last hundred count.
	fitDecay = 0.99
	// fitPrior is the weight of the prior in observations.
	fitPrior = 8
	// rateSpread bounds the learned reading rate by the prior's multiple.
	rateSpread = 6
	// priorBase is the time to a first event of an empty prompt until learned.
	priorBase = 20 * time.Millisecond
	// priorRate is the reading rate in tokens per ms where the configuration
	// does not tell the engines' throughput.
	priorRate = 20
	// priorService is the time of a plain service's answer until learned.
	priorService = 30 * time.Millisecond
)

// fit learns time to first event = base + tokens ahead / rate by least squares
// with exponential forgetting.
type fit struct {
	prior               float64 // tokens per ms
	n, x, y, xx, xy     float64
	baseMs, msPerToken  float64
	durationMs, samples float64
}

func newFit(prior float64) *fit {
	if prior <= 0 {
		prior = priorRate
	}
	f := &fit{prior: prior}
	base := float64(priorBase.Milliseconds())
	for _, x := range []float64{0, 2000, 4000, 8000} {
		f.weigh(x, base+x/prior, fitPrior/4)
	}
	f.solve()
	return f
}

func (f *fit) weigh(x, y, w float64) {
	f.n += w
	f.x += w * x
	f.y += w * y
	f.xx += w * x * x
	f.xy += w * x * y
}

// observe takes the tokens that were ahead of a first event, its own included,
// and how long it took.
func (f *fit) observe(tokens int, took time.Duration) {
	for _, p := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*p *= fitDecay
	}
	f.weigh(float64(tokens), float64(took)/float64(time.Millisecond), 1)
	f.solve()
}

func (f *fit) solve() {
	slope := 1 / f.prior
	if d := f.n*f.xx - f.x*f.x; d > 0 {
		slope = (f.n*f.xy - f.x*f.y) / d
	}
	f.msPerToken = min(max(slope, 1/(f.prior*rateSpread)), rateSpread/f.prior)
	f.baseMs = max(0, (f.y-f.msPerToken*f.x)/f.n)
}

// predict returns the expected time to the first event.
func (f *fit) predict(tokens int) time.Duration {
	return time.Duration((f.baseMs + f.msPerToken*float64(tokens)) * float64(time.Millisecond))
}

// tokensIn returns how many tokens are read in a time.
func (f *fit) tokensIn(d time.Duration) int {
	return int(float64(d) / float64(time.Millisecond) / f.msPerToken)
}

// ended takes the whole time that a request was at a target.
func (f *fit) ended(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	f.samples++
	f.durationMs += (ms - f.durationMs) / min(f.samples, 100)
}

// duration is the mean time of a request at a target.
func (f *fit) duration() time.Duration {
	if f.samples == 0 {
		return priorService
	}
	return time.Duration(f.durationMs * float64(time.Millisecond))
}
