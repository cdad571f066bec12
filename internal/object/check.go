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
	// FleetName is the name of the one Fleet object.
	FleetName = "fleet"

	// minBurstTokens is the least burst that holds one request.
	minBurstTokens  = 1000
	digestHexDigits = 64
	maxNameBytes    = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// checker collects the mistakes of one set.
type checker struct {
	set       *Set
	files     map[string]string
	mistakes  Mistakes
	hasFleet  bool
	addresses map[string]string
}

// Check decodes the documents and checks them as a whole set. It returns the
// indexed set when there is no mistake, and else every mistake in document order.
func Check(revision uint64, documents []Document) (*Set, Mistakes) {
	c := &checker{
		set:       NewSet(revision),
		files:     make(map[string]string, len(documents)),
		addresses: make(map[string]string),
	}
	for _, document := range documents {
		c.add(document)
	}
	c.checkAll(documents)
	if len(c.mistakes) > 0 {
		return nil, c.mistakes
	}
	c.set.Index()
	return c.set, nil
}

// add decodes one document into the set.
func (c *checker) add(document Document) {
	if !validName(document.Name) {
		c.mistakes = append(c.mistakes, document.mistake("name",
			"must consist of a-z, 0-9, '-' and '.', and be at most 63 bytes long"))
	}
	if other, ok := c.files[document.Key()]; ok {
		where := ""
		if other != "" {
			where = ", first in " + other
		}
		c.mistakes = append(c.mistakes, document.mistake("name", "defined twice"+where))
		return
	}
	c.files[document.Key()] = document.File
	decoded, mistakes := decode(document)
	c.mistakes = append(c.mistakes, mistakes...)
	switch o := decoded.(type) {
	case *Customer:
		c.set.Customers[o.Name] = o
	case *Key:
		c.set.Keys[o.Name] = o
	case *Route:
		c.set.Routes[o.Name] = o
	case *Upstream:
		c.set.Upstreams[o.Name] = o
	case *ModelVersion:
		c.set.ModelVersions[o.Name] = o
	case *Fleet:
		c.set.Fleet = *o
		c.hasFleet = true
	}
}

func validName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// checkAll checks fields and references in document order.
func (c *checker) checkAll(documents []Document) {
	c.set.indexPools()
	for _, document := range documents {
		switch document.Kind {
		case KindCustomer:
			c.customer(document, c.set.Customers[document.Name])
		case KindKey:
			c.key(document, c.set.Keys[document.Name])
		case KindRoute:
			c.route(document, c.set.Routes[document.Name])
		case KindUpstream:
			c.upstream(document, c.set.Upstreams[document.Name])
		case KindModelVersion:
			c.modelVersion(document, c.set.ModelVersions[document.Name])
		case KindFleet:
			c.fleet(document)
		}
	}
	if !c.hasFleet {
		c.mistakes = append(c.mistakes, Mistake{
			Object: RecordKey(KindFleet, FleetName), Reason: "the set needs one Fleet object",
		})
	}
	c.uniqueDigests(documents)
	c.uniqueRoutes(documents)
}

// require records a mistake unless ok.
func (c *checker) require(ok bool, document Document, field, format string, args ...any) {
	if !ok {
		c.mistakes = append(c.mistakes, document.mistake(field, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) customer(d Document, customer *Customer) {
	if customer == nil {
		return
	}
	c.require(customer.Rate > 0, d, "rate", "must be above 0 tokens a second")
	c.require(customer.Burst >= minBurstTokens, d, "burst",
		"cannot hold one request: must be at least %d tokens", minBurstTokens)
	c.require(customer.Weight > 0, d, "weight", "must be above 0")
}

func (c *checker) key(d Document, key *Key) {
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

func (c *checker) route(d Document, route *Route) {
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
	want := UpstreamService
	if route.Model != "" {
		want = UpstreamEngine
		c.require(c.set.ModelVersionFor(route.Model, route.Pool) != nil, d, "model",
			"no ModelVersion of model %q in pool %q", route.Model, route.Pool)
	}
	for _, member := range members {
		c.require(member.Kind == want, d, "pool", "Upstream %q is of kind %q, this route needs %q",
			member.Name, member.Kind, want)
	}
}

func (c *checker) upstream(d Document, upstream *Upstream) {
	if upstream == nil {
		return
	}
	address, err := netip.ParseAddrPort(upstream.Address)
	c.require(err == nil && address.Port() != 0, d, "address", "%q is not an IP number and port", upstream.Address)
	other, taken := c.addresses[upstream.Address]
	c.require(!taken || other == upstream.Name, d, "address", "already used by Upstream %q", other)
	c.addresses[upstream.Address] = upstream.Name
	c.require(upstream.Zone != "", d, "zone", "missing")
	c.require(upstream.Pool != "", d, "pool", "missing")
	c.require(upstream.Kind == UpstreamEngine || upstream.Kind == UpstreamService, d, "kind",
		"must be %q or %q, not %q", UpstreamEngine, UpstreamService, upstream.Kind)
}

func (c *checker) modelVersion(d Document, version *ModelVersion) {
	if version == nil {
		return
	}
	c.require(version.Model != "", d, "model", "missing")
	c.require(version.Weights != "", d, "weights", "missing")
	c.require(len(c.set.PoolMembers(version.Pool)) > 0, d, "pool", "no Upstream in pool %q", version.Pool)
	c.require(version.BlockTokens > 0, d, "block_tokens", "must be above 0")
	c.require(version.BytesPerToken > 0, d, "bytes_per_token", "must be above 0")
}

func (c *checker) fleet(d Document) {
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
	terms := []struct {
		field string
		value Duration
		least time.Duration
	}{
		{"retry_horizon", fleet.RetryHorizon, time.Second},
		{"stale_after", fleet.StaleAfter, MinStaleAfter},
		{"quarantine_for", fleet.QuarantineFor, time.Second},
	}
	for _, term := range terms {
		c.require(time.Duration(term.value) >= term.least, d, term.field, "must be at least %s", term.least)
	}
}

// MinStaleAfter leaves evidence of freshness the time to spread through the fleet.
const MinStaleAfter = 5 * time.Second

// uniqueDigests refuses two keys with the same secret.
func (c *checker) uniqueDigests(documents []Document) {
	owners := make(map[string]string)
	for _, d := range documents {
		key := c.set.Keys[d.Name]
		if d.Kind != KindKey || key == nil || key.SHA256 == "" {
			continue
		}
		digest := strings.ToLower(key.SHA256)
		other, taken := owners[digest]
		c.require(!taken || other == d.Name, d, "sha256", "same secret as Key %q", other)
		owners[digest] = d.Name
	}
}

// uniqueRoutes refuses two routes that match the same requests.
func (c *checker) uniqueRoutes(documents []Document) {
	type match struct{ path, model, customer string }
	owners := make(map[match]string)
	for _, d := range documents {
		route := c.set.Routes[d.Name]
		if d.Kind != KindRoute || route == nil {
			continue
		}
		m := match{strings.TrimSuffix(route.Path, "/"), route.Model, route.Customer}
		other, taken := owners[m]
		c.require(!taken || other == d.Name, d, "path", "matches the same requests as Route %q", other)
		owners[m] = d.Name
	}
}
