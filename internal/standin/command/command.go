// Package command is the command line of the stand-ins.
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

// New returns the command umberhill-standin; it prints the ready line to out
// and serves until its context ends.
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
			&cli.StringSliceFlag{Name: "token", Usage: "bearer token let in; any where none is given"},
			&cli.IntFlag{Name: "max-events", Value: platform.DefaultMaxEvents, Usage: "events that a watch can reach back"},
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
			&cli.StringSliceFlag{Name: "model", Usage: "model loaded", Required: true},
			&cli.IntFlag{Name: "concurrency", Value: engine.DefaultConcurrency, Usage: "batch slots"},
			&cli.FloatFlag{Name: "tokens-per-second", Value: engine.DefaultTokensPerSec, Usage: "tokens made for each running request"},
			&cli.FloatFlag{Name: "prompt-tokens-per-second", Usage: "prompt tokens read by a starting request; 0 reads at once"},
			&cli.IntFlag{Name: "max-waiting", Usage: "waiting requests above which others are refused; 0 is unlimited"},
			&cli.IntFlag{Name: "cache-blocks", Usage: "size of the prefix cache in blocks of 16 tokens"},
			&cli.DurationFlag{Name: "load-lag", Value: engine.DefaultLoadLag, Usage: "age of load reports"},
			&cli.DurationFlag{Name: "keep", Value: engine.DefaultKeep, Usage: "how long an ended stream can be resumed"},
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
				Keep:                  cmd.Duration("keep"),
			})
			defer e.Close()
			return serve(ctx, cmd, out, e)
		},
	}
}

func serviceCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service that records the calls it ran",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "name", Usage: "name in the record"},
			&cli.DurationFlag{Name: "run-time", Value: 5 * time.Millisecond, Usage: "time that a call runs"},
			&cli.IntFlag{Name: "concurrency", Value: service.DefaultConcurrency, Usage: "calls run at a time"},
			&cli.StringFlag{Name: "record", Usage: "file that keeps the record over a restart"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := service.New(service.Options{
				Name:        cmd.String("name"),
				RunTime:     cmd.Duration("run-time"),
				Concurrency: cmd.Int("concurrency"),
				Record:      cmd.String("record"),
			})
			if err != nil {
				return err
			}
			return serve(ctx, cmd, out, s)
		},
	}
}

// serve prints the ready line and serves until ctx ends.
func serve(ctx context.Context, cmd *cli.Command, out io.Writer, h http.Handler) error {
	server, err := standin.Start(cmd.String("address"), h)
	if err != nil {
		return err
	}
	ready := standin.Ready{Address: server.Address}
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "stand-in: print ready line"), server.Close())
	}
	<-ctx.Done()
	return server.Close()
}
