// Command umberhill is the operators' command-line tool for a fleet of routers.
package main

import (
	"os"

	"github.com/umberhill/umberhill/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) }
