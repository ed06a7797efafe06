package bench

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/harness"
)

// NewCommand returns the command umberhill-bench. It runs the programs in its own
// directory and prints to out.
func NewCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "umberhill-bench",
		Usage: "demonstrates, measures and loads fleets on loopback",
		Commands: []*cli.Command{
			demoCommand(out),
			measureCommand(out),
			soakCommand(out),
			loadCommand(out),
			replayCommand(out),
		},
	}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of requests and faults"}
}

func onlyFlag() cli.Flag {
	return &cli.StringFlag{Name: "only", Usage: "run only names with this prefix"}
}

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "send typical requests through a small fleet and check the responses",
		Action: func(ctx context.Context, _ *cli.Command) error {
			binaries, err := harness.BinariesBesideExecutable()
			if err != nil {
				return err
			}
			return Demo(ctx, binaries, out)
		},
	}
}

func measureCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "print one row for each figure",
		Flags: []cli.Flag{
			onlyFlag(), seedFlag(),
			&cli.BoolFlag{Name: "trace", Usage: "print service units by time and workspace to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			binaries, err := harness.BinariesBesideExecutable()
			if err != nil {
				return err
			}
			p := Params{Binaries: binaries, Seed: cmd.Uint64("seed")}
			if cmd.Bool("trace") {
				p.Trace = cmd.Root().ErrWriter
			}
			return RunMeasure(ctx, p, cmd.String("only"), out)
		},
	}
}

func soakCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the long fault scenarios and print their rows",
		Flags: []cli.Flag{
			onlyFlag(), seedFlag(),
			&cli.IntFlag{Name: "seconds", Value: 60, Usage: "total time of all scenarios, in seconds"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			binaries, err := harness.BinariesBesideExecutable()
			if err != nil {
				return err
			}
			p := Params{
				Binaries: binaries,
				Seed:     cmd.Uint64("seed"),
				Duration: time.Duration(cmd.Int("seconds")) * time.Second,
				Trace:    cmd.Root().ErrWriter,
			}
			return Soak(ctx, p, cmd.String("only"), out)
		},
	}
}

func loadCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests of one workspace to running routers",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringSliceFlag{Name: "router", Required: true, Usage: "address of a router's listener for callers"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "bearer key of the workspace"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "model of the requests"},
			&cli.IntFlag{Name: "prompt", Value: 8, Usage: "tokens in each prompt"},
			&cli.IntFlag{Name: "tokens", Value: 16, Usage: "tokens in each response"},
			&cli.BoolFlag{Name: "stream", Usage: "request streamed responses"},
			&cli.IntFlag{Name: "in-flight", Usage: "requests kept in flight; 0 sends at --rate"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the load"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runLoad(ctx, cmd, out)
		},
	}
}

func runLoad(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	flow := Flow{
		Workspace: "load",
		Model:     cmd.String("model"),
		Size:      Size{Prompt: cmd.Int("prompt"), Tokens: cmd.Int("tokens")},
		Stream:    cmd.Bool("stream"),
		InFlight:  cmd.Int("in-flight"),
		Rate:      cmd.Float("rate"),
	}
	if flow.InFlight == 0 && flow.Rate <= 0 {
		return errors.New("load: --rate must be above 0")
	}
	for _, address := range cmd.StringSlice("router") {
		if strings.TrimSpace(address) == "" {
			return errors.New("load: --router must not be empty")
		}
		caller := harness.NewCaller(address, "")
		caller.Key = cmd.String("key")
		defer caller.Close()
		flow.Callers = append(flow.Callers, caller)
	}
	seed := cmd.Uint64("seed")
	load := StartLoad(ctx, seed, flow)
	pause(ctx, cmd.Duration("duration"))
	load.Stop()
	_, err := printRows(out, load.Tally("load").rows("load/", seed))
	return err
}

// rows returns one row for each counter and quantile of the tally.
func (t *Tally) rows(prefix string, seed uint64) []Row {
	firstByte, total := t.histograms()
	count := func(name string, n int64) Row {
		return Row{Name: prefix + name, Value: float64(n), Unit: "requests", Bound: Info(), Seed: seed}
	}
	span := func(name string, d time.Duration) Row {
		return Row{Name: prefix + name, Value: milliseconds(d), Unit: "ms", Bound: Info(), Seed: seed}
	}
	return []Row{
		count("right", t.Correct.Load()),
		count("refused", t.Refused.Load()),
		count("visibly-cut", t.VisiblyTruncated.Load()),
		count("silently-cut", t.SilentlyTruncated.Load()),
		count("wrong", t.Wrong.Load()),
		count("dropped", t.Dropped.Load()),
		span("first-byte-p50", firstByte.quantile(50)),
		span("first-byte-p99", firstByte.quantile(99)),
		span("total-p50", total.quantile(50)),
		span("total-p99", total.quantile(99)),
	}
}
