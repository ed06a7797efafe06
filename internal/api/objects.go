// Package api holds the typed objects that operators and the platform write to
// the platform's object service and that routers keep in force.
package api

// Kind names a type of object at the platform.
type Kind string

// The kinds.
const (
	// KindContract objects are Contracts, named by workspace.
	KindContract Kind = "contracts"
	// KindTarget objects are Targets, written by the platform.
	KindTarget Kind = "targets"
	// KindRouter objects are Routers, written by the platform.
	KindRouter Kind = "routers"
	// KindDrain objects are Drains, named "target." or "instance." and the id.
	KindDrain Kind = "drains"
	// KindClaims objects are buckets of once-only claims.
	KindClaims Kind = "claims"
)

// ConfigKinds are the kinds that routers watch and keep in force.
var ConfigKinds = []Kind{KindContract, KindTarget, KindRouter, KindDrain}

// State is the platform's view of an instance or target.
type State string

// The states.
const (
	// StateLive takes new work.
	StateLive State = "live"
	// StateLeaving finishes what runs and takes no new work.
	StateLeaving State = "leaving"
)

// TargetKind tells engines and plain services apart.
type TargetKind string

// The kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is a back end as the platform lists it.
type Target struct {
	// ID names the target, unique in the fleet.
	ID string `json:"id" jsonschema:"maxLength=128"`
	// Kind is "engine" or "service".
	Kind TargetKind `json:"kind" jsonschema:"enum=engine,enum=service"`
	// Address is the IP and port that accept HTTP.
	Address string `json:"address"`
	// Domain is the failure domain of the target.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// Models that an engine has loaded.
	Models []string `json:"models,omitempty" jsonschema:"maxItems=256"`
	// Service name of a plain service.
	Service string `json:"service,omitempty" jsonschema:"maxLength=128"`
	// Concurrency is the most requests that the target runs at a time.
	Concurrency int `json:"concurrency" jsonschema:"minimum=1,maximum=100000"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"default=live,enum=live,enum=leaving"`
	// ChecksFencing is set where the target refuses orders with an old number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Router is an entry instance as the platform lists it.
type Router struct {
	// ID names the instance.
	ID string `json:"id" jsonschema:"maxLength=64"`
	// PeerAddress is the IP and port that accept links.
	PeerAddress string `json:"peer_address"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"default=live,enum=live,enum=leaving"`
}

// DrainOf tells what a Drain names.
type DrainOf string

// What a drain may name.
const (
	DrainTarget   DrainOf = "target"
	DrainInstance DrainOf = "instance"
)

// Drain announces a planned stop.
type Drain struct {
	// Of is "target" or "instance".
	Of DrainOf `json:"of" jsonschema:"enum=target,enum=instance"`
	// ID of the target or instance.
	ID string `json:"id" jsonschema:"maxLength=128"`
	// Reason is free text for other operators.
	Reason string `json:"reason,omitempty" jsonschema:"maxLength=1024"`
}

// Class says what may be done with a request.
type Class string

// The classes.
const (
	// ClassIdempotent work may be retried.
	ClassIdempotent Class = "idempotent"
	// ClassDeferrable work is idempotent, may wait and must arrive.
	ClassDeferrable Class = "deferrable"
	// ClassOnceOnly work runs at most once.
	ClassOnceOnly Class = "once-only"
)

// Contract is what an operator agrees with a customer. Every limit, share and
// allowance of a workspace follows from it.
type Contract struct {
	// Workspace names the customer; the object's name.
	Workspace string `json:"workspace" jsonschema:"maxLength=128"`
	// Weight is the share of capacity relative to others. Default 1, 0.01 to 1000.
	Weight float64 `json:"weight,omitempty" jsonschema:"default=1,minimum=0.01,maximum=1000"`
	// Keys are the hashes of the bearer keys of the workspace.
	Keys []KeyHash `json:"keys" jsonschema:"maxItems=32"`
	// Limits bound the workspace over the fleet.
	Limits Limits `json:"limits,omitzero"`
	// Routes give the class of requests; the first that matches counts.
	Routes []Route `json:"routes,omitempty" jsonschema:"maxItems=256"`
	// Objectives are the service levels agreed.
	Objectives *Objectives `json:"objectives,omitempty"`
}

// KeyHash is one bearer key's hash.
type KeyHash struct {
	// ID tells operators which key it is.
	ID string `json:"id" jsonschema:"maxLength=64"`
	// SHA256 is the key's SHA-256 in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Limits bound a workspace over the whole fleet.
type Limits struct {
	// RequestsPerSecond admitted; 0 is unlimited. Default 0.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// Burst in requests above the rate. Default one second's worth.
	Burst int `json:"burst,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// Concurrency is the most requests running at a time; 0 is unlimited.
	Concurrency int `json:"concurrency,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// QueueLength is the most requests waiting at one router. Default 1024.
	QueueLength int `json:"queue_length,omitempty" jsonschema:"default=1024,minimum=1,maximum=65536"`
	// Allowance bounds service units over a window.
	Allowance *Allowance `json:"allowance,omitempty"`
}

// Allowance is an amount of service in a sliding window.
type Allowance struct {
	// Units of service: tokens at engines, milliseconds at plain services.
	Units uint64 `json:"units" jsonschema:"minimum=1"`
	// WindowSeconds is the window's length in seconds, 1 to 2,678,400.
	WindowSeconds int `json:"window_seconds" jsonschema:"minimum=1,maximum=2678400"`
}

// Route classifies requests.
type Route struct {
	// Service name of a plain service, or "" for model requests.
	Service string `json:"service,omitempty" jsonschema:"maxLength=128"`
	// Model name, or "" for any.
	Model string `json:"model,omitempty" jsonschema:"maxLength=128"`
	// Methods that match; empty is any.
	Methods []string `json:"methods,omitempty" jsonschema:"maxItems=16"`
	// PathPrefix after the service's name. Default "/".
	PathPrefix string `json:"path_prefix,omitempty" jsonschema:"default=/,maxLength=1024"`
	// Class of the requests that match.
	Class Class `json:"class" jsonschema:"enum=idempotent,enum=deferrable,enum=once-only"`
}

// Objectives are agreed service levels.
type Objectives struct {
	// Availability is the share of requests answered whole, 0.5 to 0.99999.
	Availability float64 `json:"availability,omitempty" jsonschema:"minimum=0.5,maximum=0.99999"`
	// QueueTime bounds the wait before dispatch.
	QueueTime *Latency `json:"queue_time,omitempty"`
	// FirstToken bounds the time to the first byte of the answer.
	FirstToken *Latency `json:"first_token,omitempty"`
}

// Latency is a bound that a share of requests must meet.
type Latency struct {
	// Milliseconds is the bound.
	Milliseconds int `json:"milliseconds" jsonschema:"minimum=1,maximum=86400000"`
	// Share of requests within it, 0.5 to 0.99999.
	Share float64 `json:"share" jsonschema:"minimum=0.5,maximum=0.99999"`
}
