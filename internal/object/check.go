package object

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

const (
	// FleetName is the name of the only Fleet object that a set may have.
	FleetName = "fleet"

	// minBurstTokens is the smallest burst that a Customer may have, so that it has room
	// for one request of up to this size.
	minBurstTokens  = 1000
	digestHexDigits = 64
	maxNameBytes    = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// checker collects the mistakes in one set of documents.
type checker struct {
	set               *Set
	fileByKey         map[string]string // file of the first document with each record key
	mistakes          Mistakes
	hasFleet          bool
	upstreamByAddress map[string]string // name of the last Upstream checked at each address
}

// Check decodes the documents and checks them together as one complete set. It
// returns the indexed set if there are no mistakes, and otherwise a nil set and
// every mistake: those of decoding, of fields and references, and of uniqueness,
// each in document order.
func Check(revision uint64, documents []Document) (*Set, Mistakes) {
	c := &checker{
		set:               NewSet(revision),
		fileByKey:         make(map[string]string, len(documents)),
		upstreamByAddress: make(map[string]string),
	}
	for _, document := range documents {
		c.addDocument(document)
	}
	c.checkObjects(documents)
	if len(c.mistakes) > 0 {
		return nil, c.mistakes
	}
	c.set.Index()
	return c.set, nil
}

// addDocument decodes one document into the set. A second document with the same
// kind and name is reported and not decoded.
func (c *checker) addDocument(document Document) {
	if !isValidName(document.Name) {
		c.mistakes = append(c.mistakes, document.newMistake("name",
			"must consist of a-z, 0-9, '-' and '.', and be at most 63 bytes long"))
	}
	if firstFile, ok := c.fileByKey[document.Key()]; ok {
		location := ""
		if firstFile != "" {
			location = ", first in " + firstFile
		}
		c.mistakes = append(c.mistakes, document.newMistake("name", "defined twice"+location))
		return
	}
	c.fileByKey[document.Key()] = document.File
	decoded, mistakes := decode(document)
	c.mistakes = append(c.mistakes, mistakes...)
	switch object := decoded.(type) {
	case *Customer:
		c.set.Customers[object.Name] = object
	case *Key:
		c.set.Keys[object.Name] = object
	case *Route:
		c.set.Routes[object.Name] = object
	case *Upstream:
		c.set.Upstreams[object.Name] = object
	case *ModelVersion:
		c.set.ModelVersions[object.Name] = object
	case *Fleet:
		c.set.Fleet = *object
		c.hasFleet = true
	}
}

func isValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// checkObjects checks the fields and references of all decoded objects, then the
// rules that span several objects.
func (c *checker) checkObjects(documents []Document) {
	c.set.indexPools()
	for _, document := range documents {
		switch document.Kind {
		case KindCustomer:
			c.checkCustomer(document, c.set.Customers[document.Name])
		case KindKey:
			c.checkKey(document, c.set.Keys[document.Name])
		case KindRoute:
			c.checkRoute(document, c.set.Routes[document.Name])
		case KindUpstream:
			c.checkUpstream(document, c.set.Upstreams[document.Name])
		case KindModelVersion:
			c.checkModelVersion(document, c.set.ModelVersions[document.Name])
		case KindFleet:
			c.checkFleet(document)
		}
	}
	if !c.hasFleet {
		c.mistakes = append(c.mistakes, Mistake{
			Object: RecordKey(KindFleet, FleetName), Reason: "the set needs one Fleet object",
		})
	}
	c.requireUniqueDigests(documents)
	c.requireUniqueRoutes(documents)
}

// require records a mistake in the document's field unless ok is true.
func (c *checker) require(ok bool, document Document, field, format string, args ...any) {
	if !ok {
		c.mistakes = append(c.mistakes, document.newMistake(field, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) checkCustomer(d Document, customer *Customer) {
	if customer == nil {
		return
	}
	c.require(customer.Rate > 0, d, "rate", "must be above 0 tokens a second")
	c.require(customer.Burst >= minBurstTokens, d, "burst",
		"cannot hold one request: must be at least %d tokens", minBurstTokens)
	c.require(customer.Weight > 0, d, "weight", "must be above 0")
}

func (c *checker) checkKey(d Document, key *Key) {
	if key == nil {
		return
	}
	raw, err := hex.DecodeString(key.SHA256)
	c.require(err == nil && len(raw)*2 == digestHexDigits, d, "sha256",
		"must be the %d hexadecimal digits of a SHA-256 digest", digestHexDigits)
	c.require(c.set.Customers[key.Customer] != nil, d, "customer", "no Customer named %q", key.Customer)
	c.require(key.State == KeyActive || key.State == KeyWithdrawn, d, "state",
		"must be %q or %q, not %q", KeyActive, KeyWithdrawn, key.State)
}

func (c *checker) checkRoute(d Document, route *Route) {
	if route == nil {
		return
	}
	c.require((route.Path == "") != (route.Model == ""), d, "path", "exactly one of path and model is needed")
	c.require(route.Path == "" || strings.HasPrefix(route.Path, "/"), d, "path", "must start with '/'")
	c.require(route.Customer == "" || c.set.Customers[route.Customer] != nil, d, "customer",
		"no Customer named %q", route.Customer)
	c.require(!route.Open || route.Customer == "", d, "open", "an open route cannot be limited to a customer")
	members := c.set.PoolMembers(route.Pool)
	c.require(len(members) > 0, d, "pool", "no Upstream in pool %q", route.Pool)
	requiredKind := UpstreamService
	if route.Model != "" {
		requiredKind = UpstreamEngine
		c.require(c.set.ModelVersionFor(route.Model, route.Pool) != nil, d, "model",
			"no ModelVersion of model %q in pool %q", route.Model, route.Pool)
	}
	for _, member := range members {
		c.require(member.Kind == requiredKind, d, "pool", "Upstream %q is of kind %q, this route needs %q",
			member.Name, member.Kind, requiredKind)
	}
}

func (c *checker) checkUpstream(d Document, upstream *Upstream) {
	if upstream == nil {
		return
	}
	address, err := netip.ParseAddrPort(upstream.Address)
	c.require(err == nil && address.Port() != 0, d, "address", "%q is not an IP number and port", upstream.Address)
	other, taken := c.upstreamByAddress[upstream.Address]
	c.require(!taken || other == upstream.Name, d, "address", "already used by Upstream %q", other)
	c.upstreamByAddress[upstream.Address] = upstream.Name
	c.require(upstream.Zone != "", d, "zone", "missing")
	c.require(upstream.Pool != "", d, "pool", "missing")
	c.require(upstream.Kind == UpstreamEngine || upstream.Kind == UpstreamService, d, "kind",
		"must be %q or %q, not %q", UpstreamEngine, UpstreamService, upstream.Kind)
}

func (c *checker) checkModelVersion(d Document, version *ModelVersion) {
	if version == nil {
		return
	}
	c.require(version.Model != "", d, "model", "missing")
	c.require(version.Weights != "", d, "weights", "missing")
	c.require(len(c.set.PoolMembers(version.Pool)) > 0, d, "pool", "no Upstream in pool %q", version.Pool)
	c.require(version.BlockTokens > 0, d, "block_tokens", "must be above 0")
	c.require(version.BytesPerToken > 0, d, "bytes_per_token", "must be above 0")
}

// checkFleet checks the name of the document and the fields of the set's Fleet.
func (c *checker) checkFleet(d Document) {
	c.require(d.Name == FleetName, d, "name", "the one Fleet object is named %q", FleetName)
	fleet := c.set.Fleet
	counts := []struct {
		field string
		value int
	}{
		{"entry_slots", fleet.EntrySlots},
		{"max_loads", fleet.MaxLoads},
		{"idempotency_shards", fleet.IdempotencyShards},
	}
	for _, count := range counts {
		c.require(count.value > 0, d, count.field, "must be above 0")
	}
	durations := []struct {
		field   string
		value   Duration
		minimum time.Duration
	}{
		{"retry_horizon", fleet.RetryHorizon, time.Second},
		{"stale_after", fleet.StaleAfter, MinStaleAfter},
		{"quarantine_for", fleet.QuarantineFor, time.Second},
	}
	for _, duration := range durations {
		c.require(time.Duration(duration.value) >= duration.minimum, d, duration.field, "must be at least %s", duration.minimum)
	}
}

// MinStaleAfter is the smallest Fleet.StaleAfter. Evidence that a configuration
// is fresh needs this long to reach all processes of the fleet.
const MinStaleAfter = 5 * time.Second

// requireUniqueDigests reports keys with the digest of another key, that is with
// the same secret. Digests are compared without regard to letter case.
func (c *checker) requireUniqueDigests(documents []Document) {
	keyNames := make(map[string]string)
	for _, d := range documents {
		key := c.set.Keys[d.Name]
		if d.Kind != KindKey || key == nil || key.SHA256 == "" {
			continue
		}
		digest := strings.ToLower(key.SHA256)
		other, taken := keyNames[digest]
		c.require(!taken || other == d.Name, d, "sha256", "same secret as Key %q", other)
		keyNames[digest] = d.Name
	}
}

// requireUniqueRoutes reports routes that match the same requests as another
// route. A trailing slash of the path makes no difference.
func (c *checker) requireUniqueRoutes(documents []Document) {
	type routeMatch struct{ path, model, customer string }
	routeNames := make(map[routeMatch]string)
	for _, d := range documents {
		route := c.set.Routes[d.Name]
		if d.Kind != KindRoute || route == nil {
			continue
		}
		match := routeMatch{strings.TrimSuffix(route.Path, "/"), route.Model, route.Customer}
		other, taken := routeNames[match]
		c.require(!taken || other == d.Name, d, "path", "matches the same requests as Route %q", other)
		routeNames[match] = d.Name
	}
}
