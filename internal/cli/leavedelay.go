package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/leavedelay"
)

// Errors of the report on leaves.
var (
	errNoLeaveLines = errors.New("the logs have no target that a router stopped using")
	errLateLeave    = errors.New("a router used a target beyond the bound after it began to leave")
)

func leavesCommand() *cli.Command {
	return &cli.Command{
		Name: "leaves", Usage: "how long routers used targets that leave, from routers' logs", ArgsUsage: "LOG...",
		Description: `Shows for each target that left when the first router stopped using it and how much
later the others did, with the last routers, the reason for their delay, and those
that never did. The longest delays come first. With a bound it fails if a delay is
longer.

Examples:
  umberhill report leaves router-1.log router-2.log
  umberhill report leaves --target engine-7 router-1.log router-2.log
  umberhill report leaves --bound 4s router-1.log router-2.log`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "bound", Usage: "fail if a delay is longer than `TIME`"},
			&cli.StringFlag{Name: "target", Usage: "show this `TARGET` only"},
		},
		Action: reportLeaves,
	}
}

func reportLeaves(_ context.Context, c *cli.Command) error {
	var logs leavedelay.Logs
	if err := readLogs(c, logs.Read); err != nil {
		return err
	}
	leaves := logs.Leaves()
	if target := ids.Target(c.String("target")); target != "" {
		leaves = slices.DeleteFunc(leaves, func(l leavedelay.Leave) bool { return l.Target != target })
	}
	if len(leaves) == 0 {
		return errNoLeaveLines
	}
	if err := show(c, leaves, func(w io.Writer) error { return leavesTable(w, leaves) }); err != nil {
		return err
	}
	late := time.Duration(leaves[0].LargestMS) * time.Millisecond
	if bound := c.Duration("bound"); bound > 0 && late > bound {
		return errors.Wrapf(errLateLeave, "target %s: %v", leaves[0].Target, late)
	}
	return nil
}

func leavesTable(w io.Writer, leaves []leavedelay.Leave) error {
	t := newTable(w, "TARGET", "SERVICE", "FIRST", "ENTRY", "ROUTERS", "MEDIAN", "P99", "LARGEST", "LAST", "NEVER")
	for _, l := range leaves {
		entry := "removed"
		if l.Draining {
			entry = "draining"
		}
		var last []string
		for _, r := range l.Last {
			last = append(last, lastRouterCell(r))
		}
		t.row(string(l.Target), l.Service, l.FirstAt.Format("15:04:05.000"), entry, fmt.Sprint(l.Routers), formatSeconds(l.MedianMS),
			formatSeconds(l.P99MS), formatSeconds(l.LargestMS), strings.Join(last, "; "), neverCell(l.Never))
	}
	return t.flush()
}

// lastRouterCell describes a router and why it stopped using the target only then.
func lastRouterCell(r leavedelay.Router) string {
	parts := []string{string(r.Instance), formatSeconds(r.DelayMS)}
	if r.MissingMS > 0 {
		parts = append(parts, "missing for "+formatSeconds(r.MissingMS))
	}
	if r.Source != "" {
		parts = append(parts, "told by "+r.Source)
	}
	for _, c := range r.Contacts {
		event := "store regained"
		if c.Lost {
			event = "store lost"
		}
		parts = append(parts, fmt.Sprintf("%s %+.2f s", event, float64(c.OffsetMS)/1000))
	}
	return strings.Join(parts, ", ")
}
