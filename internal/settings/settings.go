// Package settings defines, loads and validates the daemon's settings file.
package settings

// Settings is the content of the daemon's settings file.
type Settings struct {
	// Fleet is the name of the fleet, shared by all its routers. Required.
	Fleet string `json:"fleet" jsonschema:"maxLength=64"`
	// Instance is the name of this router, unique in the fleet. Required.
	Instance string `json:"instance" jsonschema:"maxLength=64"`
	// Domain is the failure domain of this instance. Required.
	Domain string `json:"domain" jsonschema:"maxLength=64"`
	// Callers configures the listener for callers.
	Callers Callers `json:"callers"`
	// Admin configures the listener for operators, metrics and health checks.
	Admin Admin `json:"admin"`
	// Peer configures the links to other routers.
	Peer Peer `json:"peer"`
	// Platform configures the access to the platform's object service.
	Platform Platform `json:"platform"`
	// Fairness configures how routers exchange permits and the accounts of consumed
	// service.
	Fairness Fairness `json:"fairness,omitzero"`
	// Ledger configures once-only claims.
	Ledger Ledger `json:"ledger,omitzero"`
	// Quarantine configures the handling of requests that crash targets.
	Quarantine Quarantine `json:"quarantine,omitzero"`
	// Retry configures retries of idempotent requests.
	Retry Retry `json:"retry,omitzero"`
	// Targets configures the connections to targets.
	Targets Targets `json:"targets,omitzero"`
	// Log configures logging.
	Log Log `json:"log,omitzero"`
	// MemorySoftMB is the soft limit in MB of the heap and stacks, above which
	// garbage is collected more often; 0 is no limit. Default 0, 0 to 65,536.
	MemorySoftMB int `json:"memory_soft_mb,omitempty" jsonschema:"default=0,minimum=0,maximum=65536"`
	// StopSeconds is how long in seconds a planned stop waits for running
	// requests. Default 600, 1 to 86,400.
	StopSeconds int `json:"stop_seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
	// StopLeadMS is how long in ms a stopping router still accepts requests after
	// it has become unready, so that the load balancer stops sending requests
	// first. Default 1,000, 1 to 60,000.
	StopLeadMS int `json:"stop_lead_ms,omitempty" jsonschema:"default=1000,minimum=1,maximum=60000"`
}

// Callers configures the listener for callers.
type Callers struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// TLS enables TLS on the listener. Default: plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// MaxBodyBytes is the size limit of a request's body. Default 4,194,304.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" jsonschema:"default=4194304,minimum=1024,maximum=67108864"`
	// MaxHeaderBytes is the size limit of a request's headers. Default 65,536.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty" jsonschema:"default=65536,minimum=4096,maximum=1048576"`
	// ReadSeconds is the time limit in seconds for reading a whole request.
	// Default 30.
	ReadSeconds int `json:"read_seconds,omitempty" jsonschema:"default=30,minimum=1,maximum=3600"`
	// IdleSeconds is how long in seconds an idle connection is kept open.
	// Default 90.
	IdleSeconds int `json:"idle_seconds,omitempty" jsonschema:"default=90,minimum=1,maximum=3600"`
	// MaxHeld is the maximum number of requests held at a time, queued and
	// running. Default 8,192.
	MaxHeld int `json:"max_held,omitempty" jsonschema:"default=8192,minimum=1,maximum=1000000"`
	// DefaultDeadlineSeconds is how long in seconds a request without a deadline
	// may wait in the queue. Default 600.
	DefaultDeadlineSeconds int `json:"default_deadline_seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
}

// Admin configures the listener for operators, metrics and health checks.
type Admin struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// TLS enables TLS on the listener. Default: plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// Token is the bearer token that operators' requests must carry. Required.
	// Requests for /healthz, /readyz and /metrics need no token.
	Token string `json:"token"`
}

// Peer configures the links to other routers.
type Peer struct {
	// Address is the IP and port to listen on. Required.
	Address string `json:"address"`
	// Advertise is the IP and port that peers dial. Default: the value of address.
	Advertise string `json:"advertise,omitempty"`
	// TLS enables mutual TLS on the links. Default: plain TCP.
	TLS *TLS `json:"tls,omitempty"`
	// Seeds lists the initial peers.
	Seeds []Seed `json:"seeds,omitempty"`
	// HeartbeatMS is the interval in ms between heartbeats. Default 1,000.
	HeartbeatMS int `json:"heartbeat_ms,omitempty" jsonschema:"default=1000,minimum=50,maximum=60000"`
	// TimeoutMS is how long in ms a peer may send nothing before it is considered
	// failed. Default 3,000.
	TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"default=3000,minimum=100,maximum=600000"`
}

// Seed is a peer that is listed in the settings.
type Seed struct {
	Instance string `json:"instance" jsonschema:"maxLength=64"`
	Address  string `json:"address"`
	Domain   string `json:"domain" jsonschema:"maxLength=64"`
}

// TLS names the certificate files. They are reloaded when they change.
type TLS struct {
	// CertFile is the file of the certificate chain in PEM format.
	CertFile string `json:"cert_file"`
	// KeyFile is the file of the private key in PEM format.
	KeyFile string `json:"key_file"`
	// CAFile is the file of the CA certificates in PEM format that verify the
	// other side. Required for peers.
	CAFile string `json:"ca_file,omitempty"`
}

// Platform configures the access to the platform's object service.
type Platform struct {
	// URL is the URL of the service, such as "http://127.0.0.1:7000". Required.
	URL string `json:"url"`
	// Token is sent as a bearer token. Default: none.
	Token string `json:"token,omitempty"`
	// TimeoutMS is the time limit in ms of a call. The duration that a watch
	// waits for changes is added to it. Default 2,000.
	TimeoutMS int `json:"timeout_ms,omitempty" jsonschema:"default=2000,minimum=50,maximum=60000"`
	// Watchers is the number of routers in each failure domain that watch the
	// platform. Default 2.
	Watchers int `json:"watchers,omitempty" jsonschema:"default=2,minimum=1,maximum=16"`
}

// Fairness configures how routers exchange permits and the accounts of consumed
// service.
type Fairness struct {
	// ReportMS is the interval in ms between reports of consumed service.
	// Default 500.
	ReportMS int `json:"report_ms,omitempty" jsonschema:"default=500,minimum=20,maximum=60000"`
	// Tolerance is how far above the lowest virtual service a workspace may be, in
	// service units by weight, and still reuse a permit that was recalled.
	// Default 256.
	Tolerance float64 `json:"tolerance,omitempty" jsonschema:"default=256,minimum=0,maximum=1000000000"`
	// Mode is "fleet", or one of the baselines "local" and "fifo", which exist
	// only for comparison. Default "fleet".
	Mode string `json:"mode,omitempty" jsonschema:"default=fleet,enum=fleet,enum=local,enum=fifo"`
}

// Ledger configures once-only claims.
type Ledger struct {
	// Buckets is the number of claim objects per window. Default 64.
	Buckets int `json:"buckets,omitempty" jsonschema:"default=64,minimum=1,maximum=65536"`
	// WindowSeconds is the minimum time in seconds for which an idempotency key is
	// kept. Default 86,400.
	WindowSeconds int `json:"window_seconds,omitempty" jsonschema:"default=86400,minimum=60,maximum=2678400"`
	// MaxAnswerBytes is the number of bytes up to which a response body is kept
	// for repeated requests. Default 2,048.
	MaxAnswerBytes int `json:"max_answer_bytes,omitempty" jsonschema:"default=2048,minimum=0,maximum=65536"`
}

// Quarantine configures the handling of requests that crash targets.
type Quarantine struct {
	// Seconds is how long in seconds a request stays in quarantine. Default 600.
	Seconds int `json:"seconds,omitempty" jsonschema:"default=600,minimum=1,maximum=86400"`
}

// Retry configures retries of idempotent requests.
type Retry struct {
	// BudgetShare is the ratio of retries to first attempts that the retry budget
	// allows. Default 0.1.
	BudgetShare float64 `json:"budget_share,omitempty" jsonschema:"default=0.1,minimum=0,maximum=1"`
	// MaxAttempts is the maximum number of attempts of a request, including the
	// first. Default 3.
	MaxAttempts int `json:"max_attempts,omitempty" jsonschema:"default=3,minimum=1,maximum=10"`
}

// Targets configures the connections to targets.
type Targets struct {
	// DialMS is the time limit in ms of connecting. Default 1,000.
	DialMS int `json:"dial_ms,omitempty" jsonschema:"default=1000,minimum=10,maximum=60000"`
	// StallMS is how long in ms a running stream of an engine may send nothing
	// before the target is considered stalled. Default 10,000.
	StallMS int `json:"stall_ms,omitempty" jsonschema:"default=10000,minimum=100,maximum=600000"`
	// ServiceStallMS is how long in ms a plain service may send nothing before the
	// outcome of its request is unknown. Default 60,000.
	ServiceStallMS int `json:"service_stall_ms,omitempty" jsonschema:"default=60000,minimum=100,maximum=3600000"`
	// IdleSeconds is how long in seconds an idle connection to a target is kept
	// open. Default 30.
	IdleSeconds int `json:"idle_seconds,omitempty" jsonschema:"default=30,minimum=1,maximum=3600"`
	// LoadMS is the interval in ms at which the load of engines is read.
	// Default 1,000.
	LoadMS int `json:"load_ms,omitempty" jsonschema:"default=1000,minimum=50,maximum=60000"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level,omitempty" jsonschema:"default=info,enum=debug,enum=info,enum=warn,enum=error"`
	// Format is "json" or "text". Default "json".
	Format string `json:"format,omitempty" jsonschema:"default=json,enum=json,enum=text"`
}
