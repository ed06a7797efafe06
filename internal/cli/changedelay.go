package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/changedelay"
	"github.com/umberhill/umberhill/internal/ids"
)

// maxNeverCells is the number of routers without a change that a row names.
const maxNeverCells = 6

// Errors of the report on changes.
var (
	errNoConfigLines = errors.New(`the logs have no line "configuration in force"`)
	errLateChange    = errors.New("a version was not in force everywhere within the bound")
)

func changesCommand() *cli.Command {
	return &cli.Command{
		Name: "changes", Usage: "how long configurations took to be in force everywhere, from routers' logs", ArgsUsage: "LOG...",
		Description: `Shows for each version of the configuration when the first router had it in force
and how much later the others had it, with the last routers and those that never
had it. With a bound it fails if a delay is longer.

Examples:
  umberhill report changes router-1.log router-2.log
  umberhill report changes --bound 4s router-1.log router-2.log`,
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "bound", Usage: "fail if a delay is longer than `TIME`"}},
		Action: reportChanges,
	}
}

func reportChanges(_ context.Context, c *cli.Command) error {
	var logs changedelay.Logs
	if err := readLogs(c, logs.Read); err != nil {
		return err
	}
	versions := logs.Versions()
	if len(versions) == 0 {
		return errNoConfigLines
	}
	if err := show(c, versions, func(w io.Writer) error { return changesTable(w, versions) }); err != nil {
		return err
	}
	bound := c.Duration("bound")
	for _, v := range versions {
		if late := time.Duration(v.LargestMS) * time.Millisecond; bound > 0 && late > bound {
			return errors.Wrapf(errLateChange, "version %d: %v", v.Version, late)
		}
	}
	return nil
}

// readLogs reads the logs that the arguments name.
func readLogs(c *cli.Command, read func(io.Reader) error) error {
	if c.Args().Len() == 0 {
		return usagef("name the logs of all routers; see %s --help", c.FullName())
	}
	for _, name := range c.Args().Slice() {
		if err := readInput(c, name, read); err != nil {
			return errors.Wrapf(err, "log %s", name)
		}
	}
	return nil
}

// readInput reads a file, or standard input if the name is -.
func readInput(c *cli.Command, name string, read func(io.Reader) error) error {
	if name == "-" {
		return read(c.Root().Reader)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	err = read(f)
	return errors.CombineErrors(err, f.Close())
}

func changesTable(w io.Writer, versions []changedelay.Version) error {
	t := newTable(w, "VERSION", "FIRST", "ROUTERS", "MEDIAN", "P99", "LARGEST", "STORE", "LAST", "NEVER")
	for _, v := range versions {
		var last []string
		for _, r := range v.Last {
			last = append(last, fmt.Sprintf("%s %s from %s (known %s)", r.Instance, formatSeconds(r.DelayMS), r.Source, formatSeconds(r.KnownMS)))
		}
		t.row(fmt.Sprint(v.Version), v.FirstAt.Format("15:04:05.000"), fmt.Sprint(v.Routers), formatSeconds(v.MedianMS), formatSeconds(v.P99MS),
			formatSeconds(v.LargestMS), fmt.Sprint(v.FromStore), strings.Join(last, "; "), neverCell(v.Never))
	}
	return t.flush()
}

func formatSeconds(ms int64) string { return fmt.Sprintf("%.2f s", float64(ms)/1000) }

// neverCell names routers that never had a change in force, maxNeverCells at most.
func neverCell(routers []ids.Instance) string {
	var never []string
	for _, name := range routers[:min(len(routers), maxNeverCells)] {
		never = append(never, string(name))
	}
	if rest := len(routers) - maxNeverCells; rest > 0 {
		never = append(never, fmt.Sprintf("%d more", rest))
	}
	return strings.Join(never, " ")
}
