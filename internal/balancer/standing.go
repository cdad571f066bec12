package balancer

import "maps"

// Standing is what is known of an upstream.
type Standing struct {
	ID string
	// Running is the number of requests that this gateway has there.
	Running int
	// FailureRate is the part of its recent requests that failed.
	FailureRate float64
	// Versions are the weights that it is believed to have, by model.
	Versions map[string]int64
}

// Standings returns what is known of each upstream.
func (c *Chooser) Standings() []Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	list := make([]Standing, 0, len(c.upstreams))
	for id, s := range c.upstreams {
		list = append(list, Standing{ID: id, Running: s.running, FailureRate: s.failureRate(now), Versions: maps.Clone(s.version)})
	}
	return list
}
