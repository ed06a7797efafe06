// Command umberhill-bench runs demonstrations, measurements and load tests against
// fleets of the project's programs on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/umberhill/umberhill/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := bench.NewCommand(os.Stdout).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
