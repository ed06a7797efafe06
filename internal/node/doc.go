// Package node runs one router of a fleet whose configuration and targets come
// from a platform: listeners, readiness, the request path and the links to the
// other routers, each a duty of its own, and the planned stop.
package node
