package routing

import (
	"slices"

	"github.com/umberhill/umberhill/internal/ids"
)

// RegionsFor returns the regions whose targets may get a workspace's request on a route:
// those that are on the lists of both, as far as they have one. It returns nil for all
// regions, and an empty slice for none.
func (c *Config) RegionsFor(r *Route, ws ids.Workspace) []string {
	ofWorkspace := c.AllowedRegions[ws]
	switch {
	case len(ofWorkspace) == 0 && len(r.AllowedRegions) == 0:
		return nil
	case len(ofWorkspace) == 0:
		return r.AllowedRegions
	case len(r.AllowedRegions) == 0:
		return ofWorkspace
	}
	both := make([]string, 0, len(ofWorkspace))
	for _, region := range ofWorkspace {
		if slices.Contains(r.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both
}
