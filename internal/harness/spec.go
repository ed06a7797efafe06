package harness

import (
	"time"

	"github.com/umberhill/umberhill/internal/settings"
)

// Spec describes a fleet to start.
type Spec struct {
	// Domains are the failure domains.
	Domains []Domain
	// UseRelays places a relay in each direction between every two routers, from
	// each router to the platform, and in front of each target.
	UseRelays bool
	// MaxEvents is the number of events that the platform keeps for watches; 0
	// means its default.
	MaxEvents int
	// EditSettings changes a router's settings before it starts.
	EditSettings func(*settings.Settings)
}

// Domain describes the instances and targets of one failure domain.
type Domain struct {
	// Name of the failure domain.
	Name string
	// Routers is the number of routers.
	Routers  int
	Engines  []Engine
	Services []Service
}

// Engine describes a model engine. Zero fields take the stand-in's defaults.
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

// Service describes a process of a plain service. Zero fields take the stand-in's
// defaults.
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
