// Package catalog holds a gateway's view of its fleet: the current configuration, the
// upstreams in service, the target version of each model's weights, and the orders to move
// traffic to another software version. Values are immutable once they are set in the Catalog.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind specifies whether a route's requests may be repeated.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered with a stream of events. They run at most once unless
	// their route is Resumable.
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

// WeightedPool is one of the pools among which a route's requests are split in proportion
// to Weight.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Route maps requests to pools.
type Route struct {
	Name string
	// Host and Prefix select requests by the HTTP host name and the start of the path.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// LatencyObjective is the target time to the response; of a stream, to its first event.
	LatencyObjective time.Duration
	// MaxPause is the target for the longest pause between two events of a stream.
	MaxPause time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	Pools    []WeightedPool
	// MaxRuns bounds the number of upstreams that may have run one request; a number
	// below 1 counts as 1. A request that may have run is sent again only if it is
	// Idempotent or a Resumable stream.
	MaxRuns int
	// Open is true if requests without a key are accepted.
	Open bool
	// Resumable is true if a stream may be continued at another upstream.
	Resumable bool
}

// defaultTimeout bounds requests whose route has no timeout.
const defaultTimeout = 30 * time.Second

// LongestWait returns the longest time that a request of the route may take.
func (r *Route) LongestWait() time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// Engine describes the model engines of a pool.
type Engine struct {
	// MaxBatchSize is the number of requests that an engine runs at once.
	MaxBatchSize int
	// CacheTokens is the size of an engine's prompt cache in tokens.
	CacheTokens int64
	// LinkTokensPerMS is the rate at which an engine's link carries cached tokens, per
	// millisecond; 0 if it is not known.
	LinkTokensPerMS float64
	Models          []string
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// MaxConnections is how many connections one upstream accepts from all gateways
	// together; 0 means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// CacheStore is a store of cached prompt parts outside the engines.
type CacheStore struct {
	Address string
	Zone    string
	// TokensPerMS is the throughput of the store's link, in tokens per millisecond.
	TokensPerMS float64
}

// Customer is a party with keys and a rate limit.
type Customer struct {
	Name string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// Rate is the limit in model tokens per second, or in requests per second if
	// PerRequest is true; 0 means no limit.
	Rate float64
	// Burst is the capacity of the token bucket, in the unit of Rate's amounts: model
	// tokens or requests.
	Burst float64
	// DefaultCost is the cost in model tokens of a request that states no token counts.
	DefaultCost int64
	// PerRequest is true if the limit counts requests: each request costs 1, whatever its
	// number of model tokens.
	PerRequest bool
	// Isolated is true if the customer shares no cached prompt parts with others.
	Isolated bool
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration.
type Config struct {
	Version int64
	Limits  Limits
	// Pools holds the pools by name.
	Pools map[string]*Pool
	// CacheStores lists the cache stores, which serve no requests.
	CacheStores []CacheStore
	// Customers holds the customers by name.
	Customers map[string]*Customer
	// Keys maps the hash of each key to its customer.
	Keys map[KeyHash]*Customer
	// KeysRequired reports whether routes need a key unless they are open.
	KeysRequired bool
	// SharedNamespace separates the cached prompt parts that customers may share from those that
	// were shared while other customers were isolated; empty if no customer is isolated. It is
	// set by SetCustomers.
	SharedNamespace string
	// LongestStream is the longest timeout of a route whose streams may be resumed; 0 if there
	// is none. It is set by SetRoutes.
	LongestStream time.Duration
	// routesByHost holds the routes by host name in lower case.
	routesByHost map[string][]*Route
}

// SetCustomers sets Customers and SharedNamespace. The namespace depends on which customers are
// isolated and on nothing else: a part in it was made while all of them were, so none of them
// made it, and gateways agree on it whichever configurations each of them has seen before. It is
// the same again when the same customers are isolated again.
func (c *Config) SetCustomers(customers map[string]*Customer) {
	c.Customers, c.SharedNamespace = customers, ""
	var isolated []string
	for name, customer := range customers {
		if customer.Isolated {
			isolated = append(isolated, name)
		}
	}
	if len(isolated) == 0 {
		return
	}
	slices.Sort(isolated)
	digest := xxhash.New()
	for _, name := range isolated {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(name)
		_, _ = digest.Write([]byte{0})
	}
	c.SharedNamespace = strconv.FormatUint(digest.Sum64(), 16)
}

// SetRoutes sets the routes. It must be called before the configuration is published.
func (c *Config) SetRoutes(routes []*Route) {
	c.routesByHost = make(map[string][]*Route, len(routes))
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
		if route.Kind == Stream && route.Resumable {
			c.LongestStream = max(c.LongestStream, route.LongestWait())
		}
	}
}

// PoolsOf returns the pools of a route by name, without those that the configuration lacks.
func (c *Config) PoolsOf(route *Route) map[string]*Pool {
	pools := make(map[string]*Pool, len(route.Pools))
	for _, weighted := range route.Pools {
		if pool := c.Pools[weighted.Pool]; pool != nil {
			pools[weighted.Pool] = pool
		}
	}
	return pools
}

// Route returns the host's route with the longest prefix that matches the path, or
// nil if there is none. The case of the host name is ignored.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// Upstream is one incarnation of a process that serves requests.
type Upstream struct {
	// ID identifies the upstream. A later incarnation may keep it; StartedMillis
	// distinguishes them.
	ID      string
	Pool    string
	Address string
	Zone    string
	// Capacity is the number of requests that it serves at once.
	Capacity int
	// Draining is true if the upstream is listed as draining: it is going to stop and
	// gets no new requests.
	Draining bool
	// StartedMillis is the start time of this incarnation, in Unix milliseconds by the
	// upstream's clock. It only distinguishes incarnations.
	StartedMillis int64
	// Software is the version of the upstream's own software, as it states it; not that of
	// the weights. What upstreams of different versions write does not fit together.
	Software string
	// ModelVersions maps each model to the weights version that the upstream last
	// reported.
	ModelVersions map[string]int64
	// AcceptedOrders is the number of orders that this incarnation has accepted.
	AcceptedOrders int64
}
