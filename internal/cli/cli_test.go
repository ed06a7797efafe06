package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/julienschmidt/httprouter"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/explain"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
	standin "github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/status"
)

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func contractJSON(weight string) string {
	return `{"workspace":"acme","weight":` + weight + `,"keys":[{"id":"k","sha256":"` + hash + `"}]}`
}

type staticConfig struct{ s *configsync.Snapshot }

func (f staticConfig) Snapshot() *configsync.Snapshot { return f.s }

// fixture is a router's admin listener that is backed by a fake platform.
type fixture struct {
	*WithT
	t        *testing.T
	admin    string
	store    *standin.Server
	platform *platform.Client

	mu    sync.Mutex
	fleet status.Fleet
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{WithT: NewWithT(t), t: t, store: standin.New(standin.Options{})}
	store := httptest.NewServer(r.store)
	t.Cleanup(store.Close)
	r.platform = platform.New(platform.Options{URL: store.URL})
	router := httprouter.New()
	adminapi.Register(router, adminapi.Deps{
		Platform: r.platform, Token: "secret",
		Config: staticConfig{&configsync.Snapshot{Targets: map[ids.Target]api.Target{"e1": {ID: "e1"}}}},
		Status: func(context.Context) (any, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.fleet, nil
		},
	})
	router.HandlerFunc("GET", burnPath, serveBurn)
	router.HandlerFunc("GET", explainPath+"/:id", serveExplain)
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	r.admin = srv.URL
	return r
}

// serveBurn serves the burn report of a fleet in which one router answered and
// one did not.
func serveBurn(w http.ResponseWriter, r *http.Request) {
	report := burn.Report{Routers: []string{"r1"}, Unresponsive: []string{"r2"}}
	if r.URL.Query().Get("format") == "html" {
		_, _ = w.Write([]byte("<html>"))
		return
	}
	_ = json.NewEncoder(w).Encode(report)
}

func serveExplain(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/known") {
		http.Error(w, `{"requests":[]}`, http.StatusNotFound)
		return
	}
	ex := explanation{Requests: []explain.Entry{{ID: "known", Step: "queue", Code: "queue_full", QueuedMS: 1500}}}
	_ = json.NewEncoder(w).Encode(ex)
}

// setRevisions sets the revision in force on each router of the fleet.
func (r *fixture) setRevisions(revisions ...uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet = status.Fleet{}
	for i, rev := range revisions {
		r.fleet.Routers = append(r.fleet.Routers, status.Router{Instance: "r" + string(rune('1'+i)), Revision: rev})
	}
}

// run runs the tool with a standard input and returns its exit code and outputs.
func (r *fixture) run(in string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	all := append([]string{"umberhill", "--admin", r.admin, "--token", "secret"}, args...)
	code = Main(all, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func TestApplyGetListDelete(t *testing.T) {
	r := newFixture(t)
	path := filepath.Join(t.TempDir(), "acme.json")
	r.Expect(os.WriteFile(path, []byte(contractJSON("2")), 0o600)).To(Succeed())
	code, out, _ := r.run("", "contract", "apply", "-f", path)
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(Equal("contract acme applied at version 1\n"))
	code, out, _ = r.run(contractJSON(" 2"), "contract", "apply", "-f", "-")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(ContainSubstring("unchanged at version 1"))
	_, out, _ = r.run("", "contract", "list")
	r.Expect(out).To(MatchRegexp(`acme +1 +2 +1`))
	code, out, _ = r.run("", "contract", "get", "acme", "-o", "json")
	r.Expect(code).To(Equal(ExitOK))
	var obj platform.Object
	r.Expect(json.Unmarshal([]byte(out), &obj)).To(Succeed())
	r.Expect(obj.Version).To(Equal(uint64(1)))
	_, out, _ = r.run("", "contract", "get", "acme", "--raw")
	r.Expect(out).To(MatchJSON(contractJSON("2")))
	code, out, _ = r.run("", "contract", "delete", "acme", "--if-version", "1")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(Equal("contract acme deleted at version 2\n"))
	code, _, _ = r.run("", "contract", "get", "acme")
	r.Expect(code).To(Equal(ExitNotFound))
}

// TestConflictShowsBothVersions guards against a write that silently overwrites
// the change of another operator.
func TestConflictShowsBothVersions(t *testing.T) {
	r := newFixture(t)
	r.run(contractJSON("1"), "contract", "apply", "-f", "-")
	r.run(contractJSON("2"), "contract", "apply", "-f", "-")
	code, _, errOut := r.run(contractJSON("3"), "contract", "apply", "-f", "-", "--if-version", "1")
	r.Expect(code).To(Equal(ExitConflict))
	r.Expect(errOut).To(ContainSubstring("the object is at version 2; version 1 was expected"))
	r.Expect(errOut).To(ContainSubstring(`"weight": 2`))
	r.Expect(errOut).To(ContainSubstring("yours, on top of version 1"))
	r.Expect(errOut).To(ContainSubstring(`"weight": 3`))
	code, _, _ = r.run(contractJSON("3"), "contract", "apply", "-f", "-", "--if-version", "0")
	r.Expect(code).To(Equal(ExitConflict))
}

func TestInvalidContractIsNotSent(t *testing.T) {
	r := newFixture(t)
	code, _, errOut := r.run(contractJSON("0"), "contract", "apply", "-f", "-")
	r.Expect(code).To(Equal(ExitInvalid))
	r.Expect(errOut).To(ContainSubstring("weight: must be at least 0.01, not 0"))
	r.Expect(r.store.Stats()).To(Equal(standin.Stats{}))
}

func TestWait(t *testing.T) {
	r := newFixture(t)
	r.setRevisions(1, 1, 1)
	code, _, errOut := r.run(contractJSON("1"), "contract", "apply", "-f", "-", "--wait")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(errOut).To(ContainSubstring("in force on 3 routers"))
	r.setRevisions(1, 2, 1)
	r.fleet.Unresponsive = []status.UnresponsiveRouter{{Instance: "r8", Error: "no answer"}, {Instance: "r9", Error: noLinkError}}
	code, out, errOut := r.run(contractJSON("2"), "contract", "apply", "-f", "-", "--wait", "--timeout", "1ms")
	r.Expect(code).To(Equal(ExitTimeout))
	r.Expect(out).To(ContainSubstring("applied at version 2"))
	r.Expect(errOut).To(ContainSubstring("not in force yet at [r1 r3 r8]"))
}

func TestDrain(t *testing.T) {
	r := newFixture(t)
	code, out, _ := r.run("", "target", "drain", "e1", "--reason", "new kernel")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(ContainSubstring("target e1 is leaving at version 1"))
	_, out, _ = r.run("", "drain", "list")
	r.Expect(out).To(MatchRegexp(`target +e1 +1 +new kernel`))
	code, _, _ = r.run("", "target", "undrain", "e1")
	r.Expect(code).To(Equal(ExitOK))
	code, _, errOut := r.run("", "target", "drain", "e9")
	r.Expect(code).To(Equal(ExitNotFound))
	r.Expect(errOut).To(ContainSubstring("there is no target e9"))
}

func TestExitCodesDuringPlatformOutage(t *testing.T) {
	r := newFixture(t)
	r.store.SetFaults(standin.Faults{Down: standin.DownRefuse})
	code, _, _ := r.run(contractJSON("1"), "contract", "apply", "-f", "-", "--if-version", "0")
	r.Expect(code).To(Equal(ExitUnavailable))
	r.store.SetFaults(standin.Faults{Down: standin.DownClose})
	code, _, _ = r.run(contractJSON("1"), "contract", "apply", "-f", "-", "--if-version", "0")
	r.Expect(code).To(Equal(ExitUnconfirmed))
}

func TestStatus(t *testing.T) {
	r := newFixture(t)
	r.setRevisions(7)
	code, out, _ := r.run("", "status")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(ContainSubstring("r1"))
	_, out, _ = r.run("", "-o", "json", "status")
	r.Expect(json.Unmarshal([]byte(out), &status.Fleet{})).To(Succeed())
}

func TestReportAndExplain(t *testing.T) {
	r := newFixture(t)
	code, out, _ := r.run("", "report", "burn")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(And(ContainSubstring("r1"), ContainSubstring("did not answer: r2")))
	_, out, _ = r.run("", "report", "burn", "-o", "json")
	r.Expect(json.Unmarshal([]byte(out), &burn.Report{})).To(Succeed())
	page := filepath.Join(t.TempDir(), "burn.html")
	code, _, _ = r.run("", "report", "burn", "--html", page)
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(os.ReadFile(page)).To(Equal([]byte("<html>")))
	code, out, _ = r.run("", "explain", "known")
	r.Expect(code).To(Equal(ExitOK))
	r.Expect(out).To(MatchRegexp(`known .*queue .*queue_full .*1\.5s`))
	code, _, errOut := r.run("", "explain", "unknown")
	r.Expect(code).To(Equal(ExitNotFound))
	r.Expect(errOut).To(ContainSubstring("no router that answered remembers"))
}

func TestUsage(t *testing.T) {
	r := newFixture(t)
	for _, args := range [][]string{
		{},
		{"bogus"},
		{"contract"},
		{"contract", "bogus"},
		{"contract", "get"},
		{"contract", "get", "a", "b"},
		{"contract", "apply"},
		{"status", "x"},
		{"status", "--nope"},
		{"-o", "xml", "status"},
		{"schema", "x"},
		{"key", "hash"},
		{"--admin", "127.0.0.1:1", "status"},
	} {
		code, _, errOut := r.run("", args...)
		r.Expect(code).To(Equal(ExitUsage), "%v: %s", args, errOut)
	}
	code, _, _ := r.run("", "--admin", "http://127.0.0.1:1", "status")
	r.Expect(code).To(Equal(ExitUnavailable))
}

func TestOfflineCommands(t *testing.T) {
	r := newFixture(t)
	_, out, _ := r.run("test\n", "key", "hash", "--id", "k")
	r.Expect(out).To(MatchJSON(`{"id":"k","sha256":"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}`))
	for _, args := range [][]string{{"schema", "settings"}, {"schema", "contract"}, {"version"}, {"completion", "bash"}, {"--help"}} {
		code, out, _ := r.run("", args...)
		r.Expect(code).To(Equal(ExitOK))
		r.Expect(out).NotTo(BeEmpty())
	}
}
