package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/fairness"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxMarginRows bounds the workspaces that the report lists.
	maxMarginRows = 12
	// maxRouterCells bounds the routers that are named in one row.
	maxRouterCells = 3
	// tokensPerMillion converts tokens to the unit of the tables.
	tokensPerMillion = 1e6
)

// errNoLoadLines is returned if the logs contain no line about load.
var errNoLoadLines = errors.New(`the logs have no line "workspace load"`)

func fairnessCommand() *cli.Command {
	return &cli.Command{
		Name: "fairness", Usage: "what workspaces received of their fair share, from routers' logs", ArgsUsage: "LOG...",
		Description: `Shows for each workspace the six seconds in which it received the least part of
what it was due. It is due what it requests, or what the best served workspace
received if that is less, second by second.

Examples:
  umberhill report fairness router-1.log router-2.log
  umberhill report fairness --workspace acme router-1.log router-2.log`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "workspace", Usage: "show `WORKSPACE` by second, with the routers that its callers use"}},
		Action: reportFairness,
	}
}

func reportFairness(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usagef("name the logs of all routers; see %s --help", c.FullName())
	}
	var logs fairness.Logs
	for _, name := range c.Args().Slice() {
		if err := readInput(c, name, logs.Read); err != nil {
			return errors.Wrapf(err, "log %s", name)
		}
	}
	start, found := logs.Start()
	if !found {
		return errNoLoadLines
	}
	if ws := c.String("workspace"); ws != "" {
		seconds := logs.Seconds(ids.Workspace(ws))
		return show(c, seconds, func(w io.Writer) error { return secondsTable(w, seconds) })
	}
	margins := logs.Series().Margins(0)
	return show(c, margins, func(w io.Writer) error { return marginsTable(w, margins, start) })
}

func millions(tokens float64) string { return fmt.Sprintf("%.2f", tokens/tokensPerMillion) }

func marginsTable(w io.Writer, margins []fairness.Margin, start time.Time) error {
	t := newTable(w, "RATIO", "WORKSPACE", "SECOND", "FROM", "STARTED", "DUE", "REQUESTED")
	for _, m := range margins[:min(len(margins), maxMarginRows)] {
		from := start.Add(time.Duration(m.From) * time.Second)
		t.row(fmt.Sprintf("%.2f", m.Ratio), string(m.Workspace), fmt.Sprint(m.From), from.Format(time.TimeOnly),
			millions(m.Started), millions(m.Due), millions(m.Requested))
	}
	return t.flush()
}

func secondsTable(w io.Writer, seconds []fairness.Second) error {
	t := newTable(w, "SECOND", "REQUESTED", "STARTED", "MOST", "REFUSED", "ROUTERS")
	for _, s := range seconds {
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(s.Refused)) {
			refused = append(refused, fmt.Sprintf("%s=%d", reason, s.Refused[reason]))
		}
		var routers []string
		for _, r := range s.Routers[:min(len(s.Routers), maxRouterCells)] {
			state := ""
			if r.Diverts {
				state = " diverts"
			}
			routers = append(routers, fmt.Sprintf("%s %d, %s started, refuses %.2f, delay %.0f ms, accepts %d%s",
				r.Instance, r.Requests, millions(r.Started), r.RefusedShare, r.DelayMS, r.Accepted, state))
		}
		if rest := len(s.Routers) - maxRouterCells; rest > 0 {
			routers = append(routers, fmt.Sprintf("%d more", rest))
		}
		t.row(fmt.Sprint(s.Second), millions(s.Requested), millions(s.Started), millions(s.Most),
			strings.Join(refused, " "), strings.Join(routers, "; "))
	}
	return t.flush()
}
