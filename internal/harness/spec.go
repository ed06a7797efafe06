package harness

import (
	"time"

	"github.com/umberhill/umberhill/internal/settings"
)

// Spec describes a fleet to start.
type Spec struct {
	// Domains are the failure domains.
	Domains []Domain
	// UseRelays places a relay in each direction between each two routers, from
	// each router to the platform, and before each target.
	UseRelays bool
	// MaxEvents that the platform keeps for watches; 0 for its default.
	MaxEvents int
	// EditSettings changes a router's settings before its start.
	EditSettings func(*settings.Settings)
}

// Domain is one failure domain's instances and targets.
type Domain struct {
	// Name of the failure domain.
	Name string
	// Routers is the number of routers.
	Routers  int
	Engines  []Engine
	Services []Service
}

// Engine describes a model engine; zero fields take the stand-in's defaults.
type Engine struct {
	Models                []string
	Concurrency           int
	TokensPerSecond       float64
	PromptTokensPerSecond float64
	MaxWaiting            int
	CacheBlocks           int
	LoadLag               time.Duration
	StreamRetention       time.Duration
}

// Service describes a process of a plain service; zero fields take the
// stand-in's defaults.
type Service struct {
	Name        string
	Concurrency int
	RunTime     time.Duration
}

// Repeat returns n copies of a description.
func Repeat[T any](n int, value T) []T {
	values := make([]T, n)
	for i := range values {
		values[i] = value
	}
	return values
}
