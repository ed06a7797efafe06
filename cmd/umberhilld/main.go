// Command umberhilld runs one router of the fleet.
package main

import (
	"os"

	"github.com/umberhill/umberhill/internal/daemon/command"
)

func main() { os.Exit(command.Main(os.Args)) }
