package settings

import (
	"testing"

	"github.com/umberhill/umberhill/internal/schematest"
)

func TestSchema(t *testing.T) {
	src := schematest.Source{Package: "github.com/umberhill/umberhill/internal/settings", Dir: "."}
	schematest.Check(t, &Settings{}, src, "Settings of umberhilld")
}
