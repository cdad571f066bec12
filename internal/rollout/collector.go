package rollout

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// collector counts what this gateway observes of one order.
type collector struct {
	target  string
	others  Evidence
	targets map[string]Evidence
}

func newCollector(target string) *collector {
	return &collector{target: target, others: make(Evidence), targets: make(map[string]Evidence)}
}

// counts returns the counts of a route at an upstream.
func (c *collector) counts(route string, upstream *catalog.Upstream) *Counts {
	if upstream.Software != c.target {
		return c.others.Of(route, GroupOthers)
	}
	evidence := c.targets[upstream.ID]
	if evidence == nil {
		evidence = make(Evidence)
		c.targets[upstream.ID] = evidence
	}
	return evidence.Of(route, GroupTarget)
}

func (c *collector) recordSend(route string, upstream *catalog.Upstream) {
	c.counts(route, upstream).Sent++
}

func (c *collector) recordResponse(route string, upstream *catalog.Upstream, delay time.Duration) {
	counts := c.counts(route, upstream)
	counts.Total++
	counts.Durations[BucketOf(delay)]++
}

// recordFailure records a failed request. If the upstream had begun to respond, the response
// was counted as a success and is no longer one.
func (c *collector) recordFailure(route string, upstream *catalog.Upstream, responded bool) {
	counts := c.counts(route, upstream)
	counts.Failed++
	if !responded {
		counts.Total++
	}
}

// report returns a copy of all counts.
func (c *collector) report() (others Evidence, targets map[string]Evidence) {
	targets = make(map[string]Evidence, len(c.targets))
	for id, evidence := range c.targets {
		targets[id] = evidence.Clone()
	}
	return c.others.Clone(), targets
}
