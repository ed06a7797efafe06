// Package ids defines types for the identifiers of instances, failure domains,
// workspaces, targets and pools, so that they can't be mistaken for each other.
package ids

// Instance is the name of a machine that runs a router.
type Instance string

// Incarnation distinguishes the runs of the process on one instance. A later run has
// a greater incarnation.
type Incarnation uint64

// Domain is the name of a failure domain.
type Domain string

// Workspace is the name of a tenant.
type Workspace string

// Target is the id of a back end: a model engine or a process of a plain service.
type Target string

// Pool is the name of the set of targets that can serve the same requests:
// "model/" or "service/" followed by the name of the model or service.
type Pool string

// ModelPool returns the pool of the targets that serve a model.
func ModelPool(model string) Pool { return Pool("model/" + model) }

// ServicePool returns the pool of the targets of a plain service.
func ServicePool(service string) Pool { return Pool("service/" + service) }
