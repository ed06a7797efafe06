package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/explain"
)

// errNoLines is returned if the logs contain no line of the request.
var errNoLines = errors.New("no line of the logs names this request")

// explainLogs shows the lines of a request in the log files, and the lines that
// report the state on which each router based its decisions.
func explainLogs(c *cli.Command, id string, files []string) error {
	var lines []explain.Line
	for _, name := range files {
		fileLines, err := readLog(c, name)
		if err != nil {
			return errors.Wrapf(err, "log %s", name)
		}
		lines = append(lines, fileLines...)
	}
	found := explain.RequestLines(lines, id)
	if len(found) == 0 {
		return errNoLines
	}
	return show(c, found, func(w io.Writer) error {
		for _, line := range found {
			if _, err := io.WriteString(w, line.String()+"\n"); err != nil {
				return err
			}
		}
		return nil
	})
}

func readLog(c *cli.Command, name string) ([]explain.Line, error) {
	if name == "-" {
		return explain.ReadLog(c.Root().Reader)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	lines, err := explain.ReadLog(f)
	return lines, errors.CombineErrors(err, f.Close())
}
