package daemon

import "github.com/umberhill/umberhill/internal/duty"

// duties returns the router's controllers. Reloading certificates is optional:
// its failure does not stop the router.
func (d *Daemon) duties() []duty.Duty {
	duties := []duty.Duty{
		{Name: "peer links", Run: d.mesh.Run},
		{Name: "configuration", Run: d.config.Run},
		{Name: "configuration in force", Run: d.apply},
		{Name: "scheduler", Run: d.dispatcher.Run},
		{Name: "ledger", Run: d.ledger.Run},
		{Name: "engine load", Run: d.poller.Run},
		{Name: "samples", Run: d.sample},
		{Name: "quarantine", Run: d.quarantine.Run},
		duty.Loop("record of crashes", d.crashRecord.Run),
	}
	for _, source := range d.tls.sources {
		duties = append(duties, duty.Duty{Name: "certificates", Run: source.Run, Optional: true})
	}
	return duties
}
