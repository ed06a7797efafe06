// Package fairness measures how near workspaces are to less than their fair share. It uses
// what each of them requested and what was started for it in each second, over all routers.
package fairness
