package examples

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/settings"
)

func TestSettings(t *testing.T) {
	g := NewWithT(t)
	full, err := settings.Load("settings.json")
	g.Expect(err).NotTo(HaveOccurred())
	minimal, err := settings.Load("settings-minimal.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(minimal.Fairness).To(Equal(full.Fairness), "the full example must contain the default values")
	g.Expect(minimal.Ledger).To(Equal(full.Ledger))
	g.Expect(minimal.Targets).To(Equal(full.Targets))
	g.Expect(minimal.Retry).To(Equal(full.Retry))
	g.Expect(minimal.StopSeconds).To(Equal(full.StopSeconds))
}

func TestContract(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("contract.json")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = contract.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
}

// schema is the part of a JSON Schema that defines field names.
type schema struct {
	Ref        string            `json:"$ref"`
	Defs       map[string]schema `json:"$defs"`
	Properties map[string]schema `json:"properties"`
	Items      *schema           `json:"items"`
}

func TestExamplesNameEachField(t *testing.T) {
	for file, text := range map[string][]byte{"settings.json": settings.Schema, "contract.json": contract.Schema} {
		g := NewWithT(t)
		var s schema
		g.Expect(json.Unmarshal(text, &s)).To(Succeed())
		want := map[string]bool{}
		s.paths(s.Defs, "", want)
		// Only the links between routers verify the certificate of the other side, so
		// these listeners have no CA file.
		delete(want, ".callers.tls.ca_file")
		delete(want, ".admin.tls.ca_file")
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		var value any
		g.Expect(json.Unmarshal(data, &value)).To(Succeed())
		got := map[string]bool{}
		paths(value, "", got)
		g.Expect(got).To(Equal(want), file)
	}
}

// paths adds the paths of all fields to out, such as ".peer.seeds[].address".
func (s schema) paths(defs map[string]schema, path string, out map[string]bool) {
	if name, ok := strings.CutPrefix(s.Ref, "#/$defs/"); ok {
		s = defs[name]
	}
	for name, p := range s.Properties {
		out[path+"."+name] = true
		p.paths(defs, path+"."+name, out)
	}
	if s.Items != nil {
		s.Items.paths(defs, path+"[]", out)
	}
}

// paths adds the paths of all fields of a decoded JSON value to out.
func paths(value any, path string, out map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			out[path+"."+name] = true
			paths(child, path+"."+name, out)
		}
	case []any:
		for _, child := range v {
			paths(child, path+"[]", out)
		}
	}
}
