package object

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
)

// Set is a complete, checked configuration. The set that a process currently uses is
// the configuration in force. A Set must not be changed after Index
// has returned; from then on it is safe for concurrent use.
type Set struct {
	Revision      uint64
	Fleet         Fleet
	Customers     map[string]*Customer
	Keys          map[string]*Key
	Routes        map[string]*Route
	Upstreams     map[string]*Upstream
	ModelVersions map[string]*ModelVersion

	keyByDigest map[string]*Key
	pathRoutes  []*Route               // longest path first
	modelRoutes map[string][]*Route    // by model
	pools       map[string][]*Upstream // by pool, in name order
}

// Source provides the configuration in force. It is safe for concurrent use.
type Source interface {
	// Current returns the set in force, or nil until the first complete set has arrived.
	Current() *Set
	// Changed returns a channel that is closed when another set replaces the current one.
	Changed() <-chan struct{}
	// IsFresh reports whether the set is recent enough to admit callers by their keys.
	// If it is false, a key may have been withdrawn without this process knowing.
	IsFresh() bool
}

// NewSet returns an empty set with the given revision. Index must be called after it is filled.
func NewSet(revision uint64) *Set {
	return &Set{
		Revision:      revision,
		Customers:     make(map[string]*Customer),
		Keys:          make(map[string]*Key),
		Routes:        make(map[string]*Route),
		Upstreams:     make(map[string]*Upstream),
		ModelVersions: make(map[string]*ModelVersion),
	}
}

// Index builds the look-up tables. It must be called once, before the set is shared.
func (s *Set) Index() {
	s.indexKeys()
	s.indexRoutes()
	s.indexPools()
}

func (s *Set) indexKeys() {
	s.keyByDigest = make(map[string]*Key, len(s.Keys))
	for _, key := range s.Keys {
		s.keyByDigest[strings.ToLower(key.SHA256)] = key
	}
}

func (s *Set) indexRoutes() {
	s.pathRoutes = nil
	s.modelRoutes = make(map[string][]*Route)
	for _, route := range s.Routes {
		if route.Model != "" {
			s.modelRoutes[route.Model] = append(s.modelRoutes[route.Model], route)
			continue
		}
		s.pathRoutes = append(s.pathRoutes, route)
	}
	sort.Slice(s.pathRoutes, func(i, j int) bool {
		a, b := s.pathRoutes[i], s.pathRoutes[j]
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		return sortsBefore(a, b)
	})
	for _, routes := range s.modelRoutes {
		sort.Slice(routes, func(i, j int) bool { return sortsBefore(routes[i], routes[j]) })
	}
}

// sortsBefore reports whether route a is tried before route b. Routes limited to
// one customer come before routes for all customers, then names decide.
func sortsBefore(a, b *Route) bool {
	if (a.Customer == "") != (b.Customer == "") {
		return a.Customer != ""
	}
	return a.Name < b.Name
}

func (s *Set) indexPools() {
	s.pools = make(map[string][]*Upstream)
	for _, upstream := range s.Upstreams {
		s.pools[upstream.Pool] = append(s.pools[upstream.Pool], upstream)
	}
	for _, members := range s.pools {
		sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	}
}

// KeyFor returns the key with the given secret, or nil. It does not check the key's state.
func (s *Set) KeyFor(secret string) *Key {
	hash := sha256.Sum256([]byte(secret))
	digest := hex.EncodeToString(hash[:])
	key := s.keyByDigest[digest]
	if key == nil {
		return nil
	}
	if subtle.ConstantTimeCompare([]byte(strings.ToLower(key.SHA256)), []byte(digest)) != 1 {
		return nil
	}
	return key
}

// ModelRoute returns the route for a model and customer, or nil. The customer is
// empty for callers without a key, which match only open routes.
func (s *Set) ModelRoute(model, customer string) *Route {
	for _, route := range s.modelRoutes[model] {
		if route.admits(customer) {
			return route
		}
	}
	return nil
}

// PathRoute returns the route with the longest path prefix that matches the path
// and admits the customer, or nil. The customer is empty for callers without a
// key, which match only open routes.
func (s *Set) PathRoute(path, customer string) *Route {
	for _, route := range s.pathRoutes {
		if pathMatches(route.Path, path) && route.admits(customer) {
			return route
		}
	}
	return nil
}

// pathMatches reports whether path equals prefix or lies below it. A prefix
// matches whole path segments: "/charges" does not match "/charges2".
func pathMatches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// admits reports whether the route serves the customer, or with an empty customer
// a caller without a key.
func (r *Route) admits(customer string) bool {
	if r.Open {
		return true
	}
	if customer == "" {
		return false
	}
	return r.Customer == "" || r.Customer == customer
}

// PoolMembers returns the upstreams of a pool in name order. The caller must not
// change the slice.
func (s *Set) PoolMembers(pool string) []*Upstream {
	return s.pools[pool]
}

// ModelVersionFor returns the version that a pool serves for a model, or nil. If
// several versions are published during a rollout, it returns the newest, which is
// the one whose name sorts last.
func (s *Set) ModelVersionFor(model, pool string) *ModelVersion {
	var newest *ModelVersion
	for _, version := range s.ModelVersions {
		if version.Model != model || version.Pool != pool {
			continue
		}
		if newest == nil || version.Name > newest.Name {
			newest = version
		}
	}
	return newest
}

// Models returns the names of all models that have a route, in no particular order.
func (s *Set) Models() []string {
	names := make([]string, 0, len(s.modelRoutes))
	for name := range s.modelRoutes {
		names = append(names, name)
	}
	return names
}
