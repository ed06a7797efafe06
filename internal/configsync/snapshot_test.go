package configsync

import (
	"fmt"
	"testing"

	"github.com/umberhill/umberhill/internal/ids"
)

// A reader that misses a changed contract would keep serving the old one. After the
// record of changes overflows, readers of older generations must get false, so that
// they compare all contracts.
func TestChangedContracts(t *testing.T) {
	s := emptySnapshot()
	for i := range 3 {
		s.Generations.Contracts++
		s.recordContractChanges(map[ids.Workspace]bool{ids.Workspace(fmt.Sprint(i)): true})
	}
	if changed, ok := s.ChangedContracts(1); !ok || len(changed) != 2 {
		t.Errorf("changes since generation 1: got %v, %v, want 2 workspaces, true", changed, ok)
	}
	if changed, ok := s.ChangedContracts(3); !ok || len(changed) != 0 {
		t.Errorf("changes since generation 3: got %v, %v, want none, true", changed, ok)
	}
	many := map[ids.Workspace]bool{}
	for i := range maxContractChanges {
		many[ids.Workspace(fmt.Sprint("w", i))] = true
	}
	s.Generations.Contracts++
	s.recordContractChanges(many)
	if _, ok := s.ChangedContracts(3); ok {
		t.Error("changes since generation 3 after the record overflowed: got true, want false")
	}
	if changed, ok := s.ChangedContracts(4); !ok || len(changed) != 0 {
		t.Errorf("changes since generation 4: got %v, %v, want none, true", changed, ok)
	}
}
