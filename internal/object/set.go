package object

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
)

// Set is a whole checked configuration. It is immutable once Index has run.
type Set struct {
	Revision      uint64
	Fleet         Fleet
	Customers     map[string]*Customer
	Keys          map[string]*Key
	Routes        map[string]*Route
	Upstreams     map[string]*Upstream
	ModelVersions map[string]*ModelVersion

	keyByDigest map[string]*Key
	pathRoutes  []*Route
	modelRoutes map[string][]*Route
	pools       map[string][]*Upstream
}

// Source gives the configuration in force. It is safe for concurrent use.
type Source interface {
	// Current returns the set in force, or nil until the first whole set has arrived.
	Current() *Set
	// Changed returns a channel that is closed when a set after the current one is in force.
	Changed() <-chan struct{}
	// Fresh says whether the set can still be relied on for withdrawn keys.
	Fresh() bool
}

// NewSet returns an empty set.
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

// Index builds the look-up tables. It is called once, before the set is shared.
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
		return moreSpecific(a, b)
	})
	for _, routes := range s.modelRoutes {
		sort.Slice(routes, func(i, j int) bool { return moreSpecific(routes[i], routes[j]) })
	}
}

// moreSpecific orders a customer's own routes before those for all.
func moreSpecific(a, b *Route) bool {
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

// KeyFor returns the key with the given secret, or nil.
func (s *Set) KeyFor(secret string) *Key {
	sum := sha256.Sum256([]byte(secret))
	digest := hex.EncodeToString(sum[:])
	key := s.keyByDigest[digest]
	if key == nil {
		return nil
	}
	if subtle.ConstantTimeCompare([]byte(strings.ToLower(key.SHA256)), []byte(digest)) != 1 {
		return nil
	}
	return key
}

// ModelRoute returns the route for a model and customer, or nil. An empty
// customer, for callers without a key, matches open routes only.
func (s *Set) ModelRoute(model, customer string) *Route {
	for _, route := range s.modelRoutes[model] {
		if route.admits(customer) {
			return route
		}
	}
	return nil
}

// PathRoute returns the route with the longest matching path prefix, or nil.
func (s *Set) PathRoute(path, customer string) *Route {
	for _, route := range s.pathRoutes {
		if pathMatches(route.Path, path) && route.admits(customer) {
			return route
		}
	}
	return nil
}

// pathMatches reports whether path equals prefix or lies below it.
func pathMatches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func (r *Route) admits(customer string) bool {
	if r.Open {
		return true
	}
	if customer == "" {
		return false
	}
	return r.Customer == "" || r.Customer == customer
}

// PoolMembers returns the upstreams of a pool in name order. The caller must not change it.
func (s *Set) PoolMembers(pool string) []*Upstream {
	return s.pools[pool]
}

// ModelVersionFor returns the version that a pool serves for a model, or nil.
// During a roll-out it is the newest one published.
func (s *Set) ModelVersionFor(model, pool string) *ModelVersion {
	var found *ModelVersion
	for _, version := range s.ModelVersions {
		if version.Model != model || version.Pool != pool {
			continue
		}
		if found == nil || version.Name > found.Name {
			found = version
		}
	}
	return found
}

// Models returns the names of all models that have a route.
func (s *Set) Models() []string {
	names := make([]string, 0, len(s.modelRoutes))
	for name := range s.modelRoutes {
		names = append(names, name)
	}
	return names
}
