package configcheck

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/quota"
)

// defaultCallTimeout is the default of the routers' setting call_timeout.
const defaultCallTimeout = 20 * time.Second

// objectChecker checks a set of the product's own objects.
type objectChecker struct {
	report
	set *object.Set
	// callers holds the names of the customers that have an active key.
	callers map[string]bool
}

// Objects returns warnings about a set without mistakes, whose look-up tables are built:
// routes that no request reaches, objects that nothing refers to, and limits that
// contradict each other. What object.Check reports is not repeated.
func Objects(set *object.Set) []Finding {
	c := &objectChecker{set: set, callers: make(map[string]bool)}
	for _, key := range set.Keys {
		if key.State == object.KeyActive {
			c.callers[key.Customer] = true
		}
	}
	for _, name := range sortedNames(set.Customers) {
		c.checkCustomer(set.Customers[name])
	}
	for _, name := range sortedNames(set.Routes) {
		c.checkRoute(set.Routes[name])
	}
	for _, name := range sortedNames(set.Upstreams) {
		pool := set.Upstreams[name].Pool
		used := c.hasRoute(func(r *object.Route) bool { return r.Pool == pool })
		c.warnIf(!used, object.RecordKey(object.KindUpstream, name), "pool", "no Route uses pool %q", pool)
	}
	for _, name := range sortedNames(set.ModelVersions) {
		version := set.ModelVersions[name]
		used := c.hasRoute(func(r *object.Route) bool { return r.Model == version.Model && r.Pool == version.Pool })
		c.warnIf(!used, object.RecordKey(object.KindModelVersion, name), "model",
			"no Route sends model %q to pool %q", version.Model, version.Pool)
	}
	horizon := time.Duration(set.Fleet.RetryHorizon)
	c.warnIf(horizon < defaultCallTimeout, object.RecordKey(object.KindFleet, object.FleetName), "retry_horizon",
		"%s is shorter than the routers' default call_timeout of %s: a call that is repeated after its timeout may run twice",
		horizon, defaultCallTimeout)
	return c.report
}

func (c *objectChecker) hasRoute(matches func(*object.Route) bool) bool {
	for _, route := range c.set.Routes {
		if matches(route) {
			return true
		}
	}
	return false
}

// admits reports whether a route serves requests with keys of a customer.
func admits(route *object.Route, customer string) bool {
	return route.Customer == "" || route.Customer == customer
}

func (c *objectChecker) checkCustomer(customer *object.Customer) {
	entry := object.RecordKey(object.KindCustomer, customer.Name)
	c.warnIf(!c.callers[customer.Name], entry, "", "has no active Key, so no request belongs to it")
	served := c.hasRoute(func(r *object.Route) bool { return admits(r, customer.Name) })
	c.warnIf(!served, entry, "", "no Route admits its keys")
	for _, name := range sortedNames(c.set.ModelVersions) {
		version := c.set.ModelVersions[name]
		used := c.hasRoute(func(r *object.Route) bool {
			return r.Model == version.Model && r.Pool == version.Pool && admits(r, customer.Name)
		})
		largest := quota.MaxLentFraction * customer.Burst
		c.warnIf(used && largest < float64(version.BlockTokens), entry, "burst",
			"admits requests of up to %.0f tokens, less than one cache block (%d tokens) of ModelVersion %q",
			largest, version.BlockTokens, name)
	}
}

func (c *objectChecker) checkRoute(route *object.Route) {
	entry := object.RecordKey(object.KindRoute, route.Name)
	staying := slices.ContainsFunc(c.set.PoolMembers(route.Pool), func(u *object.Upstream) bool { return !u.Leaving })
	c.warnIf(!staying, entry, "pool", "every Upstream in pool %q is leaving", route.Pool)

	callers := slices.DeleteFunc(sortedNames(c.callers), func(name string) bool { return !admits(route, name) })
	if route.Open {
		callers = append(callers, "")
	}
	if len(callers) == 0 {
		c.add(Warning, entry, "", "can never match: no Customer that it admits has an active Key")
		return
	}
	// A route that hides this one for its own path hides it for all longer paths too.
	hidingRoute := ""
	for _, caller := range callers {
		chosen := c.set.ModelRoute(route.Model, caller)
		if route.Model == "" {
			chosen = c.set.PathRoute(route.Path, caller)
		}
		if chosen == route {
			return
		}
		hidingRoute = chosen.Name
	}
	c.add(Warning, entry, "", "can never match: Route %q comes first for the same requests", hidingRoute)
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
