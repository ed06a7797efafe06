package examples

import (
	"encoding/json"
	"os"
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
	g.Expect(minimal.Fairness).To(Equal(full.Fairness), "the full example shows the defaults")
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

// schema is the part of a JSON Schema that names fields.
type schema struct {
	Defs       map[string]schema `json:"$defs"`
	Properties map[string]schema `json:"properties"`
}

// TestExamplesNameEachField counts the fields of the schema by name, at any
// depth.
func TestExamplesNameEachField(t *testing.T) {
	for file, text := range map[string][]byte{"settings.json": settings.Schema, "contract.json": contract.Schema} {
		g := NewWithT(t)
		var s schema
		g.Expect(json.Unmarshal(text, &s)).To(Succeed())
		want := map[string]bool{}
		collect(s, want)
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		var value any
		g.Expect(json.Unmarshal(data, &value)).To(Succeed())
		got := map[string]bool{}
		names(value, got)
		g.Expect(got).To(Equal(want), file)
	}
}

func collect(s schema, out map[string]bool) {
	for name, p := range s.Properties {
		out[name] = true
		collect(p, out)
	}
	for _, d := range s.Defs {
		collect(d, out)
	}
}

func names(value any, out map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			out[name] = true
			names(child, out)
		}
	case []any:
		for _, child := range v {
			names(child, out)
		}
	}
}
