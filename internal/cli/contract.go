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
				Description: `Writes only if the contract has not changed since it was read; otherwise
shows both versions and exits with 3. An equal contract is not written again.

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
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "raw", Usage: "print only the contract, to be edited and applied"}},
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
	return &cli.Uint64Flag{Name: "if-version", Usage: "write only if version `N` is current; 0 means that there is no contract"}
}

// conflictError is the error of a write whose condition did not hold. It shows
// both versions of the object.
type conflictError struct {
	cause    *adminapi.Error
	proposed json.RawMessage
}

func (e *conflictError) Error() string { return e.cause.Error() }

func (e *conflictError) Unwrap() error { return e.cause }

func (e *conflictError) show(w io.Writer) {
	_, _ = fmt.Fprintf(w, "current version:\n%s\n", pretty(currentValue(e.cause.Current)))
	if e.proposed != nil {
		_, _ = fmt.Fprintf(w, "yours, on top of version %d:\n%s\n", e.cause.Expected, pretty(e.proposed))
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

func asConflict(err error, proposed json.RawMessage) error {
	var adminErr *adminapi.Error
	if errors.As(err, &adminErr) && adminErr.Code == adminapi.CodeConflict {
		return &conflictError{cause: adminErr, proposed: proposed}
	}
	return err
}

func applyContract(ctx context.Context, c *cli.Command) error {
	if err := rejectArgs(c); err != nil {
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
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	path := contractsPath + "/" + url.PathEscape(parsed.Workspace)
	version, unchanged, err := baseVersion(ctx, c, cl, path, body)
	if err != nil {
		return err
	}
	if unchanged != nil {
		return finishApply(ctx, c, cl, *unchanged, "unchanged")
	}
	var obj platform.Object
	if err := cl.call(ctx, http.MethodPut, path, ifVersion(version), body, &obj); err != nil {
		return asConflict(err, body)
	}
	return finishApply(ctx, c, cl, obj, "applied")
}

// baseVersion returns the version on which the write is conditional: the one given
// by --if-version, or else the current one. It also returns the current object if
// that already equals the body.
func baseVersion(ctx context.Context, c *cli.Command, cl *client, path string, body []byte) (uint64, *platform.Object, error) {
	if c.IsSet("if-version") {
		return c.Uint64("if-version"), nil, nil
	}
	var obj platform.Object
	err := cl.call(ctx, http.MethodGet, path, nil, nil, &obj)
	var adminErr *adminapi.Error
	if errors.As(err, &adminErr) && adminErr.Code == adminapi.CodeNotFound {
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

func finishApply(ctx context.Context, c *cli.Command, cl *client, obj platform.Object, result string) error {
	err := show(c, obj, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "contract %s %s at version %d\n", obj.Name, result, obj.Version)
		return err
	})
	if err != nil {
		return err
	}
	return waitIfRequested(ctx, c, cl, obj.Version)
}

func getContract(ctx context.Context, c *cli.Command) error {
	ws, err := singleArg(c, "workspace")
	if err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
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
	if err := rejectArgs(c); err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	var list adminapi.Objects
	if err := cl.call(ctx, http.MethodGet, contractsPath, nil, nil, &list); err != nil {
		return err
	}
	return show(c, list, func(w io.Writer) error { return contractTable(w, list.Objects) })
}

// contractTable prints contracts as a table. An invalid contract is a row with
// its error.
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
		formatLimit(c.Limits.RequestsPerSecond), formatLimit(float64(c.Limits.Concurrency)), strconv.Itoa(len(c.Routes)),
	}
}

func formatLimit(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprint(limit)
}

func deleteContract(ctx context.Context, c *cli.Command) error {
	ws, err := singleArg(c, "workspace")
	if err != nil {
		return err
	}
	cl, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	var header http.Header
	if c.IsSet("if-version") {
		header = ifVersion(c.Uint64("if-version"))
	}
	var deletion adminapi.Deletion
	if err := cl.call(ctx, http.MethodDelete, contractsPath+"/"+url.PathEscape(ws), header, nil, &deletion); err != nil {
		return asConflict(err, nil)
	}
	return finishDelete(ctx, c, cl, "contract "+ws+" deleted", deletion)
}

func finishDelete(ctx context.Context, c *cli.Command, cl *client, what string, deletion adminapi.Deletion) error {
	err := show(c, deletion, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s at version %d\n", what, deletion.Version)
		return err
	})
	if err != nil {
		return err
	}
	return waitIfRequested(ctx, c, cl, deletion.Version)
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
