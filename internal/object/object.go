// Package object defines the configuration objects that operators publish, and
// the immutable set of them that a process runs by.
package object

import "time"

// Kind names a kind of configuration object.
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

// Customer is a tenant with a share of the fleet.
type Customer struct {
	Name string `json:"-"`
	// Rate is the sustained limit in tokens a second over all hosts together.
	Rate float64 `json:"rate"`
	// Burst is the number of tokens that may be spent at once on top of the rate.
	Burst float64 `json:"burst"`
	// Weight is the customer's share in the agents' queues; 1 when absent.
	Weight float64 `json:"weight,omitempty"`
}

// KeyState says whether a key may be used.
type KeyState string

// The states of a key.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
)

// Key admits the callers of one customer.
type Key struct {
	Name string `json:"-"`
	// SHA256 is the hexadecimal digest of the secret. The secret itself is never stored.
	SHA256   string   `json:"sha256"`
	Customer string   `json:"customer"`
	State    KeyState `json:"state"`
}

// Route maps requests to a pool of upstreams. It matches by model for prompts,
// or by path prefix for plain services.
type Route struct {
	Name string `json:"-"`
	// Path is a path prefix, such as "/charges". Empty for model routes.
	Path string `json:"path,omitempty"`
	// Model is the model name of prompt requests. Empty for plain services.
	Model string `json:"model,omitempty"`
	// Customer limits the route to one customer. Empty admits all customers.
	Customer string `json:"customer,omitempty"`
	// Open admits callers without a key.
	Open bool `json:"open,omitempty"`
	// Pool names the upstreams that serve the route.
	Pool string `json:"pool"`
	// Idempotent says that a call may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority is passed to engines; a higher number runs first.
	Priority int32 `json:"priority,omitempty"`
}

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is one back end, reached through the agent beside it.
type Upstream struct {
	Name string `json:"-"`
	// Address is the agent's inner address, an IP number and port.
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Kind    UpstreamKind `json:"kind"`
	Pool    string       `json:"pool"`
	// ChecksFence says that the upstream itself refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving keeps new work away.
	Leaving bool `json:"leaving,omitempty"`
}

// ModelVersion is the weights that a pool serves for a model.
type ModelVersion struct {
	Name  string `json:"-"`
	Model string `json:"model"`
	// Weights names the version of the weights.
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
	Pool     string   `json:"pool"`
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is used to estimate the tokens of a prompt.
	BytesPerToken float64 `json:"bytes_per_token"`
}

// Fleet holds settings that all processes share. There is one, named "fleet".
type Fleet struct {
	Name string `json:"-"`
	// EntrySlots is the number of shares that limits are divided in.
	EntrySlots int `json:"entry_slots"`
	// RetryHorizon is how long an idempotency key is remembered.
	RetryHorizon Duration `json:"retry_horizon"`
	// StaleAfter is how long a process without fresh evidence serves keyed routes.
	StaleAfter Duration `json:"stale_after"`
	// MaxLoads is the number of weight loads that run at once.
	MaxLoads int `json:"max_loads"`
	// IdempotencyShards is the number of shards of idempotency keys in each pool of services.
	IdempotencyShards int `json:"idempotency_shards"`
	// QuarantineFor is how long a request that crashed upstreams is refused.
	QuarantineFor Duration `json:"quarantine_for"`
}

// Duration is a time.Duration written as text, such as "2s".
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
