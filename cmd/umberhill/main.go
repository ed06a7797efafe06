// Command umberhill is the operators' tool.
package main

import (
	"os"

	"github.com/umberhill/umberhill/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) }
