package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Binaries are the paths of the project's built programs.
type Binaries struct {
	Daemon  string
	CLI     string
	Standin string
}

// BinariesIn returns the programs in a directory.
func BinariesIn(dir string) Binaries {
	return Binaries{
		Daemon:  filepath.Join(dir, "umberhilld"),
		CLI:     filepath.Join(dir, "umberhill"),
		Standin: filepath.Join(dir, "umberhill-standin"),
	}
}

// BinariesBesideExecutable returns the programs in the directory of the running
// executable.
func BinariesBesideExecutable() (Binaries, error) {
	self, err := os.Executable()
	if err != nil {
		return Binaries{}, errors.Wrap(err, "harness: find running executable")
	}
	return BinariesIn(filepath.Dir(self)), nil
}

var (
	buildOnce sync.Once
	built     Binaries
	buildDir  string
	errBuild  error
)

// Build builds the programs into a temporary directory, once per process. Clean
// removes the directory.
func Build(ctx context.Context) (Binaries, error) {
	buildOnce.Do(func() { built, errBuild = build(ctx) })
	return built, errBuild
}

// Clean removes the directory that Build created.
func Clean() error {
	if buildDir == "" {
		return nil
	}
	return os.RemoveAll(buildDir)
}

func build(ctx context.Context) (Binaries, error) {
	root, err := moduleRoot(ctx)
	if err != nil {
		return Binaries{}, err
	}
	buildDir, err = os.MkdirTemp("", "umberhill-build-")
	if err != nil {
		return Binaries{}, errors.Wrap(err, "harness: create build directory")
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", buildDir+string(filepath.Separator),
		"./cmd/umberhilld", "./cmd/umberhill", "./cmd/umberhill-standin")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return BinariesIn(buildDir), errors.Wrapf(err, "harness: build: %s", out)
}

func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return "", errors.Wrap(err, "harness: find module root")
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}
