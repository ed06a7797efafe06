package ids_test

import (
	"testing"

	"github.com/umberhill/umberhill/internal/ids"
)

func TestPools(t *testing.T) {
	if got := ids.ModelPool("m"); got != "model/m" {
		t.Errorf("ModelPool = %q, want model/m", got)
	}
	if got := ids.ServicePool("s"); got != "service/s" {
		t.Errorf("ServicePool = %q, want service/s", got)
	}
}
