package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/replay"
)

func replayCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "play load patterns against the decisions on a model of engines",
		Description: "Plays each pattern with umberhill's decisions and with baselines, in virtual time.\n" +
			"Examples:\n  umberhill-bench replay\n  umberhill-bench replay --only flood --policy admit --seed 7",
		Flags: []cli.Flag{
			onlyFlag(), seedFlag(),
			&cli.StringFlag{Name: "policy", Usage: "one of admit, round-robin, least-requests, prompt-hash; all where empty"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runReplay(out, cmd.String("only"), replay.Policy(cmd.String("policy")), cmd.Uint64("seed"))
		},
	}
}

func runReplay(out io.Writer, only string, policy replay.Policy, seed uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) error {
		_, err := fmt.Fprintf(t, strings.Repeat("%v\t", len(cells))+"\n", cells...)
		return err
	}
	if err := row("PATTERN", "POLICY", "ASKED", "ON TIME", "LATE", "REFUSED", "LEFT", "WORTH", "WORST WS", "READ AGAIN", "BUSY"); err != nil {
		return err
	}
	played := 0
	for _, p := range replay.Patterns() {
		if !strings.HasPrefix(p.Name, only) {
			continue
		}
		for _, name := range replay.Policies() {
			if policy != "" && name != policy {
				continue
			}
			played++
			r := replay.Play(p, name, seed)
			if err := row(r.Pattern, r.Policy, r.Asked, r.OnTime, r.Late, r.Refused, r.Abandoned, share(r.Worth),
				share(r.WorstWorkspace), share(r.Reread), share(r.Utilisation)); err != nil {
				return err
			}
		}
	}
	if played == 0 {
		return errors.Newf("no pattern begins with %q, or no policy is called %q", only, policy)
	}
	return t.Flush()
}

func share(x float64) string { return fmt.Sprintf("%.3f", x) }
