// Package object defines the configuration objects that operators publish and the
// immutable, checked set of objects that a process uses as its configuration.
//
// A set is built once per revision and then read for every request, so Index
// builds look-up tables in advance, and Update reuses the objects whose records
// did not change.
package object

import "time"

// Kind is the kind of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindCustomer     Kind = "Customer"
	KindKey          Kind = "Key"
	KindRoute        Kind = "Route"
	KindUpstream     Kind = "Upstream"
	KindModelVersion Kind = "ModelVersion"
	KindFleet        Kind = "Fleet"
)

// Customer is a tenant that has a share of the fleet's capacity.
type Customer struct {
	Name string `json:"-"`
	// Rate is the sustained limit in tokens per second over all hosts together.
	Rate float64 `json:"rate"`
	// Burst is the number of tokens that may be spent at once in addition to the rate.
	Burst float64 `json:"burst"`
	// Weight is the customer's relative share in the agents' fair queues; 1 if absent.
	Weight float64 `json:"weight,omitempty"`
}

// KeyState tells whether a key may be used.
type KeyState string

// The states of a key.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
)

// Key is an API key. It admits the callers of one customer.
type Key struct {
	Name string `json:"-"`
	// SHA256 is the hexadecimal digest of the secret. The secret itself is never stored.
	SHA256   string   `json:"sha256"`
	Customer string   `json:"customer"`
	State    KeyState `json:"state"`
}

// Route maps requests to a pool of upstreams. It matches prompt requests by model
// and requests to plain services by path prefix.
type Route struct {
	Name string `json:"-"`
	// Path is a path prefix, such as "/charges". It is empty for model routes.
	Path string `json:"path,omitempty"`
	// Model is the model name in prompt requests. It is empty for routes to plain services.
	Model string `json:"model,omitempty"`
	// Customer limits the route to one customer. If empty, all customers are admitted.
	Customer string `json:"customer,omitempty"`
	// Open reports whether callers without a key are admitted.
	Open bool `json:"open,omitempty"`
	// Pool is the name of the pool of upstreams that serve the route.
	Pool string `json:"pool"`
	// Idempotent reports whether a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority is passed to engines; requests with a higher number run first.
	Priority int32 `json:"priority,omitempty"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is a backend that routers reach through the agent beside it.
type Upstream struct {
	Name string `json:"-"`
	// Address is the IP address and port at which the agent serves routers.
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Kind    UpstreamKind `json:"kind"`
	Pool    string       `json:"pool"`
	// ChecksFence reports whether the upstream itself refuses orders with an old fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving is true while the upstream drains; it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// ModelVersion states which weights and adapters a pool serves for a model.
type ModelVersion struct {
	Name  string `json:"-"`
	Model string `json:"model"`
	// Weights is the name of the version of the weights.
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
	Pool     string   `json:"pool"`
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is the ratio that estimates the number of tokens of a prompt.
	BytesPerToken float64 `json:"bytes_per_token"`
}

// Fleet holds the settings that all processes share. A set has exactly one Fleet, named "fleet".
type Fleet struct {
	Name string `json:"-"`
	// EntrySlots is the number of slots among which each customer's limit is divided.
	EntrySlots int `json:"entry_slots"`
	// RetryHorizon is the retention time of an idempotency key.
	RetryHorizon Duration `json:"retry_horizon"`
	// StaleAfter is how long a process serves routes that need a key after its last
	// evidence that its configuration is the newest.
	StaleAfter Duration `json:"stale_after"`
	// MaxLoads is the maximum number of weight loads that run at the same time.
	MaxLoads int `json:"max_loads"`
	// IdempotencyShards is the number of shards that hold the idempotency keys of each pool of services.
	IdempotencyShards int `json:"idempotency_shards"`
	// QuarantineFor is how long a request that crashed upstreams is refused.
	QuarantineFor Duration `json:"quarantine_for"`
}

// Duration is a time.Duration that is encoded as text, such as "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
