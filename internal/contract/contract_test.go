package contract

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
)

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// validJSON returns the JSON of a valid contract with extra fields appended.
func validJSON(extraFields string) string {
	return `{"workspace":"acme","keys":[{"id":"k1","sha256":"` + hash + `"}]` + extraFields + `}`
}

func TestParseSetsDefaults(t *testing.T) {
	g := NewWithT(t)
	c, err := Parse([]byte(validJSON(`,"limits":{"requests_per_second":2.5},"routes":[{"service":"orders","class":"idempotent"}]`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Weight).To(Equal(1.0))
	g.Expect(c.Limits.Burst).To(Equal(3))
	g.Expect(c.Limits.QueueLength).To(Equal(1024))
	g.Expect(c.Routes[0].PathPrefix).To(Equal("/"))
}

func TestParseErrorsNameThePath(t *testing.T) {
	key := `{"id":"k1","sha256":"` + hash + `"}`
	cases := map[string]string{
		`{`:                                 "bad JSON",
		validJSON(``) + `{}`:                "text after the value",
		`[]`:                                "must be an object, not array",
		validJSON(`,"wieght":2`):            "wieght: unknown field",
		validJSON(`,"Weight":2`):            "Weight: unknown field",
		validJSON(`,"weight":1,"weight":2`): "weight: is given twice",
		validJSON(`,"weight":0`):            "weight: must be at least 0.01, not 0",
		validJSON(`,"weight":1001`):         "weight: must be at most 1000",
		validJSON(`,"weight":"2"`):          "weight: must be a number, not string",
		validJSON(`,"weight":null`):         "weight: must be a number, not null",
		validJSON(`,"limits":{"concurrency":1.5}`):                                                                          "limits.concurrency: must be a whole number in range, not 1.5",
		validJSON(`,"limits":{"queue_length":-1}`):                                                                          "limits.queue_length: must be at least 1",
		validJSON(`,"limits":{"allowance":{"units":5}}`):                                                                    "limits.allowance.window_seconds: is required",
		validJSON(`,"limits":{"allowance":{"units":5,"window_seconds":2678401}}`):                                           "limits.allowance.window_seconds: must be at most 2678400",
		validJSON(`,"routes":[{"class":"twice"}]`):                                                                          "routes[0].class: must be one of idempotent, deferrable, once-only",
		validJSON(`,"routes":[{"class":"once-only","path_prefix":"x"}]`):                                                    "routes[0].path_prefix: must start with /",
		validJSON(`,"routes":[{"class":"once-only","methods":["post"]}]`):                                                   "routes[0].methods[0]: must be an HTTP method",
		validJSON(`,"routes":[{"service":"a","class":"once-only"},{"service":"a","path_prefix":"/","class":"idempotent"}]`): "routes[1]: matches the same requests",
		validJSON(`,"objectives":{"availability":1}`):                                                                       "objectives.availability: must be at most 0.99999",
		validJSON(`,"objectives":{"queue_time":{"milliseconds":0,"share":0.9}}`):                                            "objectives.queue_time.milliseconds: must be at least 1",
		validJSON(`,"objectives":{}`):                                                                                       "objectives: must have at least one",
		`{"workspace":"acme","keys":[]}`:                                                                                    "keys: must have at least one item",
		`{"workspace":"acme"}`:                                                                                              "keys: is required",
		`{"workspace":"","keys":[` + key + `]}`:                                                                             "workspace: is required",
		`{"workspace":"a/b","keys":[` + key + `]}`:                                                                          "workspace: must be letters",
		`{"workspace":"a","keys":[` + key + `,` + key + `]}`:                                                                "keys[1].id: is given twice",
		`{"workspace":"a","keys":[{"id":"k","sha256":"ABC"}]}`:                                                              "keys[0].sha256: must be 64 lower-case",
		strings.Repeat(`[`, 1000):                                                                                           "nested deeper",
		strings.Repeat(` `, MaxBytes+1):                                                                                     "larger than",
	}
	for text, want := range cases {
		_, err := Parse([]byte(text))
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
}

// A string in the input may be a secret, so error messages must not repeat it.
func TestErrorsContainNoSecrets(t *testing.T) {
	_, err := Parse([]byte(`{"workspace":"a","keys":"s3cret"}`))
	g := NewWithT(t)
	g.Expect(err).To(HaveOccurred())
	g.Expect(err.Error()).NotTo(ContainSubstring("s3cret"))
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte(validJSON(`,"weight":-1,"limits":{"burst":-1}`)))
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("weight:"), ContainSubstring("limits.burst:"))))
}

func TestClassify(t *testing.T) {
	c := &api.Contract{Routes: []api.Route{
		{Service: "orders", Methods: []string{"POST"}, PathPrefix: "/quotes", Class: api.ClassIdempotent},
		{Service: "orders", PathPrefix: "/notes/", Class: api.ClassDeferrable},
		{Model: "summary", Class: api.ClassDeferrable},
	}}
	cases := []struct {
		service, model, method, path string
		want                         api.Class
	}{
		{"orders", "", "POST", "/quotes", api.ClassIdempotent},
		{"orders", "", "POST", "/quotes/7", api.ClassIdempotent},
		{"orders", "", "POST", "/quotes-final", api.ClassOnceOnly},
		{"orders", "", "PUT", "/quotes", api.ClassOnceOnly},
		{"orders", "", "PUT", "/notes/1", api.ClassDeferrable},
		{"orders", "", "POST", "/", api.ClassOnceOnly},
		{"orders", "", "POST", "", api.ClassOnceOnly},
		{"orders", "", "get", "/", api.ClassOnceOnly},
		{"orders", "", "GET", "/", api.ClassIdempotent},
		{"records", "", "POST", "/quotes", api.ClassOnceOnly},
		{"", "summary", "POST", "/v1/completions", api.ClassDeferrable},
		{"", "chat", "POST", "/v1/completions", api.ClassIdempotent},
	}
	for _, x := range cases {
		got := Classify(c, x.service, x.model, x.method, x.path)
		NewWithT(t).Expect(got).To(Equal(x.want), "%+v", x)
	}
	NewWithT(t).Expect(Classify(nil, "orders", "", "DELETE", "/")).To(Equal(api.ClassOnceOnly))
}

func TestPlatformObjects(t *testing.T) {
	g := NewWithT(t)
	target, err := ParseTarget([]byte(`{"id":"e1","kind":"engine","address":"10.0.0.1:80","domain":"a","concurrency":4,"newer":1}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(target.State).To(Equal(api.StateLive))
	_, err = ParseTarget([]byte(`{"id":"s1","kind":"service","address":"host:80","domain":"a","concurrency":4}`))
	g.Expect(err).To(MatchError(And(ContainSubstring("address:"), ContainSubstring("service:"))))
	_, err = ParseRouter([]byte(`{"id":"r1","peer_address":"10.0.0.1:0","domain":"a"}`))
	g.Expect(err).To(MatchError(ContainSubstring("peer_address:")))
	_, err = ParseDrain([]byte(`{"of":"domain","id":"a"}`))
	g.Expect(err).To(MatchError(ContainSubstring("of: must be one of target, instance")))
}
