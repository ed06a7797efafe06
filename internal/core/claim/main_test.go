package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed so that test results are reproducible; the command
// line can override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
