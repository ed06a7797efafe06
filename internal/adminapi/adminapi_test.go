package adminapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
	standin "github.com/umberhill/umberhill/internal/standin/platform"
)

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func contractJSON(weight string) string {
	return `{"workspace":"acme","weight":` + weight + `,"keys":[{"id":"k","sha256":"` + hash + `"}]}`
}

// staticConfig is a Config whose snapshot does not change.
type staticConfig struct{ s *configsync.Snapshot }

func (f staticConfig) Snapshot() *configsync.Snapshot { return f.s }

// fixture serves the calls from a router that is backed by a fake platform.
type fixture struct {
	*WithT
	store  *standin.Server
	config *configsync.Snapshot
	router *httprouter.Router
}

func newFixture(t *testing.T) *fixture {
	store := standin.New(standin.Options{})
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	r := &fixture{WithT: NewWithT(t), store: store, router: httprouter.New(), config: &configsync.Snapshot{
		Contracts: map[ids.Workspace]*api.Contract{},
		Targets:   map[ids.Target]api.Target{"e1": {ID: "e1"}},
	}}
	Register(r.router, Deps{
		Platform: platform.New(platform.Options{URL: srv.URL}),
		Config:   staticConfig{r.config}, Token: "secret",
	})
	return r
}

// call sends a request with headers in the form "Name: value", decodes the
// response into out unless that is nil, and returns the status.
func (r *fixture) call(method, path, body string, out any, headers ...string) int {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	r.router.ServeHTTP(w, req)
	if out != nil {
		r.Expect(json.Unmarshal(w.Body.Bytes(), out)).To(Succeed(), w.Body.String())
	}
	return w.Code
}

func (r *fixture) callError(method, path, body string, headers ...string) (int, *Error) {
	var b ErrorBody
	status := r.call(method, path, body, &b, headers...)
	r.Expect(b.Error).NotTo(BeNil())
	return status, b.Error
}

func TestTokenIsRequired(t *testing.T) {
	r := newFixture(t)
	for _, header := range []string{"Authorization: ", "Authorization: Bearer wrong", "Authorization: secret"} {
		status, err := r.callError("GET", "/admin/v1/contracts", "", header)
		r.Expect(status).To(Equal(http.StatusUnauthorized))
		r.Expect(err.Code).To(Equal(CodeUnauthorized))
	}
}

func TestContractLifecycle(t *testing.T) {
	r := newFixture(t)
	var obj platform.Object
	r.Expect(r.call("PUT", "/admin/v1/contracts/acme", contractJSON(`1 `), &obj, "If-None-Match: *")).To(Equal(200))
	r.Expect(string(obj.Value)).To(Equal(contractJSON("1")))
	r.Expect(r.call("PUT", "/admin/v1/contracts/acme", contractJSON("2"), &obj, `If-Match: "1"`)).To(Equal(200))
	r.Expect(obj.Version).To(Equal(uint64(2)))
	r.Expect(r.call("GET", "/admin/v1/contracts/acme", "", &obj)).To(Equal(200))
	var list Objects
	r.Expect(r.call("GET", "/admin/v1/contracts", "", &list)).To(Equal(200))
	r.Expect(list.Objects).To(HaveLen(1))
	var deletion Deletion
	r.Expect(r.call("DELETE", "/admin/v1/contracts/acme", "", &deletion, `If-Match: "2"`)).To(Equal(200))
	r.Expect(deletion.Version).To(Equal(uint64(3)))
	status, err := r.callError("GET", "/admin/v1/contracts/acme", "")
	r.Expect(status).To(Equal(404))
	r.Expect(err.Code).To(Equal(CodeNotFound))
}

// TestConflictReturnsBothVersions guards against a write that silently overwrites
// a concurrent change: the loser of the race gets the current object.
func TestConflictReturnsBothVersions(t *testing.T) {
	r := newFixture(t)
	r.call("PUT", "/admin/v1/contracts/acme", contractJSON("1"), nil)
	r.call("PUT", "/admin/v1/contracts/acme", contractJSON("2"), nil, `If-Match: "1"`)
	status, err := r.callError("PUT", "/admin/v1/contracts/acme", contractJSON("3"), `If-Match: "1"`)
	r.Expect(status).To(Equal(http.StatusConflict))
	r.Expect(err.Expected).To(Equal(uint64(1)))
	r.Expect(err.Current.Version).To(Equal(uint64(2)))
	r.Expect(string(err.Current.Value)).To(Equal(contractJSON("2")))
	_, err = r.callError("PUT", "/admin/v1/contracts/acme", contractJSON("3"), `If-None-Match: *`)
	r.Expect(err.Message).To(ContainSubstring("exists already, at version 2"))
	_, err = r.callError("DELETE", "/admin/v1/contracts/acme", "", `If-Match: "1"`)
	r.Expect(err.Code).To(Equal(CodeConflict))
}

func TestInvalidContractIsRejectedWithFieldPath(t *testing.T) {
	r := newFixture(t)
	cases := map[string]string{
		contractJSON(`0`): "weight",
		`{`:               "",
		strings.Replace(contractJSON("1"), "acme", "other", 1): "workspace",
	}
	for body, path := range cases {
		status, err := r.callError("PUT", "/admin/v1/contracts/acme", body)
		r.Expect(status).To(Equal(http.StatusUnprocessableEntity))
		r.Expect(err.Code).To(Equal(CodeInvalid))
		r.Expect(err.Fields[0].Path).To(Equal(path))
	}
	r.config.Contracts["other"] = &api.Contract{Keys: []api.KeyHash{{SHA256: hash}}}
	_, err := r.callError("PUT", "/admin/v1/contracts/acme", contractJSON("1"))
	r.Expect(err.Fields[0].Error()).To(Equal("keys[0].sha256: belongs to workspace other"))
	status, _ := r.callError("PUT", "/admin/v1/contracts/acme", strings.Repeat(" ", maxBodyBytes+1))
	r.Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	for _, header := range []string{`If-Match: x`, `If-Match: "0"`, `If-None-Match: "3"`} {
		status, _ := r.callError("PUT", "/admin/v1/contracts/acme", contractJSON("1"), header)
		r.Expect(status).To(Equal(http.StatusBadRequest), header)
	}
	r.Expect(r.store.Stats().Writes).To(BeZero())
}

// TestLostResponsesAreResolved guards against failing a write that took effect,
// when only the platform's response to it was lost.
func TestLostResponsesAreResolved(t *testing.T) {
	r := newFixture(t)
	r.store.SetFaults(standin.Faults{DropResponseEvery: 1})
	var obj platform.Object
	r.Expect(r.call("PUT", "/admin/v1/contracts/acme", contractJSON("1"), &obj)).To(Equal(200))
	r.Expect(obj.Version).To(Equal(uint64(1)))
	r.Expect(r.call("PUT", "/admin/v1/contracts/acme", contractJSON("2"), &obj, `If-Match: "1"`)).To(Equal(200))
	r.Expect(obj.Version).To(Equal(uint64(2)))
	var deletion Deletion
	r.Expect(r.call("DELETE", "/admin/v1/contracts/acme", "", &deletion)).To(Equal(200))
	r.Expect(deletion.Version).To(BeZero())
}

// TestPlatformOutageIsReported checks that a write that was not applied and a write
// that may have been applied get different codes.
func TestPlatformOutageIsReported(t *testing.T) {
	r := newFixture(t)
	r.store.SetFaults(standin.Faults{Down: standin.DownRefuse})
	for _, method := range []string{"GET", "PUT"} {
		status, err := r.callError(method, "/admin/v1/contracts/acme", contractJSON("1"))
		r.Expect(status).To(Equal(http.StatusServiceUnavailable))
		r.Expect(err.Code).To(Equal(CodeUnavailable))
	}
	r.store.SetFaults(standin.Faults{Down: standin.DownClose})
	status, err := r.callError("PUT", "/admin/v1/contracts/acme", contractJSON("1"))
	r.Expect(status).To(Equal(http.StatusBadGateway))
	r.Expect(err.Code).To(Equal(CodeUnconfirmed))
}

func TestDrains(t *testing.T) {
	r := newFixture(t)
	var obj platform.Object
	r.Expect(r.call("PUT", "/admin/v1/drains/target/e1", `{"reason":"disk"}`, &obj)).To(Equal(200))
	r.Expect(string(obj.Value)).To(Equal(`{"of":"target","id":"e1","reason":"disk"}`))
	r.Expect(obj.Name).To(Equal("target.e1"))
	r.Expect(r.call("PUT", "/admin/v1/drains/target/e1", ``, nil)).To(Equal(200))
	status, _ := r.callError("PUT", "/admin/v1/drains/target/e9", "")
	r.Expect(status).To(Equal(404))
	status, _ = r.callError("PUT", "/admin/v1/drains/domain/e1", "")
	r.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	r.Expect(r.call("DELETE", "/admin/v1/drains/target/e1", "", nil)).To(Equal(200))
	status, _ = r.callError("DELETE", "/admin/v1/drains/target/e1", "")
	r.Expect(status).To(Equal(404))
}
