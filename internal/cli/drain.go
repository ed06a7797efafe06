package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/platform"
)

const drainsPath = "/admin/v1/drains"

func targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "announce planned stops of targets",
		Commands: drainCommands(api.DrainTarget, "gets no new work, and what runs there finishes"),
	}
}

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name: "instance", Usage: "announce planned stops of instances",
		Commands: drainCommands(api.DrainInstance, "counts as leaving, and its running requests finish"),
	}
}

func drainCommands(of api.DrainOf, effect string) []*cli.Command {
	return []*cli.Command{
		{
			Name: "drain", Usage: fmt.Sprintf("announce the stop of a %s: it %s", of, effect), ArgsUsage: "ID",
			Description: fmt.Sprintf("Example:\n  umberhill %s drain %s-7 --reason \"new kernel\" --wait", of, of),
			Flags: append([]cli.Flag{
				&cli.StringFlag{Name: "reason", Usage: "`TEXT` for other operators"},
			}, waitFlags()...),
			Action: func(ctx context.Context, c *cli.Command) error { return drain(ctx, c, of) },
		},
		{
			Name: "undrain", Usage: fmt.Sprintf("withdraw the announced stop of a %s", of), ArgsUsage: "ID",
			Flags:  waitFlags(),
			Action: func(ctx context.Context, c *cli.Command) error { return undrain(ctx, c, of) },
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "show announced stops",
		Commands: []*cli.Command{{Name: "list", Usage: "list announced stops", Action: listDrains}},
	}
}

func drainPath(of api.DrainOf, id string) string {
	return drainsPath + "/" + string(of) + "/" + url.PathEscape(id)
}

func drain(ctx context.Context, c *cli.Command, of api.DrainOf) error {
	id, err := singleArg(c, string(of))
	if err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	body, err := json.Marshal(adminapi.DrainRequest{Reason: c.String("reason")})
	if err != nil {
		return errors.Wrap(err, "encode drain")
	}
	var obj platform.Object
	if err := cl.call(ctx, http.MethodPut, drainPath(of, id), nil, body, &obj); err != nil {
		return err
	}
	err = show(c, obj, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s is leaving at version %d\n", of, id, obj.Version)
		return err
	})
	if err != nil {
		return err
	}
	return waitIfRequested(ctx, c, cl, obj.Version)
}

func undrain(ctx context.Context, c *cli.Command, of api.DrainOf) error {
	id, err := singleArg(c, string(of))
	if err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	var deletion adminapi.Deletion
	if err := cl.call(ctx, http.MethodDelete, drainPath(of, id), nil, nil, &deletion); err != nil {
		return err
	}
	return finishDelete(ctx, c, cl, fmt.Sprintf("drain of %s %s taken back", of, id), deletion)
}

func listDrains(ctx context.Context, c *cli.Command) error {
	if err := rejectArgs(c); err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	var list adminapi.Objects
	if err := cl.call(ctx, http.MethodGet, drainsPath, nil, nil, &list); err != nil {
		return err
	}
	return show(c, list, func(w io.Writer) error { return drainTable(w, list.Objects) })
}

func drainTable(w io.Writer, objs []platform.Object) error {
	t := newTable(w, "OF", "ID", "VERSION", "REASON")
	for _, o := range objs {
		var d api.Drain
		if err := json.Unmarshal(o.Value, &d); err != nil {
			return errors.Wrapf(err, "drain %s", o.Name)
		}
		t.row(string(d.Of), d.ID, fmt.Sprint(o.Version), d.Reason)
	}
	return t.flush()
}
