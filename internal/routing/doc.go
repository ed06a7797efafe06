// Package routing holds what a router needs to know to send a request on: the
// configuration of routes, services and workspaces, and the targets that serve
// them. Values are immutable once published.
package routing
