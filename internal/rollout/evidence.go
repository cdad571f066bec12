package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Group identifies one side of the comparison between versions.
type Group uint8

// The groups of upstreams of a pool.
const (
	// GroupOthers is all software versions but the target.
	GroupOthers Group = iota
	// GroupTarget is the target version.
	GroupTarget
	// GroupCount is the number of groups.
	GroupCount
)

const (
	// BucketCount is the number of duration buckets. The first one holds durations below
	// shortestBucketed, the last one all from 1.3^42 ms (61 s) on.
	BucketCount = 44
	// bucketFactor is the ratio of the upper bound of a bucket to its lower bound.
	bucketFactor = 1.3
	// shortestBucketed is the lower bound of the second bucket.
	shortestBucketed = time.Millisecond
)

// BucketOf returns the index of the bucket for a duration, from 0 to BucketCount-1. A longer
// duration never has a lower index.
func BucketOf(d time.Duration) int {
	if d < shortestBucketed {
		return 0
	}
	ratio := float64(d) / float64(shortestBucketed)
	return min(1+int(math.Log(ratio)/math.Log(bucketFactor)), BucketCount-1)
}

// BucketBound returns the lower bound of a bucket.
func BucketBound(bucket int) time.Duration {
	if bucket <= 0 {
		return 0
	}
	return time.Duration(float64(shortestBucketed) * math.Pow(bucketFactor, float64(bucket-1)))
}

// Counts holds the counts of one route and group since the rollout began.
type Counts struct {
	// Sent counts the requests that were sent, answered or not.
	Sent int64
	// Total counts the responses, including those that failed.
	Total int64
	// Failed counts the responses with status 500 or above, those that broke, and requests
	// that got no response.
	Failed int64
	// Durations counts the successful responses by bucket; see BucketOf.
	Durations [BucketCount]int64
}

// combine replaces each count of c by f of it and the same count of other.
func (c *Counts) combine(other *Counts, f func(a, b int64) int64) {
	c.Sent = f(c.Sent, other.Sent)
	c.Total = f(c.Total, other.Total)
	c.Failed = f(c.Failed, other.Failed)
	for i := range c.Durations {
		c.Durations[i] = f(c.Durations[i], other.Durations[i])
	}
}

func add(a, b int64) int64      { return a + b }
func subtract(a, b int64) int64 { return a - b }
func larger(a, b int64) int64   { return max(a, b) }

// since returns the counts that were added to former to get c.
func (c *Counts) since(former *Counts) Counts {
	difference := *c
	difference.combine(former, subtract)
	return difference
}

// successes returns the number of successful responses, and of those in a bucket not below from.
func (c *Counts) successes(from int) (all, slow int64) {
	for i, count := range c.Durations {
		all += count
		if i >= from {
			slow += count
		}
	}
	return all, slow
}

// quantile returns the bucket of the quantile q of the successful responses, and 0 if there
// are none.
func (c *Counts) quantile(q float64) int {
	all, _ := c.successes(BucketCount)
	rank := int64(math.Ceil(q * float64(all)))
	for i, count := range c.Durations {
		if rank -= count; rank <= 0 {
			return i
		}
	}
	return BucketCount - 1
}

// Evidence holds Counts by route and group.
type Evidence map[string]*[GroupCount]Counts

// Of returns the counts of a route and group, which the caller may change. It adds the route
// if e lacks it.
func (e Evidence) Of(route string, group Group) *Counts {
	counts := e[route]
	if counts == nil {
		counts = new([GroupCount]Counts)
		e[route] = counts
	}
	return &counts[group]
}

// Add adds the counts of other.
func (e Evidence) Add(other Evidence) { e.combine(other, add) }

func (e Evidence) combine(other Evidence, f func(a, b int64) int64) {
	for route, counts := range other {
		for group := range counts {
			e.Of(route, Group(group)).combine(&counts[group], f)
		}
	}
}

// Clone returns a copy that shares nothing with e.
func (e Evidence) Clone() Evidence {
	clone := make(Evidence, len(e))
	clone.Add(e)
	return clone
}

// Sent returns the number of requests that were sent to a group on all routes.
func (e Evidence) Sent(group Group) int64 {
	var sent int64
	for _, counts := range e {
		sent += counts[group].Sent
	}
	return sent
}

// routes returns the names of the routes in ascending order.
func (e Evidence) routes() []string { return slices.Sorted(maps.Keys(e)) }

// reporter identifies one incarnation of a gateway.
type reporter struct {
	gateway     string
	incarnation int64
}

// PooledEvidence sums the evidence that gateways report. Each report holds everything that one
// incarnation of a gateway has counted since the rollout began, so that lost, repeated and
// reordered reports do no harm. The zero value is an empty sum.
type PooledEvidence struct {
	reports map[reporter]Evidence
	sum     Evidence
}

// Merge adds what an incarnation of a gateway has counted since its last report. Counts of
// its former incarnations stay in the sum. A count that is lower than in an earlier report of
// the same incarnation is ignored. No reference to e is kept.
func (p *PooledEvidence) Merge(gateway string, incarnation int64, e Evidence) {
	if p.reports == nil {
		p.reports, p.sum = make(map[reporter]Evidence), make(Evidence)
	}
	key := reporter{gateway, incarnation}
	former := p.reports[key]
	latest := former.Clone()
	latest.combine(e, larger)
	p.reports[key] = latest
	p.sum.Add(latest)
	p.sum.combine(former, subtract)
}

// Sum returns the sum of the evidence of all gateways. The caller may change it.
func (p *PooledEvidence) Sum() Evidence { return p.sum.Clone() }
