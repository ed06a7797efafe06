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
	// waitTimeout is the default of --timeout, which bounds --wait.
	waitTimeout = 30 * time.Second
	// waitPollInterval is the interval at which --wait reads the fleet's status.
	waitPollInterval = 200 * time.Millisecond
	// watchInterval is the default interval of status --watch.
	watchInterval = 2 * time.Second
	// clearScreen moves the cursor home and clears a terminal.
	clearScreen = "\x1b[H\x1b[2J"
	// noLinkError is the error text of a router that is in the platform's list
	// but has no link.
	noLinkError = "no link"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of the fleet",
		Description: "Examples:\n  umberhill status\n  umberhill status --watch --interval 5s\n  umberhill status -o json",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "watch", Usage: "show the state repeatedly"},
			&cli.DurationFlag{Name: "interval", Usage: "`TIME` between two updates of --watch", Value: watchInterval},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	if err := rejectArgs(c); err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
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
		if err != nil || !watch || !sleep(ctx, c.Duration("interval")) {
			return err
		}
	}
}

func fleetStatus(ctx context.Context, cl *client) (status.Fleet, error) {
	var fleet status.Fleet
	err := cl.call(ctx, http.MethodGet, statusPath, nil, nil, &fleet)
	return fleet, err
}

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
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
		&cli.DurationFlag{Name: "timeout", Usage: "maximum `TIME` of --wait", Value: waitTimeout},
	}
}

// waitIfRequested waits until a revision is in force on all live routers if --wait is
// set, and returns a timeoutError if that takes longer than --timeout.
func waitIfRequested(ctx context.Context, c *cli.Command, cl *client, revision uint64) error {
	if !c.Bool("wait") {
		return nil
	}
	if revision == 0 {
		printProgress(c, "the version is not known, since the platform's answer was lost; see umberhill status")
		return nil
	}
	// The timeout bounds the waits between reads of the status but not the reads
	// themselves, so that a timeoutError reports the result of the last read.
	sleepCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	last := -1
	for {
		fleet, err := fleetStatus(ctx, cl)
		if err != nil {
			return err
		}
		behind := routersBehind(fleet, revision)
		if len(behind) == 0 {
			printProgress(c, "revision %d is in force on %d routers", revision, len(fleet.Routers))
			return nil
		}
		if len(behind) != last {
			printProgress(c, "waiting for %v", behind)
			last = len(behind)
		}
		if !sleep(sleepCtx, waitPollInterval) {
			return &timeoutError{revision: revision, behind: behind}
		}
	}
}

// routersBehind returns, in the order of their names, the live routers on which a
// revision isn't in force or that did not answer.
func routersBehind(fleet status.Fleet, revision uint64) []string {
	var out []string
	for _, r := range fleet.Routers {
		if r.Revision < revision {
			out = append(out, r.Instance)
		}
	}
	for _, s := range fleet.Unresponsive {
		if s.Error != noLinkError {
			out = append(out, s.Instance)
		}
	}
	slices.Sort(out)
	return out
}
