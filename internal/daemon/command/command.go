// Package command implements the command line of umberhilld.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/daemon"
	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/platform"
)

// The exit codes of umberhilld.
const (
	exitOK = iota
	exitFailed
	exitUsage
	// exitForced is used if a second signal ends a graceful shutdown.
	exitForced
)

// logBufferLines is the number of log lines that may wait to be written; further
// lines are dropped and counted.
const logBufferLines = 4096

// errUsage marks the errors of an invalid command line.
var errUsage = errors.New("usage")

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	err := newCommand().Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "umberhilld:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:           "umberhilld",
		Usage:          "router of an umberhill fleet",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{
				Name:      "run",
				Usage:     "run the router until SIGTERM; a second signal ends it at once",
				ArgsUsage: "SETTINGS",
				Action:    run,
			},
			{
				Name:  "serve",
				Usage: "run the router on the users' platform, with the settings file that the environment names",
				Flags: []cli.Flag{&cli.IntFlag{
					Name: "metrics-port", Usage: "`PORT` of the metrics listener; 0 is the second internal port of the settings",
				}},
				Action: serve,
			},
			{
				Name:      "check",
				Usage:     "check a settings file",
				ArgsUsage: "SETTINGS",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "platform", Usage: "check the settings file of the users' platform"},
					&cli.BoolFlag{Name: "deploy", Usage: "check the deploy file, which tells the users' platform where to run the router"},
				},
				Action: check,
			},
			{
				Name:   "version",
				Usage:  "print version and build information",
				Action: version,
			},
		},
	}
}

func load(cmd *cli.Command) (*settings.Settings, error) {
	if cmd.Args().Len() != 1 {
		return nil, errors.Wrap(errUsage, "expected exactly one settings file")
	}
	return settings.Load(cmd.Args().First())
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := load(cmd)
	if err != nil {
		return err
	}
	logger, err := obs.Logger(s.Log)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go exitOnSecondSignal(ctx)
	return d.Run(ctx)
}

// serve runs the router with the settings file of the users' platform.
func serve(ctx context.Context, cmd *cli.Command) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if port := cmd.Int("metrics-port"); port != 0 {
		s.SetMetricsPort(port)
	}
	logger, err := obs.Logger(settings.Log{})
	if err != nil {
		return err
	}
	out := obs.NewAsyncWriter(os.Stdout, logBufferLines)
	logger.SetOutput(out)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return errors.CombineErrors(platform.Run(ctx, s, logger), out.Close())
}

// exitOnSecondSignal ends the process at the first signal that follows the one
// that ended the context.
func exitOnSecondSignal(ctx context.Context) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, os.Interrupt)
	<-again
	os.Exit(exitForced)
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.Wrap(errUsage, "expected exactly one file")
	}
	path := cmd.Args().First()
	var err error
	switch {
	case cmd.Bool("platform"):
		_, err = platform.ReadSettings(path)
	case cmd.Bool("deploy"):
		err = platform.CheckDeploy(path)
	default:
		_, err = settings.Load(path)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(output(cmd), "ok")
	return err
}

func version(_ context.Context, cmd *cli.Command) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program has no build information")
	}
	_, err := fmt.Fprintf(output(cmd), "umberhilld %s %s\n", info.Main.Version, info.GoVersion)
	return err
}

func output(cmd *cli.Command) io.Writer { return cmd.Root().Writer }
