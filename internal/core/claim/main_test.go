package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run has the same verdict; the command
// line may name another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
