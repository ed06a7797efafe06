package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/harness"
)

// Params are the parameters of a scenario.
type Params struct {
	Binaries harness.Binaries
	// Duration is the time that the scenario may take.
	Duration time.Duration
	// Seed of the faults and requests.
	Seed uint64
	// Trace receives details that explain the rows: the service units by time and
	// workspace, and examples of responses that violate the guarantees. It may be
	// nil.
	Trace io.Writer
}

// traceLine prints a line to the trace.
func (p Params) traceLine(line string) {
	if p.Trace != nil {
		_, _ = fmt.Fprintln(p.Trace, line)
	}
}

// Scenario is a named run that produces rows.
type Scenario struct {
	Name string
	Run  func(ctx context.Context, p Params) ([]Row, error)
	// OnlyByName is set for a scenario that runs only where the prefix includes its
	// whole name.
	OnlyByName bool
}

// scenarios are the soak scenarios in the order in which they run.
var scenarios = []Scenario{
	{Name: "answers", Run: soakAnswers},
	{Name: "orders", Run: soakOrders},
}

// Soak runs all scenarios whose names match a prefix, each for an equal part of
// the duration, and prints their rows. It returns an error where a row is outside
// its bound.
func Soak(ctx context.Context, p Params, only string, out io.Writer) error {
	selected := filterByPrefix(scenarios, only, func(s Scenario) string { return s.Name })
	if len(selected) == 0 {
		return errors.Newf("soak: no scenario name matches prefix %q", only)
	}
	p.Duration /= time.Duration(len(selected))
	unmet := 0
	for _, s := range selected {
		rows, err := s.Run(ctx, p)
		if err != nil {
			return errors.Wrapf(err, "soak %s", s.Name)
		}
		n, err := printRows(out, rows)
		if err != nil {
			return err
		}
		unmet += n
	}
	if unmet > 0 {
		return errors.Newf("soak: %d rows do not meet their bounds", unmet)
	}
	return nil
}
