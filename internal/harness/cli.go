package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
)

// Key returns the bearer key of a workspace's callers in the harness's fleets.
func Key(workspace string) string { return "key-of-" + workspace }

// Contract returns a workspace's contract with the given weight and the hash of
// the workspace's Key.
func Contract(workspace string, weight float64) api.Contract {
	sum := sha256.Sum256([]byte(Key(workspace)))
	return api.Contract{
		Workspace: workspace,
		Weight:    weight,
		Keys:      []api.KeyHash{{ID: "bench", SHA256: hex.EncodeToString(sum[:])}},
	}
}

// CLI runs the operators' tool against a router and returns its standard output.
// An error contains the standard error.
func (f *Fleet) CLI(ctx context.Context, r *Router, args ...string) (string, error) {
	args = append([]string{"--admin", "http://" + r.AdminAddress, "--token", AdminToken}, args...)
	cmd := exec.CommandContext(ctx, f.Binaries.CLI, args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := starter.run(cmd.Run)
	return stdout.String(), errors.Wrapf(err, "umberhill %v: %s", args[4:], stderr.String())
}

// ApplyContract writes a contract with the operators' tool and waits until it is
// in force on all live routers.
func (f *Fleet) ApplyContract(ctx context.Context, contract api.Contract) error {
	path, err := f.WriteContractFile(contract)
	if err != nil {
		return err
	}
	_, err = f.CLI(ctx, f.Routers[0], "contract", "apply", "-f", path, "--wait")
	return err
}

// ApplyContracts writes contracts to the platform and waits until the last of
// them is in force on all live routers. All earlier ones are then in force as
// well.
func (f *Fleet) ApplyContracts(ctx context.Context, contracts ...api.Contract) error {
	last := len(contracts) - 1
	for _, c := range contracts[:last] {
		if err := f.Platform.Put(ctx, api.KindContract, c.Workspace, c); err != nil {
			return err
		}
	}
	return f.ApplyContract(ctx, contracts[last])
}

// WriteContractFile writes a contract to a file in the fleet's directory and
// returns its path.
func (f *Fleet) WriteContractFile(contract api.Contract) (string, error) {
	path := filepath.Join(f.Dir, "contract-"+contract.Workspace+".json")
	return path, writeJSON(path, contract)
}
