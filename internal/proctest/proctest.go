// Package proctest holds helpers shared by the tests that run real processes.
package proctest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // dot imports are the usual style of specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // dot imports are the usual style of specs

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/status"
)

const (
	// EventuallyTimeout is a generous deadline for conditions that must become true
	// and have no deadline of their own.
	EventuallyTimeout = 20 * time.Second
	// SpecLimit is the time after which a spec that does not end is aborted.
	SpecLimit = time.Minute
	// PollInterval is the time between two checks of a condition.
	PollInterval = 50 * time.Millisecond
	// InForceTimeout is the time within which an accepted change must be in
	// force.
	InForceTimeout = 6 * time.Second
	// DrainEffectTimeout is the time after which a draining target must receive
	// no new requests.
	DrainEffectTimeout = 3 * time.Second
)

// Start starts a fleet and closes it at the end of the spec. It prints the
// fleet's logs if the spec failed.
func Start(ctx context.Context, spec harness.Spec) *harness.Fleet {
	GinkgoHelper()
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	fleet, err := harness.Start(ctx, binaries, spec)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(fleet.Logs())
		}
		fleet.Close()
	})
	return fleet
}

// LocalStatus returns the status that a router reports of itself.
func LocalStatus(ctx context.Context, r *harness.Router) (status.Router, error) {
	var out status.Router
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.AdminAddress+"/admin/v1/status?local=1", nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(data, &out)
}

// RoutersBehind returns the IDs of the routers on which a revision is not in force
// or whose status is not available.
func RoutersBehind(ctx context.Context, routers []*harness.Router, revision uint64) []string {
	var out []string
	for _, r := range routers {
		if s, err := LocalStatus(ctx, r); err != nil || s.Revision < revision {
			out = append(out, r.ID)
		}
	}
	return out
}

// AwaitInForce waits up to InForceTimeout until a revision is in force on all
// routers.
func AwaitInForce(ctx context.Context, routers []*harness.Router, revision uint64) {
	GinkgoHelper()
	Eventually(func() []string { return RoutersBehind(ctx, routers, revision) }, InForceTimeout, PollInterval).Should(BeEmpty())
}

// ObjectVersion returns the version of an object at the platform, 0 where it does
// not exist.
func ObjectVersion(ctx context.Context, f *harness.Fleet, kind api.Kind, name string) uint64 {
	GinkgoHelper()
	list, err := f.Platform.List(ctx, kind)
	Expect(err).NotTo(HaveOccurred())
	for _, o := range list.Objects {
		if o.Name == name {
			return o.Version
		}
	}
	return 0
}

// VersionKey returns the only bearer key of the nth version of a workspace's contract.
// The key that a router accepts therefore identifies the version in force.
func VersionKey(workspace string, n int) string { return fmt.Sprintf("%s-key-%d", workspace, n) }

// VersionContract returns the nth version of a workspace's contract.
func VersionContract(workspace string, n int) api.Contract {
	sum := sha256.Sum256([]byte(VersionKey(workspace, n)))
	return api.Contract{
		Workspace: workspace, Weight: 1,
		Keys: []api.KeyHash{{ID: fmt.Sprint(n), SHA256: hex.EncodeToString(sum[:])}},
	}
}

// AcceptsKey reports whether a router accepts a bearer key. The request that
// it sends names a model that does not exist.
func AcceptsKey(ctx context.Context, caller *harness.Caller, key string) (bool, error) {
	header := http.Header{"Authorization": {"Bearer " + key}, "Content-Type": {"application/json"}}
	resp := caller.Do(ctx, http.MethodPost, "/v1/completions", header, []byte(`{"model":"none","prompt":"x"}`))
	if resp.Err != nil {
		return false, resp.Err
	}
	if resp.Refusal == nil {
		return false, fmt.Errorf("response is not a refusal: status %d, body %s", resp.Status, resp.Body)
	}
	return resp.Refusal.Code != outcome.CodeUnauthorized, nil
}

// PutContract writes a contract over the given version through a router's admin
// API and returns the HTTP status.
func PutContract(ctx context.Context, r *harness.Router, c api.Contract, version uint64) int {
	GinkgoHelper()
	body, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	url := "http://" + r.AdminAddress + "/admin/v1/contracts/" + c.Workspace
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	req.Header.Set("If-Match", fmt.Sprintf(`"%d"`, version))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode
}
