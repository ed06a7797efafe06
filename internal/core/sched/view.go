package sched

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/ids"
)

// View is the scheduler's state for operators.
type View struct {
	// Mode in force.
	Mode Mode
	// Targets known, in the order of their groups.
	Targets []TargetView
	// Pools known, by name.
	Pools []PoolView
	// Conditions that need an operator's eye; empty when all is well.
	Conditions []Condition
	// Draining is set once the router is stopping.
	Draining bool
	// Accounts held, and keys summed as home.
	Accounts, Homed int
}

// TargetView is one target.
type TargetView struct {
	Target ids.Target
	Domain ids.Domain
	// Owner of the target's permits.
	Owner ids.Instance
	// Held permits of this router, and its requests at the target.
	Held, InFlight int
	// Limit and Handed permits over the fleet; known to the owner only.
	Limit, Handed int
	// Concurrency of the target.
	Concurrency int
	// Leaving targets get no new work; Ejected ones failed.
	Leaving, Ejected bool
}

// PoolView is one pool.
type PoolView struct {
	Pool ids.Pool
	// Waiting requests at this router.
	Waiting int
	// Gap between the greatest and the least virtual service that waits here,
	// and the Bound that it should keep; zero while unknown.
	Gap, Bound float64
	// Backlogged workspaces, the least served first.
	Backlogged []WorkspaceView
}

// WorkspaceView is a workspace with requests waiting in a pool.
type WorkspaceView struct {
	Workspace ids.Workspace
	Weight    float64
	// Units of service over the fleet as known here, lifts included.
	Units float64
	// VirtualService is units by weight.
	VirtualService float64
	// Queue is the number of requests waiting here.
	Queue int
	// OldestWait of them.
	OldestWait time.Duration
	// Limited is set while the contract's concurrency holds the line up.
	Limited bool
}

// Condition is a flag for operators.
type Condition struct {
	// Type is a stable name, such as "TargetEjected".
	Type string
	// About names the target, pool or instance.
	About string
}

// The types of condition.
const (
	ConditionEjected     = "TargetEjected"
	ConditionOwnerSilent = "OwnerSilent"
	ConditionGap         = "GapAboveBound"
	ConditionNoTarget    = "NoLiveTarget"
)

// View returns the scheduler's state.
func (s *Scheduler) View() View {
	v := View{Mode: s.cfg.Mode, Draining: s.draining, Accounts: s.book.Len(), Homed: s.home.Len()}
	for _, id := range s.groupIDs {
		s.viewGroup(&v, s.groups[id])
	}
	for _, n := range s.poolNames {
		s.viewPool(&v, s.pools[n])
	}
	return v
}

func (s *Scheduler) viewGroup(v *View, g *group) {
	for i, m := range g.member {
		t := TargetView{
			Target: m.id, Domain: m.domain, Owner: g.holder.Owner,
			Held: g.holder.Held(i), InFlight: g.holder.Used(i), Concurrency: g.Members[i].Concurrency,
			Leaving: g.Members[i].Leaving, Ejected: m.health.Ejected(),
		}
		if g.owner != nil {
			t.Limit, t.Handed = g.owner.Limit(i), g.owner.Outstanding(i)
		}
		if t.Ejected {
			v.Conditions = append(v.Conditions, Condition{Type: ConditionEjected, About: string(m.id)})
		}
		v.Targets = append(v.Targets, t)
	}
	if held, _ := g.holder.Totals(); s.fleet() && held > 0 && !s.valid(g) {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionOwnerSilent, About: string(g.holder.Owner)})
	}
}

func (s *Scheduler) viewPool(v *View, p *pool) {
	pv := PoolView{
		Pool: p.name, Waiting: p.queue.Waiting() + len(p.solo),
		Bound: p.capacity.bound(s.cfg.ReportInterval.Seconds()),
	}
	p.queue.Lines(func(l *queue.Line) {
		w := WorkspaceView{
			Workspace: l.Account.Workspace, Weight: l.Account.Weight, Units: l.Account.Units(),
			VirtualService: l.Account.VirtualTime(), Queue: l.Len(), Limited: l.Parked(),
		}
		if e := l.Oldest(); e != nil {
			w.OldestWait = s.now.Sub(e.Arrived)
		}
		pv.Backlogged = append(pv.Backlogged, w)
	})
	if a, b := p.queue.Min(), p.queue.Max(); a != nil {
		pv.Gap = b.VS() - a.VS()
	}
	if pv.Bound > 0 && pv.Gap > pv.Bound {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionGap, About: string(p.name)})
	}
	if !p.live {
		v.Conditions = append(v.Conditions, Condition{Type: ConditionNoTarget, About: string(p.name)})
	}
	v.Pools = append(v.Pools, pv)
}
