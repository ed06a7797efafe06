package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/platform"
)

const contractsPath = "/admin/v1/contracts"

func contractCommand() *cli.Command {
	return &cli.Command{
		Name: "contract", Usage: "read and change contracts",
		Commands: []*cli.Command{
			{
				Name: "apply", Usage: "write a contract from a file",
				Description: `Writes only if nobody else changed the contract since it was read; else it
shows both versions and exits with 3. A contract that is equal stays.

Examples:
  umberhill contract apply -f acme.json --wait
  umberhill contract apply -f - --if-version 7 < acme.json
  umberhill contract apply -f new.json --if-version 0    # only if there is none`,
				Flags: append([]cli.Flag{
					&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with the contract, - for standard input"},
					ifVersionFlag(),
				}, waitFlags()...),
				Action: applyContract,
			},
			{
				Name: "get", Usage: "show a contract", ArgsUsage: "WORKSPACE",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "raw", Usage: "print the contract alone, to be edited and applied"}},
				Action: getContract,
			},
			{Name: "list", Usage: "list contracts", Action: listContracts},
			{
				Name: "delete", Usage: "withdraw a contract", ArgsUsage: "WORKSPACE",
				Description: "Example:\n  umberhill contract delete acme --if-version 7 --wait",
				Flags:       append([]cli.Flag{ifVersionFlag()}, waitFlags()...),
				Action:      deleteContract,
			},
		},
	}
}

func ifVersionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "if-version", Usage: "write only over version `N`; 0 is no contract"}
}

// conflictError shows the loser of a race both versions.
type conflictError struct {
	cause *adminapi.Error
	mine  json.RawMessage
}

func (e *conflictError) Error() string { return e.cause.Error() }

func (e *conflictError) Unwrap() error { return e.cause }

func (e *conflictError) show(w io.Writer) {
	_, _ = fmt.Fprintf(w, "current version:\n%s\n", pretty(currentValue(e.cause.Current)))
	if e.mine != nil {
		_, _ = fmt.Fprintf(w, "yours, on top of version %d:\n%s\n", e.cause.Expected, pretty(e.mine))
	}
}

func currentValue(obj *platform.Object) any {
	if obj == nil {
		return "none: it was deleted"
	}
	return obj
}

func pretty(value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

func asConflict(err error, mine json.RawMessage) error {
	var api *adminapi.Error
	if errors.As(err, &api) && api.Code == adminapi.CodeConflict {
		return &conflictError{cause: api, mine: mine}
	}
	return err
}

func applyContract(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	body, err := readFile(c, c.String("file"))
	if err != nil {
		return err
	}
	parsed, err := contract.Parse(body)
	if err != nil {
		return err
	}
	cl, err := clientOf(c)
	if err != nil {
		return err
	}
	path := contractsPath + "/" + url.PathEscape(parsed.Workspace)
	version, same, err := base(ctx, c, cl, path, body)
	if err != nil {
		return err
	}
	if same != nil {
		return finishApply(ctx, c, cl, *same, "unchanged")
	}
	var obj platform.Object
	if err := cl.call(ctx, http.MethodPut, path, ifVersion(version), body, &obj); err != nil {
		return asConflict(err, body)
	}
	return finishApply(ctx, c, cl, obj, "applied")
}

// base returns the version that the write is conditional on: the given one, or
// the one that stands. It returns the object where that is equal already.
func base(ctx context.Context, c *cli.Command, cl *client, path string, body []byte) (uint64, *platform.Object, error) {
	if c.IsSet("if-version") {
		return c.Uint64("if-version"), nil, nil
	}
	var obj platform.Object
	err := cl.call(ctx, http.MethodGet, path, nil, nil, &obj)
	var api *adminapi.Error
	if errors.As(err, &api) && api.Code == adminapi.CodeNotFound {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	if bytes.Equal(compact(obj.Value), compact(body)) {
		return obj.Version, &obj, nil
	}
	return obj.Version, nil, nil
}

func compact(data []byte) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return data
	}
	return out.Bytes()
}

func finishApply(ctx context.Context, c *cli.Command, cl *client, obj platform.Object, what string) error {
	err := show(c, obj, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "contract %s %s at version %d\n", obj.Name, what, obj.Version)
		return err
	})
	if err != nil {
		return err
	}
	return waitIfAsked(ctx, c, cl, obj.Version)
}

func getContract(ctx context.Context, c *cli.Command) error {
	ws, err := oneArg(c, "workspace")
	if err != nil {
		return err
	}
	cl, err := clientOf(c)
	if err != nil {
		return err
	}
	var obj platform.Object
	if err := cl.call(ctx, http.MethodGet, contractsPath+"/"+url.PathEscape(ws), nil, nil, &obj); err != nil {
		return err
	}
	if c.Bool("raw") {
		return writeJSON(c.Root().Writer, obj.Value)
	}
	return show(c, obj, func(w io.Writer) error { return contractTable(w, []platform.Object{obj}) })
}

func listContracts(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	cl, err := clientOf(c)
	if err != nil {
		return err
	}
	var list adminapi.Objects
	if err := cl.call(ctx, http.MethodGet, contractsPath, nil, nil, &list); err != nil {
		return err
	}
	return show(c, list, func(w io.Writer) error { return contractTable(w, list.Objects) })
}

// contractTable prints contracts; one that isn't valid is shown as such.
func contractTable(w io.Writer, objs []platform.Object) error {
	t := newTable(w, "WORKSPACE", "VERSION", "WEIGHT", "KEYS", "REQUESTS/S", "CONCURRENCY", "ROUTES")
	for _, o := range objs {
		version := strconv.FormatUint(o.Version, 10)
		parsed, err := contract.Parse(o.Value)
		if err != nil {
			t.row(o.Name, version, "not valid: "+err.Error())
			continue
		}
		t.row(contractCells(parsed, version)...)
	}
	return t.flush()
}

func contractCells(c *api.Contract, version string) []string {
	return []string{
		c.Workspace, version, fmt.Sprint(c.Weight), strconv.Itoa(len(c.Keys)),
		unlimited(c.Limits.RequestsPerSecond), unlimited(float64(c.Limits.Concurrency)), strconv.Itoa(len(c.Routes)),
	}
}

func unlimited(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprint(limit)
}

func deleteContract(ctx context.Context, c *cli.Command) error {
	ws, err := oneArg(c, "workspace")
	if err != nil {
		return err
	}
	cl, err := clientOf(c)
	if err != nil {
		return err
	}
	var header http.Header
	if c.IsSet("if-version") {
		header = ifVersion(c.Uint64("if-version"))
	}
	var gone adminapi.Deletion
	if err := cl.call(ctx, http.MethodDelete, contractsPath+"/"+url.PathEscape(ws), header, nil, &gone); err != nil {
		return asConflict(err, nil)
	}
	return finishDelete(ctx, c, cl, "contract "+ws+" deleted", gone)
}

func finishDelete(ctx context.Context, c *cli.Command, cl *client, what string, gone adminapi.Deletion) error {
	err := show(c, gone, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s at version %d\n", what, gone.Version)
		return err
	})
	if err != nil {
		return err
	}
	return waitIfAsked(ctx, c, cl, gone.Version)
}

// readFile reads a file, or standard input for "-".
func readFile(c *cli.Command, path string) ([]byte, error) {
	switch path {
	case "":
		return nil, usagef("name a file with -f")
	case "-":
		return io.ReadAll(io.LimitReader(c.Root().Reader, contract.MaxBytes+1))
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read contract")
}
