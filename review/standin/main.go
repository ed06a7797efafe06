// Command standin plays the cases of the review that are scripts: it starts routers as separate
// processes before stand-ins for the platform, the back ends and the clients, which follow the
// published protocol.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// maxDuration ends a case that hangs. The script that started it ends the processes.
const maxDuration = 112 * time.Second

var cases = map[string]func(trouble bool) (code int, err error){
	"all-killed":   allKilled,
	"hubs-removed": hubsRemoved,
	"cold-again":   coldAgain,
	"watches-cut":  watchesCut,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(couldNotRun)
	}
	time.AfterFunc(maxDuration, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(couldNotRun)
	})
	code, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = couldNotRun
	}
	os.Exit(code)
}
