package replay

import (
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// Policy names a way to decide.
type Policy string

// The policies: the product's own, and baselines that send at once.
const (
	Admit         Policy = "admit"
	RoundRobin    Policy = "round-robin"
	LeastRequests Policy = "least-requests"
	PromptHash    Policy = "prompt-hash"
)

// Policies returns all, the product's own first.
func Policies() []Policy { return []Policy{Admit, RoundRobin, LeastRequests, PromptHash} }

// decider is one router's way to decide.
type decider interface {
	submit(now time.Time, r *request) admit.Verdict
	began(now time.Time, id admit.ID)
	ended(now time.Time, id admit.ID, result admit.Result)
	poll(now time.Time) []admit.Verdict
}

func targets(n int) []routing.Target {
	var all []routing.Target
	for i := range n {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%03d", i)), Service: "llm", Domain: "z"})
	}
	return all
}

// admitDecider is admit's controller.
type admitDecider struct{ ac *admit.Controller }

func newAdmit(p *Pattern, seed uint64) admitDecider {
	l := admit.New(admit.Options{Domain: "z", ShareWindow: 4 * time.Second, Seed: seed})
	l.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{"llm": {
			Name: "llm", Engine: p.Spec.config(),
		}},
		Limits: routing.Limits{TokensPerSecond: p.TokensPerSecond},
	})
	all := targets(p.Engines)
	for i := range all {
		all[i].Slots = p.Spec.Slots
	}
	l.SetTargets(all)
	return admitDecider{l}
}

// config describes the engines as a configuration does.
func (e EngineSpec) config() *routing.Engine {
	return &routing.Engine{MemoryTokens: e.MemoryTokens, TokenBytes: e.TokenBytes, LinkBits: e.LinkBits}
}

func (d admitDecider) submit(now time.Time, r *request) admit.Verdict {
	return d.ac.Submit(now, r.Request)
}
func (d admitDecider) began(now time.Time, id admit.ID) { d.ac.AnswerStarted(now, id) }
func (d admitDecider) ended(now time.Time, id admit.ID, result admit.Result) {
	d.ac.AttemptEnded(now, id, result)
}
func (d admitDecider) poll(now time.Time) []admit.Verdict { return d.ac.Poll(now) }

// sender is a baseline: it sends at once, and knows its own sends only.
type sender struct {
	policy  Policy
	targets []routing.Target
	next    int
	running []int
	at      map[admit.ID]int
}

func newSender(policy Policy, p *Pattern, seed int) *sender {
	return &sender{
		policy: policy, targets: targets(p.Engines), next: seed,
		running: make([]int, p.Engines), at: make(map[admit.ID]int),
	}
}

func (s *sender) submit(_ time.Time, r *request) admit.Verdict {
	i := s.choose(r)
	s.running[i]++
	s.at[r.ID] = i
	return admit.Verdict{ID: r.ID, Target: s.targets[i]}
}

func (s *sender) choose(r *request) int {
	n := len(s.targets)
	switch s.policy {
	case LeastRequests:
		best := 0
		for i := range s.running {
			if s.running[i] < s.running[best] {
				best = i
			}
		}
		return best
	case PromptHash:
		return int(rendezvous.Mix(r.Parts[0].Key) % uint64(n))
	default:
		s.next++
		return s.next % n
	}
}

func (s *sender) began(time.Time, admit.ID) {}

func (s *sender) ended(_ time.Time, id admit.ID, _ admit.Result) {
	if i, ok := s.at[id]; ok {
		s.running[i]--
		delete(s.at, id)
	}
}

func (s *sender) poll(time.Time) []admit.Verdict { return nil }
