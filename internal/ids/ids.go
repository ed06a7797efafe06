// Package ids holds the typed names of the things that umberhill deals with.
package ids

// Instance names a machine that runs a router.
type Instance string

// Incarnation tells two runs of the process on the same instance apart.
type Incarnation uint64

// Domain names a failure domain.
type Domain string

// Workspace names a customer.
type Workspace string

// Target names a back end: a model engine or a plain service's process.
type Target string

// Pool names the targets that can serve the same work: "model/" or "service/"
// and the name of the model or service.
type Pool string

// ModelPool returns the pool of the targets that serve a model.
func ModelPool(model string) Pool { return Pool("model/" + model) }

// ServicePool returns the pool of the targets of a plain service.
func ServicePool(service string) Pool { return Pool("service/" + service) }
