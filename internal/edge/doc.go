// Package edge takes callers' requests on the platform's routers and carries
// them to targets: route and workspace are looked up, internal/core/admit
// decides on the target, and the answer is passed on whole or visibly broken.
//
// What may be said of a request follows from what was sent: "not run" only where
// no byte was written towards a target, or the target itself said so.
package edge
