package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// comparison pools the reports of all gateways on an order and selects what the Judge
// compares.
//
// Load pattern: one of a few canaries crashes, or fails or slows its requests because of its
// host, while the version is sound. A fault of the version shows at all canaries. The Judge
// therefore gets the counts of the better half of the canaries only, by what they did before.
type comparison struct {
	others  PooledEvidence
	targets map[string]*PooledEvidence
	// counted holds what was read from targets so far, by upstream, and kept the part of it
	// that the Judge gets.
	counted map[string]Evidence
	kept    Evidence
}

func newComparison() *comparison {
	return &comparison{targets: make(map[string]*PooledEvidence), counted: make(map[string]Evidence), kept: make(Evidence)}
}

// add adds a report of a gateway.
func (c *comparison) add(gateway string, report *Report) {
	c.others.Merge(gateway, report.Incarnation, report.Others)
	for id, evidence := range report.Targets {
		pool := c.targets[id]
		if pool == nil {
			pool = new(PooledEvidence)
			c.targets[id] = pool
		}
		pool.Merge(gateway, report.Incarnation, evidence)
	}
}

// evidence returns what the Judge compares: all counts of the other versions, and the counts
// of the better canaries. It only ever grows.
func (c *comparison) evidence() Evidence {
	worst := c.worstTargets()
	for id, pool := range c.targets {
		latest := pool.Sum()
		added := latest.Clone()
		added.combine(c.counted[id], subtract)
		c.counted[id] = latest
		if !slices.Contains(worst, id) {
			c.kept.Add(added)
		}
	}
	all := c.others.Sum()
	all.Add(c.kept)
	return all
}

// worstTargets returns the worse half of the canaries, rounded down, by the share of their
// responses that failed or were slow.
func (c *comparison) worstTargets() []string {
	others := c.others.Sum()
	rates := make(map[string]float64, len(c.counted))
	for id, evidence := range c.counted {
		rates[id] = badShare(evidence, others)
	}
	ids := slices.SortedFunc(maps.Keys(rates), func(a, b string) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a, b))
	})
	return ids[:len(ids)/2]
}

// badShare returns the share of a canary's responses that failed or were slow, compared with
// the other versions' responses on the same route.
func badShare(target, others Evidence) float64 {
	bad, total := 0.0, 1.0
	for route, counts := range target {
		own := &counts[GroupTarget]
		_, slow := own.successes(slowFrom([]Counts{*others.Of(route, GroupOthers)}))
		bad += float64(own.Failed + slow)
		total += float64(own.Total)
	}
	return bad / total
}

// sent returns the number of requests that were sent to the target and to all upstreams.
func (c *comparison) sent() (target, all int64) {
	for _, pool := range c.targets {
		target += pool.sum.Sent(GroupTarget)
	}
	return target, target + c.others.sum.Sent(GroupOthers)
}

// pooled returns the counts of all gateways, of the other versions and of the target's
// upstreams by ID.
func (c *comparison) pooled() (others Evidence, targets map[string]Evidence) {
	targets = make(map[string]Evidence, len(c.targets))
	for id, pool := range c.targets {
		targets[id] = pool.Sum()
	}
	return c.others.Sum(), targets
}
