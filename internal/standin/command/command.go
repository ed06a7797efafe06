// Package command defines the command line of umberhill-standin.
package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/standin"
	"github.com/umberhill/umberhill/internal/standin/engine"
	"github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// New returns the command umberhill-standin. Its subcommands print a standin.Ready line
// to out and serve until their context ends.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "umberhill-standin",
		Usage: "stand-ins for the systems around umberhill",
		Commands: []*cli.Command{
			platformCommand(out),
			engineCommand(out),
			serviceCommand(out),
		},
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP and port to listen on"}
}

func platformCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the platform's object service",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringSliceFlag{Name: "token", Usage: "accepted bearer token; any token is accepted if the flag is not given"},
			&cli.IntFlag{Name: "max-events", Value: platform.DefaultMaxEvents, Usage: "number of past events kept for watches"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, out, platform.New(platform.Options{
				Tokens:    cmd.StringSlice("token"),
				MaxEvents: cmd.Int("max-events"),
			}))
		},
	}
}

func engineCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringSliceFlag{Name: "model", Usage: "loaded model", Required: true},
			&cli.IntFlag{Name: "concurrency", Value: engine.DefaultConcurrency, Usage: "batch slots"},
			&cli.FloatFlag{Name: "tokens-per-second", Value: engine.DefaultTokensPerSecond, Usage: "rate of generated tokens of each running request"},
			&cli.FloatFlag{Name: "prompt-tokens-per-second", Usage: "prefill rate of a starting request; 0 means no prefill time"},
			&cli.IntFlag{Name: "max-waiting", Usage: "maximum number of waiting requests, further ones are refused; 0 is unlimited"},
			&cli.IntFlag{Name: "cache-blocks", Usage: "size of the prefix cache in blocks of 16 tokens"},
			&cli.DurationFlag{Name: "load-lag", Value: engine.DefaultLoadLag, Usage: "interval at which the load report is refreshed"},
			&cli.DurationFlag{Name: "keep", Value: engine.DefaultStreamRetention, Usage: "how long an ended stream can be resumed"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			e := engine.New(engine.Options{
				Models:                cmd.StringSlice("model"),
				Concurrency:           cmd.Int("concurrency"),
				TokensPerSecond:       cmd.Float("tokens-per-second"),
				PromptTokensPerSecond: cmd.Float("prompt-tokens-per-second"),
				MaxWaiting:            cmd.Int("max-waiting"),
				CacheBlocks:           cmd.Int("cache-blocks"),
				LoadLag:               cmd.Duration("load-lag"),
				StreamRetention:       cmd.Duration("keep"),
			})
			defer e.Close()
			return serve(ctx, cmd, out, e)
		},
	}
}

func serviceCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service that records the executed calls",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "name", Usage: "name of the service in the recorded calls"},
			&cli.DurationFlag{Name: "run-time", Value: 5 * time.Millisecond, Usage: "execution time of a call"},
			&cli.IntFlag{Name: "concurrency", Value: service.DefaultConcurrency, Usage: "number of calls executed at a time"},
			&cli.StringFlag{Name: "record", Usage: "file that preserves the recorded calls across restarts"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := service.New(service.Options{
				Name:        cmd.String("name"),
				RunTime:     cmd.Duration("run-time"),
				Concurrency: cmd.Int("concurrency"),
				RecordFile:  cmd.String("record"),
			})
			if err != nil {
				return err
			}
			return serve(ctx, cmd, out, s)
		},
	}
}

// serve starts the server, prints the ready line and serves until ctx ends.
func serve(ctx context.Context, cmd *cli.Command, out io.Writer, h http.Handler) error {
	server, err := standin.Start(cmd.String("address"), h)
	if err != nil {
		return err
	}
	ready := standin.Ready{Address: server.Address}
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "stand-in: write ready line"), server.Close())
	}
	<-ctx.Done()
	return server.Close()
}
