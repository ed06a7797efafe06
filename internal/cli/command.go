// Package cli implements umberhill, the operators' command-line tool. It reads
// and changes the state of the fleet through the admin listener of any router.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := newCommand(in, out, errOut).Run(ctx, args)
	if err != nil {
		printError(errOut, err)
	}
	return exitCode(err)
}

func newCommand(in io.Reader, out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:  "umberhill",
		Usage: "operate a fleet of umberhill routers",
		Description: `Contracts are written to the platform by way of any router; all routers
take them from there within seconds.

Examples:
  umberhill contract apply -f acme.json --wait
  umberhill contract get acme -o json
  umberhill target drain engine-7 --reason "new kernel" --wait
  umberhill status --watch
  umberhill report burn --html burn.html

` + exitHelp,
		Reader: in, Writer: out, ErrWriter: errOut,
		Flags:                 rootFlags(),
		EnableShellCompletion: true,
		Suggest:               true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireSubcommand,
		Commands: []*cli.Command{
			contractCommand(), targetCommand(), instanceCommand(), drainCommand(),
			statusCommand(), reportCommand(), explainCommand(),
			schemaCommand(), keyCommand(), versionCommand(),
		},
	}
	handleUsage(root)
	return root
}

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "admin", Usage: "`URL` of a router's admin listener",
			Value: "http://127.0.0.1:8081", Sources: cli.EnvVars("UMBERHILL_ADMIN"),
		},
		&cli.StringFlag{Name: "token", Usage: "operators' `TOKEN`", Sources: cli.EnvVars("UMBERHILL_TOKEN")},
		&cli.StringFlag{
			Name: "ca-file", Usage: "PEM `FILE` that verifies the admin listener",
			Sources: cli.EnvVars("UMBERHILL_CA_FILE"),
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of the output: table or json",
			Value: formatTable, Validator: checkFormat,
		},
	}
}

func checkFormat(format string) error {
	if format != formatTable && format != formatJSON {
		return errors.Newf("must be table or json, not %q", format)
	}
	return nil
}

// handleUsage marks the errors of parsing the command line as usage errors, in c
// and its subcommands. A command without an action requires a subcommand.
func handleUsage(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	for _, sub := range c.Commands {
		if sub.Action == nil {
			sub.Action = requireSubcommand
		}
		handleUsage(sub)
	}
}

func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unknown command %q; see %s --help", c.Args().First(), c.FullName())
	}
	return usagef("name a command; see %s --help", c.FullName())
}

// singleArg returns the only argument, or a usage error if there isn't exactly one.
func singleArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", usagef("name one %s; see %s --help", what, c.FullName())
	}
	return c.Args().First(), nil
}

func rejectArgs(c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unexpected argument %q; see %s --help", c.Args().First(), c.FullName())
	}
	return nil
}

func clientFromFlags(c *cli.Command) (*client, error) {
	return newClient(c.String("admin"), c.String("token"), c.String("ca-file"))
}

// show prints a value in the chosen output format: as JSON, or by calling table.
func show(c *cli.Command, value any, table func(io.Writer) error) error {
	w := c.Root().Writer
	if c.String("output") != formatJSON {
		return table(w)
	}
	return writeJSON(w, value)
}

func writeJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "write output")
}

// printProgress prints a line on progress to the error output.
func printProgress(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...)
}
