package node

import (
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
)

// encodeStatements replaces the statements of targets in a report.
func encodeStatements(r *fleetv1.Report, statements []admit.StatementReport) {
	r.Statements = nil
	for _, s := range statements {
		r.Statements = append(r.Statements, &fleetv1.TargetStatement{
			Run: uint64(s.Run), Leaving: s.Leaving, LeavingAgeMs: ageMS(s.LeavingAge), TurnedAwayMs: ageMS(s.TurnedAwayFor),
			Refused: s.Refused, RefusedAgeMs: ageMS(s.RefusedAge), ColdMs: ageMS(s.ColdFor),
		})
	}
}

// decodeStatements returns the statements of targets in a report that was received some
// time ago.
func decodeStatements(r *fleetv1.Report, age time.Duration) []admit.StatementReport {
	var out []admit.StatementReport
	for _, s := range r.GetStatements() {
		out = append(out, admit.StatementReport{
			Run: targetlimit.Run(s.GetRun()), Leaving: s.GetLeaving(),
			LeavingAge:    time.Duration(s.GetLeavingAgeMs()) * time.Millisecond,
			TurnedAwayFor: time.Duration(s.GetTurnedAwayMs()) * time.Millisecond,
			Refused:       s.GetRefused(), RefusedAge: time.Duration(s.GetRefusedAgeMs()) * time.Millisecond,
			ColdFor: time.Duration(s.GetColdMs()) * time.Millisecond,
		}.Aged(age))
	}
	return out
}
