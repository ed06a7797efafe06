package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/status"
)

const (
	statusPath = "/admin/v1/status"
	// waitTimeout is how long --wait waits.
	waitTimeout = 30 * time.Second
	// waitPoll is the interval of asking while waiting.
	waitPoll = 200 * time.Millisecond
	// watchInterval is the interval of status --watch.
	watchInterval = 2 * time.Second
	// clearScreen moves the cursor home and clears a terminal.
	clearScreen = "\x1b[H\x1b[2J"
	// noLink is the error of a router that is listed but not connected.
	noLink = "no link"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of the fleet",
		Description: "Examples:\n  umberhill status\n  umberhill status --watch --interval 5s\n  umberhill status -o json",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "watch", Usage: "show it again and again"},
			&cli.DurationFlag{Name: "interval", Usage: "`TIME` between two of --watch", Value: watchInterval},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	cl, err := clientOf(c)
	if err != nil {
		return err
	}
	for {
		fleet, err := fleetStatus(ctx, cl)
		if err != nil {
			return err
		}
		watch := c.Bool("watch")
		err = show(c, fleet, func(w io.Writer) error {
			if watch {
				_, _ = fmt.Fprint(w, clearScreen)
			}
			return status.RenderFleet(w, fleet)
		})
		if err != nil || !watch || !pause(ctx, c.Duration("interval")) {
			return err
		}
	}
}

func fleetStatus(ctx context.Context, cl *client) (status.Fleet, error) {
	var fleet status.Fleet
	err := cl.call(ctx, http.MethodGet, statusPath, nil, nil, &fleet)
	return fleet, err
}

// pause waits, and tells whether the command goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on all live routers"},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` of --wait", Value: waitTimeout},
	}
}

// waitIfAsked waits until a revision is in force on all live routers.
func waitIfAsked(ctx context.Context, c *cli.Command, cl *client, revision uint64) error {
	if !c.Bool("wait") {
		return nil
	}
	if revision == 0 {
		note(c, "the version is not known, since the platform's answer was lost; see umberhill status")
		return nil
	}
	// The limit bounds the waiting, not a reading: the message of a wait that
	// failed tells what the last reading saw.
	limit, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	last := -1
	for {
		fleet, err := fleetStatus(ctx, cl)
		if err != nil {
			return err
		}
		behind := lacking(fleet, revision)
		if len(behind) == 0 {
			note(c, "revision %d is in force on %d routers", revision, len(fleet.Routers))
			return nil
		}
		if len(behind) != last {
			note(c, "waiting for %v", behind)
			last = len(behind)
		}
		if !pause(limit, waitPoll) {
			return &timeoutError{revision: revision, behind: behind}
		}
	}
}

// lacking returns the live routers at which a revision isn't in force, or that
// don't say.
func lacking(fleet status.Fleet, revision uint64) []string {
	var out []string
	for _, r := range fleet.Routers {
		if r.Revision < revision {
			out = append(out, r.Instance)
		}
	}
	for _, s := range fleet.Silent {
		if s.Error != noLink {
			out = append(out, s.Instance)
		}
	}
	slices.Sort(out)
	return out
}
