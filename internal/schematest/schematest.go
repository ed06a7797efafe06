// Package schematest generates the JSON Schemas of typed objects for tests that
// compare them with the committed ones.
package schematest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/invopop/jsonschema"
)

// updateVariable names the environment variable that makes Check write the
// schema instead.
const updateVariable = "UPDATE_SCHEMA"

// file is the name of the committed schemas.
const file = "schema.json"

// Source tells where the comments of a type are.
type Source struct {
	// Package is the import path of the calling test's package.
	Package string
	// Dir is the directory of the type's package, relative to it.
	Dir string
}

// Check compares the schema of the type of value with the file schema.json.
// With UPDATE_SCHEMA=1 it writes the file.
func Check(t *testing.T, value any, src Source, title string) {
	t.Helper()
	want := generate(t, value, src, title)
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(file, want, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("%s does not fit the types: run the test with %s=1", file, updateVariable)
	}
}

func generate(t *testing.T, value any, src Source, title string) []byte {
	r := &jsonschema.Reflector{ExpandedStruct: true}
	if err := r.AddGoComments(src.Package, src.Dir, jsonschema.WithFullComment()); err != nil {
		t.Fatal(err)
	}
	s := r.Reflect(value)
	s.Title = title
	s.ID = ""
	out, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(out, '\n')
}
