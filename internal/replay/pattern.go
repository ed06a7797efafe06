package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Kind is a kind of request of a pattern.
type Kind struct {
	Name string
	// PerSecond is its rate at the pattern's full load.
	PerSecond float64
	// Subjects share a part of Shared tokens each; Own tokens follow.
	Subjects    int
	Shared, Own int
	Output      int
	Objective   time.Duration
	Deadline    time.Duration
}

// Pattern is a seeded load.
type Pattern struct {
	Name string
	// About says what the load is.
	About      string
	Length     time.Duration
	Routers    int
	Engines    int
	Workspaces int
	Spec       EngineSpec
	Kinds      []Kind
	// Load is the part of the full rate at a time.
	Load func(at time.Duration) float64
	// Flood is how many times its usual the first workspace sends at a time.
	Flood func(at time.Duration) float64
	// HotSubject is the share of a kind's requests that are of one subject.
	HotSubject float64
	// Down tells whether an engine is away at a time.
	Down func(engine int, at time.Duration) bool
	// GapObjective is the longest pause between events of a stream on time.
	GapObjective time.Duration
	// TokensPerSecond is what is stated of all engines together.
	TokensPerSecond float64
}

// request is a caller's request in the model.
type request struct {
	admit.Request
	kind     *Kind
	at       time.Duration // first asked
	router   int
	tries    int
	firstTry bool
}

func (r *request) size() int { return r.PromptTokens + r.OutputTokens }

const (
	second = time.Second
	// length of the patterns.
	length = 30 * second
	// spreadOwn is the spread of the sizes (log-normal sigma).
	spreadOwn = 0.8
)

// mixed are the kinds of requests of all patterns: round numbers of the model's
// own, chosen so that long prompts, long answers and short questions compete and
// shared parts matter.
func mixed() []Kind {
	return []Kind{
		{Name: "report", PerSecond: 30, Subjects: 80, Shared: 4000, Own: 5000, Output: 400, Objective: second, Deadline: 20 * second},
		{Name: "dialogue", PerSecond: 75, Subjects: 100, Shared: 250, Own: 700, Output: 300, Objective: 350 * time.Millisecond, Deadline: 12 * second},
		{Name: "question", PerSecond: 50, Subjects: 120, Shared: 600, Own: 1500, Output: 25, Objective: 500 * time.Millisecond, Deadline: 4 * second},
	}
}

// base is a pattern of six routers before eight engines at six tenths of the full
// rate; the engines carry about as much as the full rate asks of them when shared
// parts are seldom read again.
func base(name, about string) Pattern {
	return Pattern{
		Name: name, About: about, Length: length, Routers: 6, Engines: 8, Workspaces: 12, Kinds: mixed(),
		Spec: EngineSpec{
			Slots: 48, MemoryTokens: 500_000, Step: 5 * time.Millisecond, PerRequest: 30 * time.Microsecond,
			TokensPerMs: 50, Chunk: 1024, EventTokens: 4, TokenBytes: 100_000, LinkBits: 200e9,
		},
		GapObjective:    250 * time.Millisecond,
		Load:            func(time.Duration) float64 { return 0.6 },
		TokensPerSecond: 200_000,
	}
}

func between(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// Patterns returns the load patterns by their order in reports.
func Patterns() []Pattern {
	calm := base("calm", "less than the engines carry")
	overload := base("overload", "steadily more than the engines carry")
	overload.Load = func(time.Duration) float64 { return 1.3 }
	burst := base("burst", "twice the load for some seconds")
	burst.Load = between(8*second, 14*second, 1.6, 0.7)
	flood := base("flood", "one workspace sends many times its usual")
	flood.Load = func(time.Duration) float64 { return 0.7 }
	flood.Flood = between(5*second, 20*second, 20, 1)
	hot := base("hot-key", "a third of the requests are of one subject")
	hot.HotSubject = 0.33
	hot.Load = func(time.Duration) float64 { return 0.8 }
	loss := base("engine-loss", "a third of the engines go for some seconds")
	loss.Load = func(time.Duration) float64 { return 0.8 }
	loss.Down = func(engine int, at time.Duration) bool { return engine < 3 && at >= 8*second && at < 16*second }
	return []Pattern{calm, overload, burst, flood, hot, loss}
}

// generate draws a pattern's requests in the order of their times.
func (p *Pattern) generate(random *rand.Rand) []*request {
	var out []*request
	const tick = 5 * time.Millisecond
	weights := make([]float64, p.Workspaces)
	for i := range weights {
		weights[i] = 1 / float64(i+2)
	}
	for at := time.Duration(0); at < p.Length; at += tick {
		for k := range p.Kinds {
			kind := &p.Kinds[k]
			for ws, w := range p.at(weights, at) {
				mean := kind.PerSecond * p.Load(at) * w * tick.Seconds()
				for range poisson(random, mean) {
					out = append(out, p.draw(random, kind, ws, at))
				}
			}
		}
	}
	return out
}

// at returns each workspace's part of the load; a flood comes on top.
func (p *Pattern) at(weights []float64, at time.Duration) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		out[i] = w / sum
	}
	if p.Flood != nil {
		out[0] *= p.Flood(at)
	}
	return out
}

func (p *Pattern) draw(random *rand.Rand, kind *Kind, ws int, at time.Duration) *request {
	subject := random.IntN(kind.Subjects)
	if random.Float64() < p.HotSubject {
		subject = 0
	}
	own := max(16, int(float64(kind.Own)*math.Exp(spreadOwn*random.NormFloat64()-spreadOwn*spreadOwn/2)))
	output := max(1, int(float64(kind.Output)*(0.5+random.Float64())))
	shared := uint64(len(kind.Name))<<40 | uint64(kind.Shared)<<20 | uint64(subject)
	r := &request{kind: kind, at: at, router: random.IntN(p.Routers), firstTry: true}
	r.Request = admit.Request{
		Service:      "llm",
		Workspace:    ids.Workspace(rune('a' + ws)),
		Parts:        []admit.Part{{Key: shared, Tokens: kind.Shared}, {Key: random.Uint64(), Tokens: own}},
		PromptTokens: kind.Shared + own,
		OutputTokens: output,
		Objective:    kind.Objective,
	}
	return r
}

// poisson draws a number with a small mean.
func poisson(random *rand.Rand, mean float64) int {
	limit, n, product := math.Exp(-mean), 0, random.Float64()
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}
