// Package schematest generates the JSON Schemas of Go types for tests that compare them
// with the committed schemas.
package schematest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/invopop/jsonschema"
)

// updateEnv is the environment variable that makes Check write the schema before it
// compares.
const updateEnv = "UPDATE_SCHEMA"

// schemaFile is the name of the committed schema file.
const schemaFile = "schema.json"

// Source locates the doc comments of a type, which become the descriptions of the
// schema.
type Source struct {
	// Package is the import path of the calling test's package.
	Package string
	// Dir is the directory of the type's package, relative to Package.
	Dir string
}

// Check compares the schema of the type of value with the file schema.json. With
// UPDATE_SCHEMA=1 it writes the file first.
func Check(t *testing.T, value any, src Source, title string) {
	t.Helper()
	want := generate(t, value, src, title)
	if os.Getenv(updateEnv) != "" {
		if err := os.WriteFile(schemaFile, want, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("%s differs from the schema of the types: run the test with %s=1 to update it", schemaFile, updateEnv)
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
