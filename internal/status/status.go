// Package status holds the typed status of one router and of the fleet, and
// its rendering as tables for operators.
package status

import "time"

// Router is what one router says of itself.
type Router struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Version of the program.
	Version string `json:"version,omitempty"`
	// At is the router's clock when it answered.
	At time.Time `json:"at"`
	// UptimeSeconds since the start of this incarnation.
	UptimeSeconds float64 `json:"uptime_seconds"`
	Ready         bool    `json:"ready"`
	Draining      bool    `json:"draining"`
	// Watcher is set while the router watches the platform itself.
	Watcher bool `json:"watcher"`
	// Revision of the configuration in force.
	Revision uint64 `json:"revision"`
	// Held requests: Waiting in the queues and Running at targets.
	Waiting int `json:"waiting"`
	Running int `json:"running"`

	Links      []Link        `json:"links"`
	Targets    []Target      `json:"targets"`
	Workspaces []Workspace   `json:"workspaces"`
	Quarantine []Quarantined `json:"quarantine,omitempty"`
	Ledger     Ledger        `json:"ledger"`
	Platform   Platform      `json:"platform"`
	// Control is the traffic of the links.
	Control Control `json:"control"`
	// Conditions that operators should know of; empty where all is well.
	Conditions []Condition `json:"conditions,omitempty"`
}

// Link is the link to another router.
type Link struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Revision that the peer holds.
	Revision uint64 `json:"revision"`
	Draining bool   `json:"draining,omitempty"`
	Watcher  bool   `json:"watcher,omitempty"`
	// SinceSeconds and HeardSeconds are the ages of the peer's first and last
	// message.
	SinceSeconds float64 `json:"since_seconds"`
	HeardSeconds float64 `json:"heard_seconds"`
}

// Target is a back end as one router sees it.
type Target struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	// Owner of the target's permits.
	Owner string `json:"owner,omitempty"`
	// Concurrency is the most requests that the target runs at a time.
	Concurrency int `json:"concurrency"`
	// Limit in force at the router, at most Concurrency.
	Limit int `json:"limit"`
	// Permits that the router holds, and InFlight those in use.
	Permits  int `json:"permits"`
	InFlight int `json:"in_flight"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Ejected targets failed and rest for a time.
	Ejected bool `json:"ejected,omitempty"`
}

// Workspace is a workspace with requests at the router.
type Workspace struct {
	Workspace string  `json:"workspace"`
	Pool      string  `json:"pool,omitempty"`
	Weight    float64 `json:"weight"`
	Waiting   int     `json:"waiting"`
	Running   int     `json:"running"`
	// OldestSeconds is the age of the oldest waiting request.
	OldestSeconds float64 `json:"oldest_seconds,omitempty"`
	// Units of service over the fleet as the router knows them.
	Units float64 `json:"units"`
	// VirtualService is the fleet's service by weight as the router knows it.
	VirtualService float64 `json:"virtual_service"`
	// Gap is VirtualService above the least of the backlogged workspaces of
	// the pool.
	Gap float64 `json:"gap"`
}

// Quarantined is a request that is kept from targets.
type Quarantined struct {
	// Fingerprint in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// State is "suspect" or "quarantined".
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// LeftSeconds until it may run again.
	LeftSeconds float64 `json:"left_seconds"`
}

// Ledger is the state of the once-only claims.
type Ledger struct {
	// Available is false where claims cannot be made durable at present.
	Available bool `json:"available"`
	// Pending claims wait for the platform.
	Pending int `json:"pending"`
	// Open claims were granted and have no recorded outcome.
	Open int `json:"open"`
}

// Platform is the state of the platform's object service.
type Platform struct {
	Up bool `json:"up"`
	// SinceSeconds is the age of the state.
	SinceSeconds float64 `json:"since_seconds"`
	// Reads, Writes and Watches since the start.
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Error of the last failed call.
	Error string `json:"error,omitempty"`
}

// Control is the traffic on the links of a router.
type Control struct {
	// SentPerSecond and ReceivedPerSecond are bytes on the connections over
	// the last interval of measurement.
	SentPerSecond     float64 `json:"sent_per_second"`
	ReceivedPerSecond float64 `json:"received_per_second"`
	// Bytes by kind since the start, both directions.
	Bytes map[string]uint64 `json:"bytes,omitempty"`
	// Dropped messages since the start.
	Dropped uint64 `json:"dropped"`
}

// ConditionType names what is degraded.
type ConditionType string

// The conditions.
const (
	// ConditionPlatformDown: the object service does not answer.
	ConditionPlatformDown ConditionType = "platform-down"
	// ConditionConfigStale: peers hold a newer configuration.
	ConditionConfigStale ConditionType = "config-stale"
	// ConditionObjectInvalid: an object was not accepted; the last good one
	// stays in force.
	ConditionObjectInvalid ConditionType = "object-invalid"
	// ConditionPeersMissing: routers of the list have no link.
	ConditionPeersMissing ConditionType = "peers-missing"
	// ConditionTargetEjected: a target failed.
	ConditionTargetEjected ConditionType = "target-ejected"
	// ConditionNoTarget: a pool has no target that takes work.
	ConditionNoTarget ConditionType = "no-target"
	// ConditionDraining: the router is stopping.
	ConditionDraining ConditionType = "draining"
	// ConditionOverloaded: the router refuses work for lack of room.
	ConditionOverloaded ConditionType = "overloaded"
	// ConditionLedgerDown: once-only work is refused.
	ConditionLedgerDown ConditionType = "ledger-down"
)

// Condition says what is degraded and why.
type Condition struct {
	Type ConditionType `json:"type"`
	// Subject is the router, target, object or pool concerned.
	Subject string `json:"subject,omitempty"`
	// Message is one plain sentence with the reason.
	Message string `json:"message"`
	// Routers that report it; filled by Merge.
	Routers []string `json:"routers,omitempty"`
}
