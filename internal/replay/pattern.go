package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// RequestKind describes one class of requests in a pattern.
type RequestKind struct {
	Name string
	// RequestsPerSecond is the arrival rate at the pattern's full load.
	RequestsPerSecond float64
	// Subjects is the number of distinct subjects. The prompts of a subject begin with
	// the same SharedTokens tokens, followed by about UniqueTokens tokens of their own.
	Subjects                   int
	SharedTokens, UniqueTokens int
	OutputTokens               int
	FirstTokenObjective        time.Duration
	Deadline                   time.Duration
}

// Pattern is a load on a simulated fleet; the seed of a simulation determines its requests.
type Pattern struct {
	Name string
	// Description states the load in a few words.
	Description string
	Duration    time.Duration
	Routers     int
	Engines     int
	Workspaces  int
	Spec        EngineSpec
	Kinds       []RequestKind
	// LoadFactor returns the share of the full rate at a time since the start.
	LoadFactor func(at time.Duration) float64
	// FloodFactor returns the factor by which the first workspace's rate is multiplied
	// at a time since the start; nil stands for 1.
	FloodFactor func(at time.Duration) float64
	// RateFactor returns the factor by which a workspace's rate is multiplied at a time
	// since the start; nil stands for 1.
	RateFactor func(workspace int, at time.Duration) float64
	// HotSubjectShare is the share of a kind's requests, 0 to 1, that have the same subject.
	HotSubjectShare float64
	// IsDown reports whether an engine is down at a time since the start; nil stands for never.
	IsDown func(engine int, at time.Duration) bool
	// Slowdown returns the factor by which an engine is slower than its speed at a time since
	// the start; nil stands for 1.
	Slowdown func(engine int, at time.Duration) float64
	// TurnsAway reports whether an engine turns requests away at a time since the start,
	// and says that it wants none for RetryAfter; nil stands for never.
	TurnsAway func(engine int, at time.Duration) bool
	// RetryAfter is the time that engines state when they turn requests away, 0 for none.
	RetryAfter time.Duration
	// Limit returns the requests per second that an engine names as its limit in responses
	// at a time since the start, 0 for none; nil stands for none.
	Limit func(engine int, at time.Duration) float64
	// RoutersReached returns the number of routers to which a workspace's callers are
	// connected; nil stands for all.
	RoutersReached func(workspace int) int
	// ReportInterval is the time between two load reports of a router, 0 for the default.
	ReportInterval time.Duration
	// ReportDelay is the time until a router's load report arrives at the others.
	ReportDelay time.Duration
	// ReportsAreSummed is set if each router gets the sum of all reports, as through hubs,
	// instead of each report.
	ReportsAreSummed bool
	// HubLostAt is when the sums of the engines' speeds are lost with their hub, and
	// RouterRestartsAt when the first router restarts without its state; 0 stands for never.
	HubLostAt, RouterRestartsAt time.Duration
	// SpeedsLostFrom and SpeedsLostTo bound the time in which no report of speeds arrives.
	SpeedsLostFrom, SpeedsLostTo time.Duration
	// Domains is the number of failure domains, over which routers and engines are spread
	// evenly; 0 stands for 1.
	Domains int
	// FirstDomainShare is the share of the requests, 0 to 1, whose callers are in the first
	// domain; 0 stands for an even part.
	FirstDomainShare float64
	// EventGapObjective bounds the pauses between the events of a stream that is on time.
	EventGapObjective time.Duration
	// TokensPerSecond is the configured capacity of all engines together.
	TokensPerSecond float64
}

// request is a request of a simulated caller.
type request struct {
	admit.Request
	kind           *RequestKind
	arrivedAt      time.Duration // arrival of the first attempt, since the start
	router         int
	routersReached int // the caller is connected to the routers before this one
	attempts       int
	isFirstAttempt bool
}

func (r *request) totalTokens() int { return r.PromptTokens + r.OutputTokens }

const (
	second = time.Second
	// patternDuration is the duration of each pattern.
	patternDuration = 30 * second
	// uniqueTokensSigma is the sigma of the log-normal distribution of unique tokens.
	uniqueTokensSigma = 0.8
)

// requestKinds returns the kinds of requests of all patterns. Their values are round
// numbers that apply to this model only: long prompts, long responses and short
// questions compete for the engines, and shared prompt parts affect the result.
func requestKinds() []RequestKind {
	return []RequestKind{
		{Name: "report", RequestsPerSecond: 30, Subjects: 80, SharedTokens: 4000, UniqueTokens: 5000, OutputTokens: 400, FirstTokenObjective: second, Deadline: 20 * second},
		{Name: "dialogue", RequestsPerSecond: 75, Subjects: 100, SharedTokens: 250, UniqueTokens: 700, OutputTokens: 300, FirstTokenObjective: 350 * time.Millisecond, Deadline: 12 * second},
		{Name: "question", RequestsPerSecond: 50, Subjects: 120, SharedTokens: 600, UniqueTokens: 1500, OutputTokens: 25, FirstTokenObjective: 500 * time.Millisecond, Deadline: 4 * second},
	}
}

// newPattern returns a pattern of six routers and eight engines at 0.6 of the full
// rate. The full rate is about the capacity of the engines while few shared prompt
// parts are prefilled repeatedly.
func newPattern(name, description string) Pattern {
	return Pattern{
		Name: name, Description: description, Duration: patternDuration, Routers: 6, Engines: 8, Workspaces: 12, Kinds: requestKinds(),
		Spec: EngineSpec{
			Slots: 48, MemoryTokens: 500_000, StepTime: 5 * time.Millisecond, StepTimePerRequest: 30 * time.Microsecond,
			PromptTokensPerMs: 50, ChunkTokens: 1024, TokensPerEvent: 4, TokenBytes: 100_000, LinkBitsPerSecond: 200e9,
		},
		EventGapObjective: 250 * time.Millisecond,
		ReportDelay:       defaultReportDelay,
		LoadFactor:        func(time.Duration) float64 { return 0.6 },
		TokensPerSecond:   200_000,
	}
}

// stepFactor returns a function whose value is inside from time from up to, but not
// including, time to, and outside at all other times.
func stepFactor(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// Patterns returns the load patterns in the order of the reports.
func Patterns() []Pattern {
	calm := newPattern("calm", "load below the capacity of the engines")
	overload := newPattern("overload", "load constantly above the capacity of the engines")
	overload.LoadFactor = func(time.Duration) float64 { return 1.3 }
	burst := newPattern("burst", "twice the load for some seconds")
	burst.LoadFactor = stepFactor(8*second, 14*second, 1.6, 0.7)
	flood := newPattern("flood", "one workspace sends many times its usual load")
	flood.LoadFactor = func(time.Duration) float64 { return 0.7 }
	flood.FloodFactor = stepFactor(5*second, 20*second, 20, 1)
	hot := newPattern("hot-key", "a third of the requests are of one subject")
	hot.HotSubjectShare = 0.33
	hot.LoadFactor = func(time.Duration) float64 { return 0.8 }
	loss := newPattern("engine-loss", "a third of the engines are down for some seconds")
	loss.LoadFactor = func(time.Duration) float64 { return 0.8 }
	loss.IsDown = func(engine int, at time.Duration) bool { return engine < 3 && at >= 8*second && at < 16*second }
	turnAway := newPattern("turn-away", "a third of the engines turn requests away for some seconds and say for how long")
	turnAway.LoadFactor = func(time.Duration) float64 { return 0.8 }
	turnAway.TurnsAway = func(engine int, at time.Duration) bool { return engine < 3 && at >= 8*second && at < 16*second }
	turnAway.RetryAfter = 2 * second
	return []Pattern{calm, overload, burst, flood, hot, loss, turnAway}
}

// generate returns the pattern's requests ordered by arrival time.
func (p *Pattern) generate(random *rand.Rand) []*request {
	var out []*request
	const tick = 5 * time.Millisecond
	weights := make([]float64, p.Workspaces)
	for i := range weights {
		weights[i] = 1 / float64(i+2)
	}
	for at := time.Duration(0); at < p.Duration; at += tick {
		for k := range p.Kinds {
			kind := &p.Kinds[k]
			for ws, w := range p.workspaceShares(weights, at) {
				mean := kind.RequestsPerSecond * p.LoadFactor(at) * w * tick.Seconds()
				for range poisson(random, mean) {
					out = append(out, p.newRequest(random, kind, ws, at))
				}
			}
		}
	}
	return out
}

// workspaceShares returns each workspace's share of the load. The shares sum to 1 unless
// the rates of workspaces are multiplied.
func (p *Pattern) workspaceShares(weights []float64, at time.Duration) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		out[i] = w / sum
	}
	if p.RateFactor != nil {
		for i := range out {
			out[i] *= p.RateFactor(i, at)
		}
	}
	if p.FloodFactor != nil {
		out[0] *= p.FloodFactor(at)
	}
	return out
}

func (p *Pattern) newRequest(random *rand.Rand, kind *RequestKind, ws int, at time.Duration) *request {
	subject := random.IntN(kind.Subjects)
	if random.Float64() < p.HotSubjectShare {
		subject = 0
	}
	uniqueTokens := max(16, int(float64(kind.UniqueTokens)*math.Exp(uniqueTokensSigma*random.NormFloat64()-uniqueTokensSigma*uniqueTokensSigma/2)))
	output := max(1, int(float64(kind.OutputTokens)*(0.5+random.Float64())))
	sharedKey := uint64(len(kind.Name))<<40 | uint64(kind.SharedTokens)<<20 | uint64(subject)
	routers := p.Routers
	if p.RoutersReached != nil {
		routers = p.RoutersReached(ws)
	}
	r := &request{kind: kind, arrivedAt: at, router: p.pickRouter(random, routers), routersReached: routers, isFirstAttempt: true}
	r.Request = admit.Request{
		Service:      "llm",
		Workspace:    ids.Workspace(rune('a' + ws)),
		Parts:        []admit.Part{{Key: sharedKey, Tokens: kind.SharedTokens}, {Key: random.Uint64(), Tokens: uniqueTokens}},
		PromptTokens: kind.SharedTokens + uniqueTokens,
		OutputTokens: output,
		Objective:    kind.FirstTokenObjective,
	}
	return r
}

// pickRouter returns one of the first routers for a request.
func (p *Pattern) pickRouter(random *rand.Rand, routers int) int {
	i := random.IntN(routers)
	if random.Float64() < p.FirstDomainShare {
		i -= i % max(1, p.Domains)
	}
	return i
}

// poisson returns a Poisson-distributed number. Its running time grows with the mean,
// which must be small.
func poisson(random *rand.Rand, mean float64) int {
	limit, n, product := math.Exp(-mean), 0, random.Float64()
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}
