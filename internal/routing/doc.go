// Package routing holds the data by which a router forwards requests: the
// configuration of routes, services and workspaces, and the targets that serve
// them. Values are immutable once published.
package routing
