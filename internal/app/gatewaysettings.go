package app

import (
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/settings"
	"github.com/greengagegate/greengagegate/internal/weights"
)

// Readiness holds the settings of the listener for readiness checks by the load
// balancer.
type Readiness struct {
	Listen string `ini:"listen,required"`
	// Path is the URL path of the readiness check.
	Path string `ini:"path"`
}

// Validate implements settings.Validator.
func (r *Readiness) Validate() (string, error) { return "listen", checkAddress(r.Listen) }

// Bounds holds the limits set by the operator that a gateway must keep.
type Bounds struct {
	// Revoke is how long a key may work after it was withdrawn.
	Revoke time.Duration `ini:"revoke"`
	// Lease is the least time between the last order of one holder of the orders lease
	// and the first order of the next.
	Lease time.Duration `ini:"lease"`
	// Drain is how long an upstream may get requests after it was announced as leaving.
	Drain time.Duration `ini:"drain"`
	// Weights is how long older weights may be used after a new target version became
	// known.
	Weights time.Duration `ini:"weights"`
	// RetryRatio is the number of retries that are allowed for each request of a pool.
	RetryRatio float64 `ini:"retry_ratio"`
	// RetrySlack is the number of retries that all gateways together may add beyond
	// RetryRatio.
	RetrySlack float64 `ini:"retry_slack"`
	// QuotaSlack is the number of tokens that all gateways together may give a customer
	// beyond its limit.
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

// Rollout holds the limits set by the operator that a gateway must keep while a pool's
// traffic moves to another software version. Orders to move traffic are followed only if
// ExposureShare is above 0.
type Rollout struct {
	// ExposureShare and ExposureSlack bound the requests that a version may get before it is
	// known to be good: ExposureShare of the pool's requests, and ExposureSlack more.
	ExposureShare float64 `ini:"exposure_share"`
	ExposureSlack int     `ini:"exposure_slack"`
	// Rollback is the longest time for which a version may get requests after it has proved to
	// be bad. A rollback begins at once, whatever its value.
	Rollback time.Duration `ini:"rollback"`
}

// Enabled reports whether orders to move traffic are followed.
func (r *Rollout) Enabled() bool { return r.ExposureShare > 0 }

// Validate implements settings.Validator.
func (r *Rollout) Validate() (string, error) {
	switch {
	case !(r.ExposureShare >= 0 && r.ExposureShare <= 1):
		return "exposure_share", errors.New("must be from 0 to 1")
	case r.ExposureSlack < 0:
		return "exposure_slack", errors.New("must not be negative")
	case r.Enabled() && r.Rollback <= 0:
		return "rollback", errors.New("must be above 0")
	}
	return "", nil
}

const (
	// relistTime is the time within which live upstreams are listed again after an
	// outage of the store.
	relistTime = 2300 * time.Millisecond
	// drainMargin is the time reserved for a request to reach an upstream.
	drainMargin = 400 * time.Millisecond
)

// unlistedRetention returns how long an upstream that vanished from the store in an
// outage is still used. The upstream may have left for good, so the retention stays
// below Drain.
func (b *Bounds) unlistedRetention() time.Duration {
	return max(0, min(relistTime, b.Drain-drainMargin))
}

// Start holds what is known of the start of the process.
type Start struct {
	// First is true if the whole system starts for the first time, so that no stream can have
	// begun before.
	First bool `ini:"first"`
}

// Engines holds the settings for the use of engines.
type Engines struct {
	// LearnRates is true if the prefill rate of each engine is learned from its responses, and
	// if the load that upstreams report, the rates of their links and the priorities of requests
	// are used. Otherwise this holds only for pools whose upstreams report how long work takes,
	// and all other engines count as equally fast.
	LearnRates bool `ini:"learn_rates"`
	// SplitSizes is true if the engines of a pool are divided between short and long prompts.
	SplitSizes bool `ini:"split_sizes"`
	// Queue is true if requests wait in a queue at the gateway while all engines are busy.
	Queue bool `ini:"queue"`
	// LateLoads is true if the second half of a pool loads new weights as late as the bounds allow,
	// because each load empties a cache.
	LateLoads bool `ini:"late_loads"`
}

// PlatformProperties holds what the platform states about the deployment.
type PlatformProperties struct {
	// Policies are the names of the policies of the deployment; Platform.Features translates
	// them.
	Policies []string `ini:"policies"`
}

// Features are the optional functions that a deployment asks for.
type Features struct {
	// The fields have the meanings of those of Engines.
	LearnRates, SplitSizes, Queue, LateLoads bool
}

// weightsSchedule returns when the second half of a pool loads new weights.
func (f Features) weightsSchedule() weights.Schedule {
	if f.LateLoads {
		return weights.Late
	}
	return weights.Prompt
}

// features returns the functions that the settings or the platform's policies ask for.
func (s *GatewaySettings) features(p Platform) Features {
	features := p.Features(s.Platform.Policies)
	features.LearnRates = features.LearnRates || s.Engines.LearnRates
	features.SplitSizes = features.SplitSizes || s.Engines.SplitSizes
	features.Queue = features.Queue || s.Engines.Queue
	features.LateLoads = features.LateLoads || s.Engines.LateLoads
	return features
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
	Rollout   Rollout
	Memory    Memory
	Engines   Engines
	Platform  PlatformProperties
	Start     Start
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
		Rollout: Rollout{Rollback: 5 * time.Second},
		Stop:    Stop{DrainDelay: 2800 * time.Millisecond, Timeout: 7500 * time.Millisecond},
		Runtime: Runtime{Threads: 1},
	}
}

// StopTimeout returns the longest time that a graceful stop may take.
func (s *GatewaySettings) StopTimeout() time.Duration { return s.Stop.Timeout }

// Sections returns the sections of a settings file with the structures that they fill.
func (s *GatewaySettings) Sections() []settings.Section {
	return []settings.Section{
		{Name: "gateway", Target: &s.Identity},
		{Name: "inner", Target: &s.Inner},
		{Name: "store", Target: &s.Store},
		{Name: "callers", Target: &s.Callers},
		{Name: "readiness", Target: &s.Readiness},
		{Name: "admin", Target: &s.Admin},
		{Name: "bounds", Target: &s.Bounds},
		{Name: "rollout", Target: &s.Rollout},
		{Name: "memory", Target: &s.Memory},
		{Name: "engines", Target: &s.Engines},
		{Name: "platform", Target: &s.Platform},
		{Name: "start", Target: &s.Start},
		{Name: "stop", Target: &s.Stop},
		{Name: "runtime", Target: &s.Runtime},
	}
}
