package sched

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/ids"
)

// View is a snapshot of the scheduler's state for operators.
type View struct {
	// Mode is the mode in force.
	Mode Mode
	// Targets lists all targets in the order of their groups.
	Targets []TargetView
	// Pools lists all pools ordered by name.
	Pools []PoolView
	// Conditions lists the states that need an operator's attention.
	Conditions []Condition
	// Draining is set once the router is shutting down.
	Draining bool
	// Accounts is the number of accounts that the router keeps; HomeAccounts is the
	// number of accounts for which it is the home router.
	Accounts, HomeAccounts int
}

// TargetView is the state of one target.
type TargetView struct {
	Target ids.Target
	Domain ids.Domain
	// Owner is the router that grants the target's permits.
	Owner ids.Instance
	// Held is the number of permits that this router holds; InFlight is the number
	// of its requests at the target.
	Held, InFlight int
	// Limit is the number of permits that may be outstanding over the fleet;
	// Outstanding is how many are. Both are set at the owner only.
	Limit, Outstanding int
	// Concurrency is the maximum number of requests that the target runs at a time.
	Concurrency int
	// Draining is set for a target that gets no new requests; Ejected is set for a
	// target that failed and gets no requests but probes.
	Draining, Ejected bool
}

// PoolView is the state of one pool.
type PoolView struct {
	Pool ids.Pool
	// Waiting is the number of requests that wait at this router.
	Waiting int
	// Gap is the difference between the greatest and the least virtual service of
	// the workspaces that wait at this router. Bound is the greatest Gap that is
	// expected. Both are zero while unknown.
	Gap, Bound float64
	// Backlogged lists the workspaces with waiting requests in ascending order of
	// virtual service, those with Limited set last.
	Backlogged []WorkspaceView
}

// WorkspaceView is a workspace with requests waiting in a pool.
type WorkspaceView struct {
	Workspace ids.Workspace
	Weight    float64
	// Units is the service over the fleet as last reported to this router, plus the
	// units added when the account was lifted or raised.
	Units float64
	// VirtualService is Units divided by Weight.
	VirtualService float64
	// Queue is the number of requests that wait at this router.
	Queue int
	// OldestWait is how long the next request to be dispatched has waited.
	OldestWait time.Duration
	// Limited is set while the concurrency limit of the contract holds back the
	// requests.
	Limited bool
}

// Condition is a state that needs an operator's attention.
type Condition struct {
	// Type is a stable name, such as "TargetEjected".
	Type string
	// Subject is the name of the target, pool or instance concerned.
	Subject string
}

// Types of Condition.
const (
	// ConditionEjected means that a target failed and gets no requests but probes.
	ConditionEjected = "TargetEjected"
	// ConditionOwnerSilent means that this router holds permits but has received no
	// lease from their owner, the subject, for leaseValidIntervals report intervals.
	ConditionOwnerSilent = "OwnerSilent"
	// ConditionGap means that the Gap of a pool exceeds its Bound.
	ConditionGap = "GapAboveBound"
	// ConditionNoTarget means that all targets of a pool are draining.
	ConditionNoTarget = "NoLiveTarget"
)

// View returns a snapshot of the scheduler's state.
func (s *Scheduler) View() View {
	v := View{Mode: s.settings.Mode, Draining: s.draining, Accounts: s.accounts.Len(), HomeAccounts: s.accountHome.Len()}
	for _, id := range s.groupIDs {
		s.viewGroup(&v, s.groups[id])
	}
	for _, n := range s.poolNames {
		s.viewPool(&v, s.pools[n])
	}
	return v
}

func (s *Scheduler) viewGroup(v *View, g *group) {
	for i, m := range g.members {
		t := TargetView{
			Target: m.id, Domain: m.domain, Owner: g.holder.Owner,
			Held: g.holder.Held(i), InFlight: g.holder.Used(i), Concurrency: g.Members[i].Concurrency,
			Draining: g.Members[i].Draining, Ejected: m.health.IsEjected(),
		}
		if g.owner != nil {
			t.Limit, t.Outstanding = g.owner.Limit(i), g.owner.Outstanding(i)
		}
		if t.Ejected {
			v.Conditions = append(v.Conditions, Condition{Type: ConditionEjected, Subject: string(m.id)})
		}
		v.Targets = append(v.Targets, t)
	}
	if held, _ := g.holder.Totals(); s.isFleetMode() && held > 0 && !s.hasValidLease(g) {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionOwnerSilent, Subject: string(g.holder.Owner)})
	}
}

func (s *Scheduler) viewPool(v *View, p *pool) {
	pv := PoolView{
		Pool: p.name, Waiting: p.queue.Waiting() + len(p.soloRequests),
		Bound: p.capacity.fairnessBound(s.settings.ReportInterval.Seconds()),
	}
	p.queue.ForEachFlow(func(flow *queue.Flow) {
		w := WorkspaceView{
			Workspace: flow.Account.Workspace, Weight: flow.Account.Weight, Units: flow.Account.Units(),
			VirtualService: flow.Account.VirtualService(), Queue: flow.Len(), Limited: flow.IsParked(),
		}
		if e := flow.Next(); e != nil {
			w.OldestWait = s.now.Sub(e.ArrivedAt)
		}
		pv.Backlogged = append(pv.Backlogged, w)
	})
	if a, b := p.queue.Min(), p.queue.Max(); a != nil {
		pv.Gap = b.VirtualService() - a.VirtualService()
	}
	if pv.Bound > 0 && pv.Gap > pv.Bound {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionGap, Subject: string(p.name)})
	}
	if !p.hasLiveTarget {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionNoTarget, Subject: string(p.name)})
	}
	v.Pools = append(v.Pools, pv)
}
