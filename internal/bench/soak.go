package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/harness"
)

// Params are the parameters of a soak.
type Params struct {
	Binaries harness.Binaries
	// Duration that the scenario may take.
	Duration time.Duration
	// Seed of the faults and requests.
	Seed uint64
	// Trace gets what helps to explain the rows: the units of service by time
	// and workspace, and examples of answers that should not have been. None
	// where nil.
	Trace io.Writer
}

// explain prints a line to the trace.
func (p Params) traceLine(line string) {
	if p.Trace != nil {
		_, _ = fmt.Fprintln(p.Trace, line)
	}
}

// Scenario is one long-running proof.
type Scenario struct {
	Name string
	Run  func(ctx context.Context, p Params) ([]Row, error)
	// Named scenarios run only where they are asked for by name.
	OnlyByName bool
}

// scenarios are the soaks in the order in which they run.
var scenarios = []Scenario{
	{Name: "answers", Run: soakAnswers},
	{Name: "orders", Run: soakOrders},
}

// Soak runs all scenarios whose names start with a prefix, each for its part
// of the duration, and prints their rows. It fails where a row is short of its
// bound.
func Soak(ctx context.Context, p Params, only string, out io.Writer) error {
	chosen := filterByPrefix(scenarios, only, func(s Scenario) string { return s.Name })
	if len(chosen) == 0 {
		return errors.Newf("soak: no scenario %q", only)
	}
	p.Duration /= time.Duration(len(chosen))
	short := 0
	for _, s := range chosen {
		rows, err := s.Run(ctx, p)
		if err != nil {
			return errors.Wrapf(err, "soak %s", s.Name)
		}
		n, err := printRows(out, rows)
		if err != nil {
			return err
		}
		short += n
	}
	if short > 0 {
		return errors.Newf("soak: %d rows short of their bounds", short)
	}
	return nil
}
