// Package catalog holds what a gateway knows of its fleet: the configuration in
// force, the upstreams that are in service, and the weights that each model is
// wanted to have. Values are immutable once they are published.
package catalog

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests run at most once, and answer with a series of events.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "stream"
	}
}

// WeightedPool is one of the pools among which a route's requests are split.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Route maps requests to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time to the answer, of streams to their first event.
	Objective time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	Pools    []WeightedPool
	// Attempts bounds the upstreams that may run one request.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Batch is the number of requests that an engine runs at once.
	Batch int
	// CacheTokens is the memory of an engine.
	CacheTokens int64
	Models      []string
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// CacheStore keeps cached prompt parts beside the engines.
type CacheStore struct {
	Address string
	Zone    string
	// TokensPerMS is what its link carries.
	TokensPerMS float64
}

// Customer is a party with keys and a limit.
type Customer struct {
	Name string
	// Priority goes before that of the route when it is set.
	Priority *int
	// Rate is in tokens a second; 0 means no limit.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// DefaultCost is the cost of a request that tells no token counts.
	DefaultCost int64
	// PerRequest customers have limits in requests: each one costs 1.
	PerRequest bool
	// Isolated customers share no cached prompt parts with others.
	Isolated bool
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration.
type Config struct {
	Version int64
	Limits  Limits
	Pools   map[string]*Pool
	// CacheStores serve no requests.
	CacheStores []CacheStore
	Customers   map[string]*Customer
	// Keys maps the hash of each key to its customer.
	Keys map[KeyHash]*Customer
	// KeysRequired says that routes which are not open need a key.
	KeysRequired bool
	routes       map[string][]*Route
}

// SetRoutes stores the routes, which are looked up by host.
func (c *Config) SetRoutes(routes []*Route) {
	c.routes = make(map[string][]*Route, len(routes))
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
}

// Route returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.routes[strings.ToLower(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// Upstream is a process that serves requests, in one of its lives.
type Upstream struct {
	// ID names one life of the upstream in most cases.
	ID      string
	Pool    string
	Address string
	Zone    string
	// Capacity is the number of requests that it serves at once.
	Capacity int
	// Draining upstreams get no new requests.
	Draining bool
	// StartedMillis is the start of this life, in Unix milliseconds on the upstream's
	// clock. It only tells lives apart.
	StartedMillis int64
	// ModelVersions are the versions of each model as last told.
	ModelVersions map[string]int64
	// Orders is the number of orders that it has accepted in this life.
	Orders int64
}
