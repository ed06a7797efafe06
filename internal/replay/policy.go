package replay

import (
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// Policy names a policy for dispatching requests to engines.
type Policy string

// The policies. Admit applies package admit; the others are baselines that dispatch
// every request immediately.
const (
	Admit         Policy = "admit"
	RoundRobin    Policy = "round-robin"
	LeastRequests Policy = "least-requests"
	PromptHash    Policy = "prompt-hash"
)

// Policies returns all policies, Admit first.
func Policies() []Policy { return []Policy{Admit, RoundRobin, LeastRequests, PromptHash} }

// dispatcher applies a policy at one router.
type dispatcher interface {
	submit(now time.Time, r *request) admit.Verdict
	answerStarted(now time.Time, id admit.ID)
	attemptEnded(now time.Time, id admit.ID, end admit.End)
	targetStated(now time.Time, id admit.ID, st admit.Statement)
	poll(now time.Time) []admit.Verdict
}

func newTargets(p *Pattern) []routing.Target {
	var all []routing.Target
	for i := range p.Engines {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%03d", i)), Service: "llm", Domain: p.domainOf(i)})
	}
	return all
}

// domainOf returns the failure domain of the router or engine with an index.
func (p *Pattern) domainOf(index int) ids.Domain {
	return ids.Domain(fmt.Sprintf("z%d", index%max(1, p.Domains)))
}

// admitDispatcher dispatches with the controller of package admit.
type admitDispatcher struct{ controller *admit.Controller }

func newAdmitDispatcher(p *Pattern, router int) admitDispatcher {
	controller := admit.New(admit.Options{Domain: p.domainOf(router), ShareWindow: 4 * time.Second, Seed: uint64(router)})
	controller.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{"llm": {
			Name: "llm", Engine: p.Spec.routingConfig(),
		}},
		Limits: routing.Limits{TokensPerSecond: p.TokensPerSecond},
	})
	all := newTargets(p)
	for i := range all {
		all[i].Slots = p.Spec.Slots
	}
	controller.SetTargets(all)
	return admitDispatcher{controller}
}

// routingConfig returns the configuration of the engines in a service.
func (e EngineSpec) routingConfig() *routing.Engine {
	return &routing.Engine{MemoryTokens: e.MemoryTokens, TokenBytes: e.TokenBytes, LinkBitsPerSecond: e.LinkBitsPerSecond}
}

func (d admitDispatcher) submit(now time.Time, r *request) admit.Verdict {
	return d.controller.Submit(now, r.Request)
}

func (d admitDispatcher) answerStarted(now time.Time, id admit.ID) {
	d.controller.ResponseStarted(now, id, false)
}

func (d admitDispatcher) attemptEnded(now time.Time, id admit.ID, end admit.End) {
	d.controller.AttemptEnded(now, id, end)
}

func (d admitDispatcher) targetStated(now time.Time, id admit.ID, st admit.Statement) {
	d.controller.RecordStatement(now, id, st)
}

func (d admitDispatcher) poll(now time.Time) []admit.Verdict { return d.controller.Poll(now) }

// baselineDispatcher applies a baseline policy: it dispatches every request immediately
// and considers only the requests of its own router.
type baselineDispatcher struct {
	policy      Policy
	targets     []routing.Target
	nextTarget  int
	inFlight    []int
	targetIndex map[admit.ID]int
}

func newBaselineDispatcher(policy Policy, p *Pattern, seed int) *baselineDispatcher {
	return &baselineDispatcher{
		policy: policy, targets: newTargets(p), nextTarget: seed,
		inFlight: make([]int, p.Engines), targetIndex: make(map[admit.ID]int),
	}
}

func (d *baselineDispatcher) submit(_ time.Time, r *request) admit.Verdict {
	i := d.pickTarget(r)
	d.inFlight[i]++
	d.targetIndex[r.ID] = i
	return admit.Verdict{ID: r.ID, Target: d.targets[i]}
}

func (d *baselineDispatcher) pickTarget(r *request) int {
	n := len(d.targets)
	switch d.policy {
	case LeastRequests:
		best := 0
		for i := range d.inFlight {
			if d.inFlight[i] < d.inFlight[best] {
				best = i
			}
		}
		return best
	case PromptHash:
		return int(rendezvous.Mix(r.Parts[0].Key) % uint64(n))
	default:
		d.nextTarget++
		return d.nextTarget % n
	}
}

func (d *baselineDispatcher) answerStarted(time.Time, admit.ID) {}

func (d *baselineDispatcher) attemptEnded(_ time.Time, id admit.ID, _ admit.End) {
	if i, ok := d.targetIndex[id]; ok {
		d.inFlight[i]--
		delete(d.targetIndex, id)
	}
}

func (d *baselineDispatcher) poll(time.Time) []admit.Verdict { return nil }

func (d *baselineDispatcher) targetStated(time.Time, admit.ID, admit.Statement) {}
