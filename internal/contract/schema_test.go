package contract

import (
	"testing"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/schematest"
)

func TestSchema(t *testing.T) {
	src := schematest.Source{Package: "github.com/umberhill/umberhill/internal/contract", Dir: "../api"}
	schematest.Check(t, &api.Contract{}, src, "Contract of a workspace")
}
