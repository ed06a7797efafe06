// Package settings holds the daemon's settings file.
package settings

// Settings is the daemon's whole settings file.
type Settings struct {
	// Fleet is the name that all routers of a fleet share. Required.
	Fleet string `json:"fleet" jsonschema:"maxLength=64"`
	// Instance names this router, unique in the fleet. Required.
	Instance string `json:"instance" jsonschema:"maxLength=64"`
	// Domain is the failure domain of this instance. Required.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// Callers is the listener for callers' requests.
	Callers Callers `json:"callers"`
	// Admin is the listener for operators, metrics and health.
	Admin Admin `json:"admin"`
	// Peer is the link to other routers.
	Peer Peer `json:"peer"`
	// Platform is the object service of the platform.
	Platform Platform `json:"platform"`
	// Fairness tunes the exchange of accounts and permits.
	Fairness Fairness `json:"fairness,omitzero"`
	// Ledger tunes once-only claims.
	Ledger Ledger `json:"ledger,omitzero"`
	// Quarantine tunes the handling of requests that crash targets.
	Quarantine Quarantine `json:"quarantine,omitzero"`
	// Retry tunes retries of idempotent work.
	Retry Retry `json:"retry,omitzero"`
	// Targets tunes the connections to back ends.
	Targets Targets `json:"targets,omitzero"`
	// Log tunes logging.
	Log Log `json:"log,omitzero"`
	// MemorySoftMB is the heap and stacks in MB from which the router collects
	// garbage more often rather than grow; 0 for none. Default 0, 0 to 65,536.
	MemorySoftMB int `json:"memory_soft_mb,omitempty" jsonschema:"default=0,minimum=0,maximum=65536"`
	// StopSeconds is how long a planned stop waits for running requests.
	// Default 600, 1 to 86,400.
	StopSeconds int `json:"stop_seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
	// StopLeadMS is how long in ms a stopping router still takes requests after
	// its readiness went off, so that the balancer sees it first. Default
	// 1,000, 1 to 60,000.
	StopLeadMS int `json:"stop_lead_ms,omitempty" jsonschema:"default=1000,minimum=1,maximum=60000"`
}

// Callers is the listener for callers.
type Callers struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// TLS of the listener; none for plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// MaxBodyBytes bounds a request's body. Default 4,194,304.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" jsonschema:"default=4194304,minimum=1024,maximum=67108864"`
	// MaxHeaderBytes bounds a request's headers. Default 65,536.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty" jsonschema:"default=65536,minimum=4096,maximum=1048576"`
	// ReadSeconds bounds the reading of a whole request. Default 30.
	ReadSeconds int `json:"read_seconds,omitempty" jsonschema:"default=30,minimum=1,maximum=3600"`
	// IdleSeconds bounds an idle kept-alive connection. Default 90.
	IdleSeconds int `json:"idle_seconds,omitempty" jsonschema:"default=90,minimum=1,maximum=3600"`
	// MaxHeld bounds the requests held at a time, waiting and running.
	// Default 8,192.
	MaxHeld int `json:"max_held,omitempty" jsonschema:"default=8192,minimum=1,maximum=1000000"`
	// DefaultDeadlineSeconds is how long a request without a deadline may
	// wait in the queue. Default 600.
	DefaultDeadlineSeconds int `json:"default_deadline_seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
}

// Admin is the listener for operators.
type Admin struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// TLS of the listener; none for plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// Token that operators' requests carry as a bearer token. Required but
	// for /healthz, /readyz and /metrics, which need none.
	Token string `json:"token"`
}

// Peer is the link to other routers.
type Peer struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// Advertise is the IP and port that peers dial. Default Address.
	Advertise string `json:"advertise,omitempty"`
	// TLS of the links, mutual; none for plain TCP.
	TLS *TLS `json:"tls,omitempty"`
	// Seeds are peers known from the start.
	Seeds []Seed `json:"seeds,omitempty"`
	// HeartbeatMS is the interval between heartbeats in ms. Default 1,000.
	HeartbeatMS int `json:"heartbeat_ms,omitempty" jsonschema:"default=1000,minimum=50,maximum=60000"`
	// TimeoutMS is the silence in ms after which a peer is taken for dead.
	// Default 3,000.
	TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"default=3000,minimum=100,maximum=600000"`
}

// Seed is a peer known from the settings.
type Seed struct {
	Instance string `json:"instance" jsonschema:"maxLength=64"`
	Address  string `json:"address"`
	Domain   string `json:"domain" jsonschema:"maxLength=64"`
}

// TLS names certificate files; they are read again when they change.
type TLS struct {
	// CertFile is the certificate chain in PEM.
	CertFile string `json:"cert_file"`
	// KeyFile is the private key in PEM.
	KeyFile string `json:"key_file"`
	// CAFile verifies the other side in PEM; required for peers.
	CAFile string `json:"ca_file,omitempty"`
}

// Platform is the object service.
type Platform struct {
	// URL of the service, such as "http://127.0.0.1:7000". Required.
	URL string `json:"url"`
	// Token sent as a bearer token; none where empty.
	Token string `json:"token,omitempty"`
	// TimeoutMS bounds one call in ms, watches apart. Default 2,000.
	TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"default=2000,minimum=50,maximum=60000"`
	// Watchers is how many routers of a failure domain watch the platform.
	// Default 2.
	Watchers int `json:"watchers,omitempty" jsonschema:"default=2,minimum=1,maximum=16"`
}

// Fairness tunes accounts and permits.
type Fairness struct {
	// ReportMS is the interval in ms between reports of service. Default 500.
	ReportMS int `json:"report_ms,omitempty" jsonschema:"default=500,minimum=20,maximum=60000"`
	// Tolerance in service units within which a permit is reused. Default 256.
	Tolerance float64 `json:"tolerance,omitempty" jsonschema:"default=256,minimum=0,maximum=1000000000"`
	// Mode is "fleet", or one of the baselines "local" and "fifo", which exist
	// for comparison only. Default "fleet".
	Mode string `json:"mode,omitempty" jsonschema:"default=fleet,enum=fleet,enum=local,enum=fifo"`
}

// Ledger tunes once-only claims.
type Ledger struct {
	// Buckets is the number of claim objects for each window. Default 64.
	Buckets int `json:"buckets,omitempty" jsonschema:"default=64,minimum=1,maximum=65536"`
	// WindowSeconds is how long an idempotency key is remembered at least.
	// Default 86,400.
	WindowSeconds int `json:"window_seconds,omitempty" jsonschema:"default=86400,minimum=60,maximum=2678400"`
	// MaxAnswerBytes of an answer are kept for a repeat. Default 2,048.
	MaxAnswerBytes int `json:"max_answer_bytes,omitempty" jsonschema:"default=2048,minimum=0,maximum=65536"`
}

// Quarantine tunes the handling of requests that crash targets.
type Quarantine struct {
	// Seconds that a request stays in quarantine. Default 600.
	Seconds int `json:"seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
}

// Retry tunes retries.
type Retry struct {
	// BudgetShare of first tries that may be retried. Default 0.1.
	BudgetShare float64 `json:"budget_share,omitempty" jsonschema:"default=0.1,minimum=0,maximum=1"`
	// MaxAttempts for a request, the first included. Default 3.
	MaxAttempts int `json:"max_attempts,omitempty" jsonschema:"default=3,minimum=1,maximum=10"`
}

// Targets tunes the connections to back ends.
type Targets struct {
	// DialMS bounds connecting in ms. Default 1,000.
	DialMS int `json:"dial_ms,omitempty" jsonschema:"default=1000,minimum=10,maximum=60000"`
	// StallMS is the silence in ms of a running engine stream after which the
	// target is taken for frozen. Default 10,000.
	StallMS int `json:"stall_ms,omitempty" jsonschema:"default=10000,minimum=100,maximum=600000"`
	// ServiceStallMS is the silence in ms of a plain service after which the
	// outcome of its request is unknown. Default 60,000.
	ServiceStallMS int `json:"service_stall_ms,omitempty" jsonschema:"default=60000,minimum=100,maximum=3600000"`
	// IdleSeconds bounds an idle kept-alive connection to a target. Default 30.
	IdleSeconds int `json:"idle_seconds,omitempty" jsonschema:"default=30,minimum=1,maximum=3600"`
	// LoadMS is the interval in ms of reading engines' load. Default 1,000.
	LoadMS int `json:"load_ms,omitempty" jsonschema:"default=1000,minimum=50,maximum=60000"`
}

// Log tunes logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level,omitempty" jsonschema:"default=info,enum=debug,enum=info,enum=warn,enum=error"`
	// Format is "json" or "text". Default "json".
	Format string `json:"format,omitempty" jsonschema:"default=json,enum=json,enum=text"`
}
