package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/replay"
)

// pageMode is the permission bits of the HTML page.
const pageMode = 0o644

func replayCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "simulate load patterns with routing policies and modelled engines",
		Description: "Runs each pattern with umberhill's admission policy and with baseline policies, in virtual time.\n" +
			"Examples:\n  umberhill-bench replay\n  umberhill-bench replay --only flood --policy admit --seed 7\n" +
			"  umberhill-bench replay --html replay.html",
		Flags: []cli.Flag{
			onlyFlag(), seedFlag(),
			&cli.StringFlag{Name: "policy", Usage: "one of admit, round-robin, least-requests, prompt-hash; all if empty"},
			&cli.StringFlag{Name: "html", Usage: "also write a page with charts to `FILE`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			results, err := simulateAll(cmd.String("only"), replay.Policy(cmd.String("policy")), cmd.Uint64("seed"))
			if err != nil {
				return err
			}
			if file := cmd.String("html"); file != "" {
				if err := writePage(file, cmd.Uint64("seed"), results); err != nil {
					return err
				}
			}
			return printReplay(out, results)
		},
	}
}

// simulateAll simulates the patterns whose names start with only, with the given
// policy or, where it is empty, with all policies.
func simulateAll(only string, policy replay.Policy, seed uint64) ([]replay.Result, error) {
	var results []replay.Result
	for _, p := range replay.Patterns() {
		if !strings.HasPrefix(p.Name, only) {
			continue
		}
		for _, name := range replay.Policies() {
			if policy == "" || name == policy {
				results = append(results, replay.Simulate(p, name, seed))
			}
		}
	}
	if len(results) == 0 {
		return nil, errors.Newf("replay: no pattern name starts with %q, or no policy is named %q", only, policy)
	}
	return results, nil
}

func writePage(file string, seed uint64, results []replay.Result) error {
	var page bytes.Buffer
	if err := replay.WriteHTML(&page, seed, results); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, page.Bytes(), pageMode), "write HTML page")
}

func printReplay(out io.Writer, results []replay.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) error {
		_, err := fmt.Fprintf(t, strings.Repeat("%v\t", len(cells))+"\n", cells...)
		return err
	}
	if err := row("PATTERN", "POLICY", "ASKED", "ON TIME", "LATE", "REFUSED", "LEFT", "WORTH", "WORST WS", "WORST SHARE", "READ AGAIN", "BUSY"); err != nil {
		return err
	}
	for _, r := range results {
		if err := row(r.Pattern, r.Policy, r.Requests, r.OnTime, r.Late, r.Refused, r.Abandoned, formatRatio(r.Worth),
			formatRatio(r.WorstWorkspaceWorth), formatRatio(r.WorstShare), formatRatio(r.RepeatedPrefillShare), formatRatio(r.Utilisation)); err != nil {
			return err
		}
	}
	return t.Flush()
}

func formatRatio(x float64) string { return fmt.Sprintf("%.3f", x) }
