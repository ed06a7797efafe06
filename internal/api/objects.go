// Package api defines the objects that operators and the platform write to the
// platform's object service and that routers put in force.
package api

// Kind is the name of an object type at the object service.
type Kind string

// The kinds of objects.
const (
	// KindContract is the kind of Contract, named by workspace.
	KindContract Kind = "contracts"
	// KindTarget is the kind of Target, written by the platform.
	KindTarget Kind = "targets"
	// KindRouter is the kind of Router, written by the platform.
	KindRouter Kind = "routers"
	// KindDrain is the kind of Drain. Its name is "target." or "instance." followed
	// by the id.
	KindDrain Kind = "drains"
	// KindClaims is the kind of a bucket of once-only claims.
	KindClaims Kind = "claims"
	// KindQuarantine is the kind of the record of crashes, which routers write.
	KindQuarantine Kind = "quarantines"
)

// ConfigKinds are the kinds that routers watch and put in force.
var ConfigKinds = []Kind{KindContract, KindTarget, KindRouter, KindDrain}

// State is the state of an instance or target at the platform.
type State string

// The states.
const (
	// StateLive means that the instance or target accepts new requests.
	StateLive State = "live"
	// StateDraining means that it finishes running requests and accepts no new ones.
	StateDraining State = "leaving"
)

// TargetKind distinguishes engines from plain services.
type TargetKind string

// The kinds of target.
const (
	// TargetEngine is a target that serves models.
	TargetEngine TargetKind = "engine"
	// TargetService is a target of a plain service.
	TargetService TargetKind = "service"
)

// Target is a back end that the platform lists.
type Target struct {
	// ID is the name of the target, unique in the fleet.
	ID string `json:"id" jsonschema:"maxLength=128"`
	// Kind is "engine" or "service".
	Kind TargetKind `json:"kind" jsonschema:"enum=engine,enum=service"`
	// Address is the IP and port on which the target accepts HTTP.
	Address string `json:"address"`
	// Domain is the failure domain of the target.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// Models are the models that an engine has loaded.
	Models []string `json:"models,omitempty" jsonschema:"maxItems=256"`
	// Service is the name of the plain service. It is empty for an engine.
	Service string `json:"service,omitempty" jsonschema:"maxLength=128"`
	// Concurrency is the maximum number of requests that the target runs at a time.
	Concurrency int `json:"concurrency" jsonschema:"minimum=1,maximum=100000"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"default=live,enum=live,enum=leaving"`
	// ChecksFencing is set if the target rejects requests with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Router is a router instance that the platform lists.
type Router struct {
	// ID is the name of the instance.
	ID string `json:"id" jsonschema:"maxLength=64"`
	// PeerAddress is the IP and port on which the router accepts links from peers.
	PeerAddress string `json:"peer_address"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"default=live,enum=live,enum=leaving"`
}

// DrainOf is the kind of object that a Drain applies to.
type DrainOf string

// The values of DrainOf.
const (
	DrainTarget   DrainOf = "target"
	DrainInstance DrainOf = "instance"
)

// Drain announces the planned stop of a target or instance.
type Drain struct {
	// Of is "target" or "instance".
	Of DrainOf `json:"of" jsonschema:"enum=target,enum=instance"`
	// ID is the id of the target or instance.
	ID string `json:"id" jsonschema:"maxLength=128"`
	// Reason is free text for other operators.
	Reason string `json:"reason,omitempty" jsonschema:"maxLength=1024"`
}

// Class determines how a request may be executed and retried.
type Class string

// The classes of requests.
const (
	// ClassIdempotent requests may be retried.
	ClassIdempotent Class = "idempotent"
	// ClassDeferrable requests are idempotent, may be delayed and must be delivered.
	ClassDeferrable Class = "deferrable"
	// ClassOnceOnly requests are executed at most once.
	ClassOnceOnly Class = "once-only"
)

// Contract is an operator's agreement with a customer. It determines every limit, share
// and allowance of a workspace.
type Contract struct {
	// Workspace is the name of the customer and of the object.
	Workspace string `json:"workspace" jsonschema:"maxLength=128"`
	// Weight is the share of capacity relative to other workspaces. Default 1, 0.01
	// to 1000.
	Weight float64 `json:"weight,omitempty" jsonschema:"default=1,minimum=0.01,maximum=1000"`
	// Keys are the hashes of the workspace's bearer keys.
	Keys []KeyHash `json:"keys" jsonschema:"maxItems=32"`
	// Limits are the limits of the workspace across the fleet.
	Limits Limits `json:"limits,omitzero"`
	// Routes determine the class of requests. The first matching route applies.
	Routes []Route `json:"routes,omitempty" jsonschema:"maxItems=256"`
	// Objectives are the agreed service levels.
	Objectives *Objectives `json:"objectives,omitempty"`
}

// KeyHash is the hash of a bearer key.
type KeyHash struct {
	// ID identifies the key to operators.
	ID string `json:"id" jsonschema:"maxLength=64"`
	// SHA256 is the SHA-256 hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Limits are the limits of a workspace across the fleet.
type Limits struct {
	// RequestsPerSecond is the rate of admitted requests; 0 is unlimited. Default 0.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// Burst is the number of requests admitted above the rate. Default: the requests
	// of one second at the rate.
	Burst int `json:"burst,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// Concurrency is the maximum number of requests running at a time; 0 is
	// unlimited.
	Concurrency int `json:"concurrency,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// QueueLength is the maximum number of requests queued at one router. Default
	// 1024.
	QueueLength int `json:"queue_length,omitempty" jsonschema:"default=1024,minimum=1,maximum=65536"`
	// Allowance limits the service units consumed in a window.
	Allowance *Allowance `json:"allowance,omitempty"`
}

// Allowance is a limit on the service consumed in a sliding window.
type Allowance struct {
	// Units is the amount of service: tokens at engines, milliseconds at plain
	// services.
	Units uint64 `json:"units" jsonschema:"minimum=1"`
	// WindowSeconds is the length of the window in seconds, 1 to 2,678,400.
	WindowSeconds int `json:"window_seconds" jsonschema:"minimum=1,maximum=2678400"`
}

// Route assigns a class to the requests that match it.
type Route struct {
	// Service is the name of a plain service, or "" for model requests.
	Service string `json:"service,omitempty" jsonschema:"maxLength=128"`
	// Model is the name of a model, or "" for any.
	Model string `json:"model,omitempty" jsonschema:"maxLength=128"`
	// Methods are the HTTP methods that match. An empty list matches any.
	Methods []string `json:"methods,omitempty" jsonschema:"maxItems=16"`
	// PathPrefix is the prefix of the path after the name of the service. Default "/".
	PathPrefix string `json:"path_prefix,omitempty" jsonschema:"default=/,maxLength=1024"`
	// Class is the class of matching requests.
	Class Class `json:"class" jsonschema:"enum=idempotent,enum=deferrable,enum=once-only"`
}

// Objectives are agreed service levels.
type Objectives struct {
	// Availability is the share of requests that receive a complete response, 0.5 to
	// 0.99999.
	Availability float64 `json:"availability,omitempty" jsonschema:"minimum=0.5,maximum=0.99999"`
	// QueueTime is the objective for the wait before dispatch.
	QueueTime *Latency `json:"queue_time,omitempty"`
	// FirstToken is the objective for the time to the first byte of the response.
	FirstToken *Latency `json:"first_token,omitempty"`
}

// Latency is a time limit that a share of requests must meet.
type Latency struct {
	// Milliseconds is the time limit in milliseconds.
	Milliseconds int `json:"milliseconds" jsonschema:"minimum=1,maximum=86400000"`
	// Share is the share of requests within the time limit, 0.5 to 0.99999.
	Share float64 `json:"share" jsonschema:"minimum=0.5,maximum=0.99999"`
}
