package configcheck

import (
	"strconv"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Term is a kind of entry or a field of a Config. Config.Names holds what the platform
// calls it.
type Term string

// The kinds of entries, and the fields that findings name.
const (
	TermConfig     Term = "config"
	TermLimits     Term = "limits"
	TermRoute      Term = "route"
	TermPool       Term = "pool"
	TermCustomer   Term = "customer"
	TermName       Term = "name"
	TermHost       Term = "host"
	TermPrefix     Term = "prefix"
	TermTimeout    Term = "timeout"
	TermObjective  Term = "latency objective"
	TermMaxPause   Term = "longest pause"
	TermResumable  Term = "resumable"
	TermMaxRuns    Term = "runs"
	TermPools      Term = "pools"
	TermKeys       Term = "keys"
	TermBurst      Term = "burst"
	TermMaxHeader  Term = "header bytes"
	TermIdleTime   Term = "idle timeout"
	TermHeaderTime Term = "header timeout"
	TermVersion    Term = "version"
)

// Customer is a customer as it is written, with its keys.
type Customer struct {
	*catalog.Customer
	Keys []catalog.KeyHash
}

// Config is a decoded configuration of a platform's store in the order of the file, with
// all entries, also those that have the name of an earlier one.
type Config struct {
	Version int64
	// Limits holds the limits as they are written, without defaults.
	Limits    catalog.Limits
	Routes    []*catalog.Route
	Pools     []*catalog.Pool
	Customers []Customer
	// Undecoded holds an Error for each route that cannot be decoded and is not in Routes.
	Undecoded []Finding
	// Entries holds the fields of all entries, by the platform's names.
	Entries []Entry
	Names   map[Term]string
}

const (
	// maxDuration is the longest plausible timeout, objective or pause.
	maxDuration = 24 * time.Hour
	// maxNumber is the largest plausible value of any number.
	maxNumber = 1e12
	// maxRuns is the largest plausible number of upstreams for one request.
	maxRuns = 100
	// usualHeaderBytes is a size that the headers of ordinary requests can reach.
	usualHeaderBytes = 4096
)

// configChecker checks a Config.
type configChecker struct {
	report
	config *Config
}

// Check returns the findings on a configuration. inForce is the configuration that it is
// to replace, or nil if that is not known.
func (config *Config) Check(inForce *Config) []Finding {
	c := &configChecker{config: config, report: config.Undecoded}
	c.checkNumbers()
	c.checkNames()
	c.checkKeys()
	c.checkMatches()
	for _, route := range config.Routes {
		c.checkRoute(route)
	}
	for _, customer := range config.Customers {
		c.checkCustomer(customer.Customer)
	}
	c.checkLimits()
	if inForce != nil {
		c.checkSuccession(inForce)
	}
	return c.report
}

// EntryName returns the name of an entry in findings.
func (config *Config) EntryName(kind Term, name string) string {
	return config.Names[kind] + "/" + name
}

// error adds an Error about a field.
func (c *configChecker) error(entry string, field Term, format string, args ...any) {
	c.add(Error, entry, c.config.Names[field], format, args...)
}

// warn adds a Warning about a field if a condition is true.
func (c *configChecker) warn(condition bool, entry string, field Term, format string, args ...any) {
	c.warnIf(condition, entry, c.config.Names[field], format, args...)
}

// checkNumbers reports numbers of any field that are negative or implausibly large.
func (c *configChecker) checkNumbers() {
	for _, entry := range c.config.Entries {
		for _, field := range sortedNames(entry.Fields) {
			number, err := strconv.ParseFloat(entry.Fields[field], 64)
			if err == nil && (number < 0 || number > maxNumber) {
				c.add(Error, entry.Key(), field, "%s is not between 0 and %.0g", entry.Fields[field], maxNumber)
			}
		}
	}
}

// checkNames reports entries without a name or with the name of an earlier entry of the
// same kind.
func (c *configChecker) checkNames() {
	seen := make(map[string]bool)
	for _, entry := range c.config.Entries {
		if !entry.Named {
			continue
		}
		if entry.Name == "" {
			c.error(entry.Key(), TermName, "is empty")
		} else if seen[entry.Key()] {
			c.error(entry.Key(), TermName, "is the name of an earlier entry too")
		}
		seen[entry.Key()] = true
	}
}

// checkKeys reports empty keys, keys that occur twice, and customers without keys. Keys are
// required as soon as there is a customer.
func (c *configChecker) checkKeys() {
	owners := make(map[catalog.KeyHash]string)
	empty := catalog.HashKey("")
	for _, customer := range c.config.Customers {
		entry := c.config.EntryName(TermCustomer, customer.Name)
		c.warn(len(customer.Keys) == 0, entry, TermKeys, "is empty, so no request belongs to this entry")
		for _, key := range customer.Keys {
			owner, taken := owners[key]
			switch {
			case key == empty:
				c.error(entry, TermKeys, "contains an empty key")
			case taken && owner != entry:
				c.error(entry, TermKeys, "key %s belongs to %s too", KeyLabel(key), owner)
			default:
				c.warn(taken, entry, TermKeys, "contains key %s twice", KeyLabel(key))
			}
			owners[key] = entry
		}
	}
}

// checkMatches reports routes that no request matches and pools that no route uses.
func (c *configChecker) checkMatches() {
	type match struct{ host, prefix string }
	firstRoutes := make(map[match]string)
	used := make(map[string]bool)
	for _, route := range c.config.Routes {
		entry := c.config.EntryName(TermRoute, route.Name)
		hasPort := strings.Contains(route.Host, ":") && !strings.HasSuffix(route.Host, "]")
		c.warn(route.Host == "" || hasPort || strings.Contains(route.Host, "/"), entry, TermHost,
			"can never match: %q is not a host name without a port", route.Host)
		c.warn(route.Prefix != "" && route.Prefix[0] != '/', entry, TermPrefix,
			"can never match: %q lacks the slash at its start", route.Prefix)
		key := match{strings.ToLower(route.Host), route.Prefix}
		first, taken := firstRoutes[key]
		c.warn(taken, entry, TermPrefix, "can never match: %s comes first for the same host and path", first)
		if !taken {
			firstRoutes[key] = entry
		}
		for _, pool := range route.Pools {
			used[pool.Pool] = used[pool.Pool] || pool.Weight > 0
		}
	}
	if len(c.config.Undecoded) > 0 {
		return // The pools of these routes are not known.
	}
	for _, pool := range c.config.Pools {
		c.warn(!used[pool.Name], c.config.EntryName(TermPool, pool.Name), "", "receives no requests of any route")
	}
}

func (c *configChecker) checkRoute(route *catalog.Route) {
	entry := c.config.EntryName(TermRoute, route.Name)
	total := 0.0
	for _, pool := range route.Pools {
		total += pool.Weight
		if pool.Weight < 0 || pool.Weight > maxNumber {
			c.error(entry, TermPools, "weight %g of %q is not between 0 and %.0g", pool.Weight, pool.Pool, maxNumber)
		}
	}
	if total == 0 {
		c.error(entry, TermPools, "the sum of the weights is 0")
	}
	if route.MaxRuns > maxRuns {
		c.error(entry, TermMaxRuns, "%d is above %d", route.MaxRuns, maxRuns)
	}
	c.requireBounded(entry, TermTimeout, route.Timeout)
	c.requireBounded(entry, TermObjective, route.LatencyObjective)
	c.requireBounded(entry, TermMaxPause, route.MaxPause)

	longest := route.LongestWait()
	c.warn(route.LatencyObjective > longest, entry, TermObjective,
		"%s is longer than the timeout of %s", route.LatencyObjective, longest)
	c.warn(route.MaxPause > longest, entry, TermMaxPause, "%s is longer than the timeout of %s", route.MaxPause, longest)
	isStream := route.Kind == catalog.Stream
	c.warn(route.MaxPause > 0 && !isStream, entry, TermMaxPause, "has no effect, because the route is no stream")
	c.warn(route.Resumable && !isStream, entry, TermResumable, "has no effect, because the route is no stream")
	mayRepeat := route.Kind == catalog.Idempotent || isStream && route.Resumable
	c.warn(route.MaxRuns > 1 && !mayRepeat, entry, TermMaxRuns,
		"%d has no effect, because requests of this route run at most once", route.MaxRuns)
}

// requireBounded reports a duration above maxDuration.
func (c *configChecker) requireBounded(entry string, field Term, d time.Duration) {
	if d > maxDuration {
		c.error(entry, field, "%s is longer than %s", d, maxDuration)
	}
}

func (c *configChecker) checkCustomer(customer *catalog.Customer) {
	entry := c.config.EntryName(TermCustomer, customer.Name)
	if customer.Rate == 0 {
		c.warn(customer.Burst > 0, entry, TermBurst, "has no effect, because a rate of 0 means no limit")
		return
	}
	cost := float64(customer.DefaultCost)
	if customer.PerRequest {
		cost = 1
	}
	c.warn(customer.Burst < max(cost, 1), entry, TermBurst,
		"%g is below the cost %g of one request without token counts", customer.Burst, max(cost, 1))
}

func (c *configChecker) checkLimits() {
	limits, entry := c.config.Limits, c.config.Names[TermLimits]
	c.requireBounded(entry, TermHeaderTime, limits.HeaderTimeout)
	c.requireBounded(entry, TermIdleTime, limits.IdleTimeout)
	c.warn(limits.MaxHeaderBytes > 0 && limits.MaxHeaderBytes < usualHeaderBytes, entry, TermMaxHeader,
		"%d is below the size of usual headers (%d)", limits.MaxHeaderBytes, usualHeaderBytes)
	c.warn(limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout, entry, TermIdleTime,
		"%s is shorter than the header timeout of %s", limits.IdleTimeout, limits.HeaderTimeout)
}

// checkSuccession reports what keeps the configuration from replacing the one in force, or
// ends the need for keys.
func (c *configChecker) checkSuccession(inForce *Config) {
	entry := c.config.Names[TermConfig]
	if c.config.Version <= inForce.Version {
		c.error(entry, TermVersion, "%d is not above %d in force, so gateways ignore it", c.config.Version, inForce.Version)
	}
	c.warn(len(c.config.Customers) == 0 && len(inForce.Customers) > 0, c.config.Names[TermCustomer], "",
		"all entries are gone, so every request is accepted without a key")
}
