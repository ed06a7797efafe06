// Command umberhill-standin runs a fake of the platform, of a model engine or of a
// plain service on a loopback address, for the demo, tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/umberhill/umberhill/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command.New(os.Stdout).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
