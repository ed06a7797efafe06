package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/settings"
)

// maxKeyBytes bounds a key read from standard input.
const maxKeyBytes = 4096

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name: "schema", Usage: "print a JSON Schema", ArgsUsage: "settings|contract",
		Description: "Example:\n  umberhill schema contract > contract.schema.json",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := singleArg(c, "schema")
			if err != nil {
				return err
			}
			schemas := map[string][]byte{"settings": settings.Schema, "contract": contract.Schema}
			text, ok := schemas[name]
			if !ok {
				return usagef("no schema %q: name settings or contract", name)
			}
			_, err = c.Root().Writer.Write(text)
			return err
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "work with callers' keys",
		Commands: []*cli.Command{{
			Name: "hash", Usage: "read a key from standard input and print its entry for a contract",
			Description: "The key itself is neither stored nor sent. Example:\n  umberhill key hash --id 2026-12 < key.txt",
			Flags:       []cli.Flag{&cli.StringFlag{Name: "id", Usage: "`ID` by which operators identify the key", Value: "key-1"}},
			Action:      hashKey,
		}},
	}
}

func hashKey(_ context.Context, c *cli.Command) error {
	if err := rejectArgs(c); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(c.Root().Reader, maxKeyBytes+1))
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || len(data) > maxKeyBytes || strings.ContainsAny(key, "\r\n") {
		return usagef("give one key of at most %d bytes on standard input", maxKeyBytes)
	}
	sum := sha256.Sum256([]byte(key))
	entry := api.KeyHash{ID: c.String("id"), SHA256: hex.EncodeToString(sum[:])}
	return writeJSON(c.Root().Writer, entry)
}

// Build is the build information of the program, as the version command prints
// it.
type Build struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print version and build information",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := rejectArgs(c); err != nil {
				return err
			}
			b := build()
			return show(c, b, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "umberhill %s %s %s %s\n", b.Version, b.Revision, b.Go, b.Platform)
				return err
			})
		},
	}
}

func build() Build {
	b := Build{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.time":
			b.Time = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}
