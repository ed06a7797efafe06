package replay_test

import (
	"testing"

	"github.com/umberhill/umberhill/internal/replay"
)

// minWorthLead is the least amount by which the worth of policy Admit must exceed that
// of every baseline under all patterns except calm, which loads the engines below their
// capacity.
const minWorthLead = 0.1

func patterns() map[string]replay.Pattern {
	all := make(map[string]replay.Pattern)
	for _, p := range replay.Patterns() {
		all[p.Name] = p
	}
	return all
}

// Guards against admission decisions that give less worth than dispatching every
// request immediately.
func TestAdmitExceedsBaselineWorth(t *testing.T) {
	for name, p := range patterns() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			admitResult := replay.Simulate(p, replay.Admit, 1)
			for _, baseline := range replay.Policies()[1:] {
				baselineResult := replay.Simulate(p, baseline, 1)
				if admitResult.Worth < baselineResult.Worth+minWorthLead && name != "calm" || admitResult.Worth < baselineResult.Worth {
					t.Errorf("worth %.3f with admit, want more than with %s: %.3f", admitResult.Worth, baseline, baselineResult.Worth)
				}
			}
		})
	}
}

// Guards against starvation of the other workspaces by one that floods: without fair
// shares each of them is served less than a third of its requests.
func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	p := patterns()["flood"]
	if admitResult := replay.Simulate(p, replay.Admit, 2); admitResult.WorstWorkspaceWorth < 0.8 {
		t.Errorf("worst workspace has worth %.3f with admit, want at least 0.8", admitResult.WorstWorkspaceWorth)
	}
	if baselineResult := replay.Simulate(p, replay.LeastRequests, 2); baselineResult.WorstWorkspaceWorth > 0.5 {
		t.Errorf("pattern does not flood: worst workspace has worth %.3f with least-requests, want at most 0.5", baselineResult.WorstWorkspaceWorth)
	}
}

// Guards against requests that miss the engine which caches their shared prompt part:
// round-robin, which ignores caches, prefills more than a quarter of all tokens again.
func TestSharedPartsAreSeldomPrefilledAgain(t *testing.T) {
	p := patterns()["calm"]
	admitResult, roundRobin := replay.Simulate(p, replay.Admit, 3), replay.Simulate(p, replay.RoundRobin, 3)
	if admitResult.RepeatedPrefillShare > roundRobin.RepeatedPrefillShare/2 {
		t.Errorf("share of tokens prefilled again is %.3f with admit, want at most half of %.3f with round-robin", admitResult.RepeatedPrefillShare, roundRobin.RepeatedPrefillShare)
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	p := patterns()["burst"]
	if a, b := replay.Simulate(p, replay.Admit, 4), replay.Simulate(p, replay.Admit, 4); a != b {
		t.Errorf("results of equal simulations differ: %+v and %+v", a, b)
	}
}

// Guards against transfers of cached prompt parts that cost more than they save. With
// transfers, the share of tokens that are prefilled repeatedly must fall by at least a
// third, without a loss of worth under a load above the capacity of the engines.
func TestTransfersReduceRepeatedPrefill(t *testing.T) {
	for _, name := range []string{"overload", "engine-loss"} {
		p := patterns()[name]
		with := replay.Simulate(p, replay.Admit, 5)
		p.Spec.LinkBitsPerSecond = 0
		without := replay.Simulate(p, replay.Admit, 5)
		if with.RepeatedPrefillShare > without.RepeatedPrefillShare*2/3 || with.Worth < without.Worth {
			t.Errorf("pattern %s: worth %.3f and share prefilled again %.3f with transfers; without: %.3f and %.3f",
				name, with.Worth, with.RepeatedPrefillShare, without.Worth, without.RepeatedPrefillShare)
		}
	}
}

// Guards against attempts at engines that have said that they want none, and against
// engines that are left out for longer than they asked.
func TestEnginesThatTurnRequestsAwayAreLeftAlone(t *testing.T) {
	for seed := range uint64(3) {
		p := patterns()["turn-away"]
		heeded := replay.Simulate(p, replay.Admit, seed)
		p.RetryAfter = 0
		unstated := replay.Simulate(p, replay.Admit, seed)
		t.Logf("seed %d: %+v; without a stated time: %+v", seed, heeded, unstated)
		// The engines are asked at most four times in eight seconds, once by each router.
		if most := 4 * 3 * p.Routers; heeded.TurnedAway > most || unstated.TurnedAway < 10*most {
			t.Errorf("seed %d: %d attempts turned away, want at most %d; without a stated time %d, want at least %d", seed, heeded.TurnedAway, most, unstated.TurnedAway, 10*most)
		}
		if heeded.Worth <= unstated.Worth {
			t.Errorf("seed %d: worth %.3f, want more than the %.3f without a stated time", seed, heeded.Worth, unstated.Worth)
		}
	}
}
