package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// settingsJSON returns the JSON of settings without the required field peer, with the
// extra fields appended.
func settingsJSON(extraFields string) string {
	return `{"fleet":"f","instance":"r1","domain":"a","callers":{"address":"127.0.0.1:0"},
		"admin":{"address":"127.0.0.1:0","token":"t"},"platform":{"url":"http://127.0.0.1:7000"}` + extraFields + `}`
}

const validPeer = `,"peer":{"address":"127.0.0.1:7100"}`

func TestParseSetsDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse([]byte(settingsJSON(validPeer)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Peer.Advertise).To(Equal("127.0.0.1:7100"))
	g.Expect(s.Peer.TimeoutMS).To(Equal(3000))
	g.Expect(s.Callers.MaxBodyBytes).To(Equal(int64(4 << 20)))
	g.Expect(s.Fairness.Mode).To(Equal("fleet"))
	g.Expect(s.Retry.BudgetShare).To(Equal(0.1))
	g.Expect(s.StopSeconds).To(Equal(600))
}

// An explicit zero must not be replaced by the default of its field.
func TestParseKeepsExplicitZero(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse([]byte(settingsJSON(validPeer + `,"fairness":{"tolerance":0},"retry":{"budget_share":0}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Fairness.Tolerance).To(BeZero())
	g.Expect(s.Retry.BudgetShare).To(BeZero())
}

func TestParseErrorsNameThePath(t *testing.T) {
	cases := map[string]string{
		`{}`: "fleet: is required",
		settingsJSON(validPeer + `,"stop_seconds":0`):                                                                                  "stop_seconds: must be at least 1, not 0",
		settingsJSON(validPeer + `,"colour":"red"`):                                                                                    "colour: unknown field",
		settingsJSON(validPeer + validPeer):                                                                                            "peer: is given twice",
		settingsJSON(`,"peer":{"address":"localhost:7100"}`):                                                                           "peer.address: must be an IP and port",
		settingsJSON(`,"peer":{"address":"0.0.0.0:7100"}`):                                                                             "peer.advertise: must be an IP and port that others can connect to",
		settingsJSON(`,"peer":{"address":"127.0.0.1:7100","timeout_ms":1500}`):                                                         "peer.timeout_ms: must be at least twice",
		settingsJSON(`,"peer":{"address":"127.0.0.1:7100","seeds":[{"instance":"r2","address":"127.0.0.1:0","domain":"a"}]}`):          "peer.seeds[0].address: must be",
		settingsJSON(`,"peer":{"address":"127.0.0.1:7100","tls":{"cert_file":"c","key_file":"k"}}`):                                    "peer.tls.ca_file: is required",
		strings.Replace(settingsJSON(validPeer), `"callers":{`, `"callers":{"tls":{"cert_file":"c","key_file":"k","ca_file":"a"},`, 1): "callers.tls.ca_file: is for peer.tls only",
		settingsJSON(validPeer + `,"fairness":{"mode":"fast"}`):                                                                        "fairness.mode: must be one of fleet, local, fifo",
		settingsJSON(validPeer + `,"log":{"level":1}`):                                                                                 "log.level: must be a string, not 1",
		`{"fleet":"f","instance":"r","domain":"a","callers":{"address":"127.0.0.1:1"},"admin":{"address":"127.0.0.1:2","token":""},"peer":{"address":"127.0.0.1:3"},"platform":{"url":"http://127.0.0.1:4"}}`: "admin.token: is required",
		`{"fleet":"f","instance":"r","domain":"a","callers":{"address":"127.0.0.1:1"},"admin":{"address":"127.0.0.1:2","token":"t"},"peer":{"address":"127.0.0.1:3"},"platform":{"url":"http://platform:4"}}`: "platform.url: must name the host by its IP",
	}
	for in, want := range cases {
		_, err := Parse([]byte(in))
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)), in)
	}
}

func TestLoad(t *testing.T) {
	g := NewWithT(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	g.Expect(err).To(MatchError(os.ErrNotExist))
	path := filepath.Join(t.TempDir(), "bad.json")
	g.Expect(os.WriteFile(path, []byte(`{"fleet":1}`), 0o600)).To(Succeed())
	_, err = Load(path)
	g.Expect(err).To(MatchError(And(ContainSubstring(path), ContainSubstring("fleet: must be a string"))))
}
