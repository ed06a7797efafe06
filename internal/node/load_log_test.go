package node

import (
	"testing"

	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
)

func TestLoadIsLoggedOfTheWorkspacesThatRequestMost(t *testing.T) {
	loads := make(map[ids.Workspace]*edge.WorkspaceLoad)
	for i := range 2 * maxLoadLines {
		loads[ids.Workspace(rune('a'+i))] = &edge.WorkspaceLoad{RequestedTokens: int64(i)}
	}
	got := largestWorkspaces(loads)
	if len(got) != maxLoadLines || got[0] != "p" || got[maxLoadLines-1] != "i" {
		t.Errorf("got workspaces %v, want the %d that requested most, p to i", got, maxLoadLines)
	}
}
