package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/explain"
)

const (
	burnPath       = "/admin/v1/burn"
	explainPath    = "/admin/v1/explain"
	reportFileMode = 0o600
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "reports on the service",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "burn of the error budgets by workspace",
			Description: "Examples:\n  umberhill report burn\n  umberhill report burn --html burn.html",
			Flags:       []cli.Flag{&cli.StringFlag{Name: "html", Usage: "write a page with plots to `FILE`"}},
			Action:      reportBurn,
		}, fairnessCommand(), changesCommand(), leavesCommand()},
	}
}

// writePage writes the burn report as an HTML page to a file.
func writePage(ctx context.Context, c *cli.Command, cl *client, path string) error {
	page, err := cl.raw(ctx, http.MethodGet, burnPath+"?format=html", nil, nil)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, page, reportFileMode); err != nil {
		return errors.Wrap(err, "write report")
	}
	printProgress(c, "wrote %s", path)
	return nil
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say why a request waits or was refused", ArgsUsage: "REQUEST-ID|WORKSPACE",
		Description: "Examples:\n  umberhill explain 01J9ZK3M\n  umberhill explain --logs router-1.log --logs router-2.log 01J9ZK3M",
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name: "logs", Usage: "read routers' logs from `FILE` instead of asking a router; - is standard input",
		}},
		Action: explainRequest,
	}
}

// explanation is the response of the explain call.
type explanation struct {
	Requests []explain.Entry `json:"requests"`
	// Unresponsive names the routers that did not answer.
	Unresponsive []string `json:"silent,omitempty"`
}

func explainRequest(ctx context.Context, c *cli.Command) error {
	id, err := singleArg(c, "request or workspace")
	if err != nil {
		return err
	}
	if files := c.StringSlice("logs"); len(files) > 0 {
		return explainLogs(c, id, files)
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	var ex explanation
	err = cl.call(ctx, http.MethodGet, explainPath+"/"+url.PathEscape(id), nil, nil, &ex)
	var adminErr *adminapi.Error
	if errors.As(err, &adminErr) && adminErr.Code == adminapi.CodeNotFound {
		adminErr.Message = "no router that answered remembers a request or workspace " + id
	}
	if err != nil {
		return err
	}
	return show(c, ex, func(w io.Writer) error { return explainTable(w, ex) })
}

func explainTable(w io.Writer, ex explanation) error {
	t := newTable(w, "REQUEST", "WORKSPACE", "POOL", "CLASS", "STEP", "CODE", "OUTCOME", "TARGET", "TRIES", "QUEUED", "TOTAL", "ARRIVED")
	for _, e := range ex.Requests {
		t.row(e.ID, string(e.Workspace), string(e.Pool), e.Class, e.Step, string(e.Code), string(e.Outcome), string(e.Target),
			fmt.Sprint(e.Attempts), formatMilliseconds(e.QueuedMS), formatMilliseconds(e.TotalMS), e.ArrivedAt.Format(time.TimeOnly))
	}
	for _, instance := range ex.Unresponsive {
		t.row(instance, "did not answer")
	}
	return t.flush()
}

func formatMilliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func reportBurn(ctx context.Context, c *cli.Command) error {
	if err := rejectArgs(c); err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	if path := c.String("html"); path != "" {
		return writePage(ctx, c, cl, path)
	}
	var rep burn.Report
	if err := cl.call(ctx, http.MethodGet, burnPath, nil, nil, &rep); err != nil {
		return err
	}
	return show(c, rep, rep.WriteTable)
}
