package configsync

import (
	"fmt"
	"testing"

	"github.com/umberhill/umberhill/internal/ids"
)

func TestChangedContracts(t *testing.T) {
	s := empty()
	for i := range 3 {
		s.Generations.Contracts++
		s.logContracts(map[ids.Workspace]bool{ids.Workspace(fmt.Sprint(i)): true})
	}
	if changed, ok := s.ChangedContracts(1); !ok || len(changed) != 2 {
		t.Errorf("since 1: %v, %v", changed, ok)
	}
	if changed, ok := s.ChangedContracts(3); !ok || len(changed) != 0 {
		t.Errorf("since 3: %v, %v", changed, ok)
	}
	many := map[ids.Workspace]bool{}
	for i := range maxContractLog {
		many[ids.Workspace(fmt.Sprint("w", i))] = true
	}
	s.Generations.Contracts++
	s.logContracts(many)
	if _, ok := s.ChangedContracts(3); ok {
		t.Error("a log that overflowed must not claim to know the changes")
	}
	if changed, ok := s.ChangedContracts(4); !ok || len(changed) != 0 {
		t.Errorf("since 4: %v, %v", changed, ok)
	}
}
