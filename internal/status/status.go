// Package status defines the status of a router and of the fleet, merges the
// statuses of all routers into that of the fleet, and renders both as tables for
// operators.
package status

import "time"

// Router is the status that one router reports about itself.
type Router struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Version is the version of the program.
	Version string `json:"version,omitempty"`
	// At is the time of the report by the router's clock.
	At time.Time `json:"at"`
	// UptimeSeconds is the time since the start of this incarnation.
	UptimeSeconds float64 `json:"uptime_seconds"`
	// Ready reports whether a load balancer may send requests to the router.
	Ready bool `json:"ready"`
	// Draining is set while the router is stopping, or is marked as draining by the
	// platform's list or by an operator.
	Draining bool `json:"draining"`
	// Watcher is set while the router watches the platform itself, instead of
	// receiving the configuration from peers.
	Watcher bool `json:"watcher"`
	// Revision is the revision of the configuration in force.
	Revision uint64 `json:"revision"`
	// Waiting is the number of requests in the queues.
	Waiting int `json:"waiting"`
	// Running is the number of requests that run at targets.
	Running int `json:"running"`

	Links      []Link        `json:"links"`
	Targets    []Target      `json:"targets"`
	Workspaces []Workspace   `json:"workspaces"`
	Quarantine []Quarantined `json:"quarantine,omitempty"`
	Ledger     Ledger        `json:"ledger"`
	Platform   Platform      `json:"platform"`
	// Control is the traffic of the links to other routers.
	Control Control `json:"control"`
	// Conditions lists what is degraded; empty if nothing is.
	Conditions []Condition `json:"conditions,omitempty"`
}

// Link is the state of the link to another router.
type Link struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision that the peer holds.
	Revision uint64 `json:"revision"`
	Draining bool   `json:"draining,omitempty"`
	Watcher  bool   `json:"watcher,omitempty"`
	// FirstSeenAgeSeconds is the time since this incarnation of the peer was first
	// linked.
	FirstSeenAgeSeconds float64 `json:"since_seconds"`
	// LastSeenAgeSeconds is the time since the peer's last message.
	LastSeenAgeSeconds float64 `json:"heard_seconds"`
}

// Target is the state of a target as one router reports it.
type Target struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	// Owner is the router that owns the target's permits.
	Owner string `json:"owner,omitempty"`
	// Concurrency is the maximum number of requests that the target runs at a time.
	Concurrency int `json:"concurrency"`
	// Limit is the concurrency limit in force at the router, at most Concurrency.
	Limit int `json:"limit"`
	// Permits is the number of permits that the router holds.
	Permits int `json:"permits"`
	// InFlight is the number of held permits that are in use.
	InFlight int `json:"in_flight"`
	// Draining is set while the target takes no new requests.
	Draining bool `json:"leaving,omitempty"`
	// Ejected is set while the target gets no requests because earlier ones failed.
	Ejected bool `json:"ejected,omitempty"`
}

// Workspace is the state of a workspace that has requests at the router.
type Workspace struct {
	Workspace string  `json:"workspace"`
	Pool      string  `json:"pool,omitempty"`
	Weight    float64 `json:"weight"`
	Waiting   int     `json:"waiting"`
	Running   int     `json:"running"`
	// OldestSeconds is the age of the oldest waiting request.
	OldestSeconds float64 `json:"oldest_seconds,omitempty"`
	// Units is the service used over the whole fleet, by the router's latest
	// information.
	Units float64 `json:"units"`
	// VirtualService is the fleet's service divided by weight, by the router's
	// latest information.
	VirtualService float64 `json:"virtual_service"`
	// Gap is the difference between VirtualService and the lowest VirtualService
	// of the backlogged workspaces of the pool.
	Gap float64 `json:"gap"`
}

// Quarantined is a request that is suspected of crashing targets or is kept from
// them.
type Quarantined struct {
	// Fingerprint is the request's fingerprint in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// State is "suspect" or "quarantined".
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// LeftSeconds is the time until the request may run again.
	LeftSeconds float64 `json:"left_seconds"`
}

// Ledger is the state of the once-only claims.
type Ledger struct {
	// Available is false while claims can't be made durable.
	Available bool `json:"available"`
	// Pending is the number of claims that wait for the platform.
	Pending int `json:"pending"`
	// Open is the number of claims that were granted and have no recorded outcome.
	Open int `json:"open"`
}

// Platform is the state of the platform's object service.
type Platform struct {
	Up bool `json:"up"`
	// SinceSeconds is the time since Up last changed.
	SinceSeconds float64 `json:"since_seconds"`
	// Reads, Writes and Watches count the calls since the router started.
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Error is the error of the last failed call.
	Error string `json:"error,omitempty"`
}

// Control is the traffic on the links of a router.
type Control struct {
	// SentPerSecond and ReceivedPerSecond are the rates in bytes per second on the
	// connections over the last measurement interval.
	SentPerSecond     float64 `json:"sent_per_second"`
	ReceivedPerSecond float64 `json:"received_per_second"`
	// Bytes is the number of bytes per kind of message in both directions since the
	// router started.
	Bytes map[string]uint64 `json:"bytes,omitempty"`
	// Dropped is the number of messages dropped since the router started.
	Dropped uint64 `json:"dropped"`
}

// ConditionType identifies what is degraded.
type ConditionType string

// The types of conditions.
const (
	// ConditionPlatformDown means that the platform's object service does not
	// answer.
	ConditionPlatformDown ConditionType = "platform-down"
	// ConditionConfigStale means that peers hold a newer configuration.
	ConditionConfigStale ConditionType = "config-stale"
	// ConditionObjectInvalid means that an object was rejected; its last valid
	// version stays in force.
	ConditionObjectInvalid ConditionType = "object-invalid"
	// ConditionPeersMissing means that routers of the platform's list have no link.
	ConditionPeersMissing ConditionType = "peers-missing"
	// ConditionTargetEjected means that a target was ejected after failures.
	ConditionTargetEjected ConditionType = "target-ejected"
	// ConditionNoTarget means that a pool has no target that accepts requests.
	ConditionNoTarget ConditionType = "no-target"
	// ConditionDraining means that the router is stopping.
	ConditionDraining ConditionType = "draining"
	// ConditionOverloaded means that the router refuses requests for lack of
	// capacity.
	ConditionOverloaded ConditionType = "overloaded"
	// ConditionLedgerDown means that once-only requests are refused.
	ConditionLedgerDown ConditionType = "ledger-down"
)

// Condition describes one thing that is degraded and why.
type Condition struct {
	Type ConditionType `json:"type"`
	// Subject is the router, target, object or pool that the condition concerns.
	Subject string `json:"subject,omitempty"`
	// Message gives the reason in one sentence.
	Message string `json:"message"`
	// Routers names the routers that report the condition; set by Merge.
	Routers []string `json:"routers,omitempty"`
}
