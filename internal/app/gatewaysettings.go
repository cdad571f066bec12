package app

import (
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/settings"
)

// Readiness holds the settings of the listener that the balancer asks.
type Readiness struct {
	Listen string `ini:"listen,required"`
	// Path is what the balancer asks for.
	Path string `ini:"path"`
}

// Validate implements settings.Validator.
func (r *Readiness) Validate() (string, error) { return "listen", checkAddress(r.Listen) }

// Bounds holds the operator's bounds that a gateway keeps.
type Bounds struct {
	// Revoke is how long a key may work after it was withdrawn.
	Revoke time.Duration `ini:"revoke"`
	// Lease is the least time between the orders of two holders.
	Lease time.Duration `ini:"lease"`
	// Drain is how long an upstream may get requests after it was said to leave.
	Drain time.Duration `ini:"drain"`
	// Weights is how long older weights may be used after newer ones were named.
	Weights time.Duration `ini:"weights"`
	// RetryRatio is the part of a pool's requests that repeats may add.
	RetryRatio float64 `ini:"retry_ratio"`
	// RetrySlack is the number of repeats that all gateways may add besides.
	RetrySlack float64 `ini:"retry_slack"`
	// QuotaSlack is the number of tokens that a customer may be given beyond its
	// limit over all gateways.
	QuotaSlack float64 `ini:"quota_slack"`
}

// Validate implements settings.Validator.
func (b *Bounds) Validate() (string, error) {
	switch {
	case b.Revoke <= 0:
		return "revoke", errors.New("must be above 0")
	case b.Lease <= 0:
		return "lease", errors.New("must be above 0")
	case b.RetryRatio < 0:
		return "retry_ratio", errors.New("must not be negative")
	case b.RetrySlack < 0:
		return "retry_slack", errors.New("must not be negative")
	}
	return "", nil
}

const (
	// comeBack is the time within which upstreams that live are listed again after
	// an outage of the store.
	comeBack = 2300 * time.Millisecond
	// drainMargin covers a request's way to an upstream.
	drainMargin = 400 * time.Millisecond
)

// lapseHold is how long an upstream is used that vanished in an outage. It may
// have left as well, so that the bound for leaving upstreams goes first.
func (b *Bounds) lapseHold() time.Duration {
	return max(0, min(comeBack, b.Drain-drainMargin))
}

// Memory holds the settings of the process's memory.
type Memory struct {
	// LimitMB is what the process may use, in 1,000,000 bytes; 0 means no limit.
	LimitMB int64 `ini:"limit_mb"`
}

const (
	megabyte = 1_000_000
	// heapPart is the part of the memory that the Go runtime may use; the rest is
	// for the program itself and for what the kernel holds unread.
	heapPart = 0.65
	// bodyPart is the part of the memory that requests' bodies may take.
	bodyPart = 0.25
	// defaultBodies bounds bodies where no limit is set.
	defaultBodies = 1 << 30
)

func (m *Memory) bodies() int64 {
	if m.LimitMB <= 0 {
		return defaultBodies
	}
	return int64(float64(m.LimitMB*megabyte) * bodyPart)
}

// GatewaySettings holds all settings of a gateway.
type GatewaySettings struct {
	Identity  node.Identity
	Inner     node.Inner
	Store     Store
	Callers   CallersListen
	Readiness Readiness
	Admin     Admin
	Bounds    Bounds
	Memory    Memory
	Stop      Stop
	Runtime   Runtime
}

// NewGatewaySettings returns the settings with their defaults.
func NewGatewaySettings() *GatewaySettings {
	return &GatewaySettings{
		Readiness: Readiness{Path: "/readyz"},
		Bounds: Bounds{
			Revoke: 5 * time.Second, Drain: 2 * time.Second, Lease: 3 * time.Second, Weights: 12 * time.Second,
			RetryRatio: 0.2, RetrySlack: 50,
		},
		Stop:    Stop{DrainDelay: 2800 * time.Millisecond, Timeout: 7500 * time.Millisecond},
		Runtime: Runtime{Threads: 1},
	}
}

// StopTimeout bounds a graceful stop.
func (s *GatewaySettings) StopTimeout() time.Duration { return s.Stop.Timeout }

// Sections binds the settings to a file's sections.
func (s *GatewaySettings) Sections() []settings.Section {
	return []settings.Section{
		{Name: "gateway", Target: &s.Identity},
		{Name: "inner", Target: &s.Inner},
		{Name: "store", Target: &s.Store},
		{Name: "callers", Target: &s.Callers},
		{Name: "readiness", Target: &s.Readiness},
		{Name: "admin", Target: &s.Admin},
		{Name: "bounds", Target: &s.Bounds},
		{Name: "memory", Target: &s.Memory},
		{Name: "stop", Target: &s.Stop},
		{Name: "runtime", Target: &s.Runtime},
	}
}
