// Package rendezvous lets processes agree on one of several candidates for a key
// without asking each other: each ranks them by the same hash. When a candidate goes,
// only its own keys move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Contest finds the candidate that ranks first for a key among those offered.
type Contest[T any] struct {
	key     string
	weight  uint64
	best    T
	offered bool
}

// New returns a contest for a key without candidates.
func New[T any](key string) *Contest[T] { return &Contest[T]{key: key} }

// Offer adds a candidate with its name.
func (c *Contest[T]) Offer(name string, candidate T) {
	if weight := xxhash.Sum64String(c.key + name); !c.offered || weight > c.weight {
		c.weight, c.best, c.offered = weight, candidate, true
	}
}

// Best returns the candidate that ranks first, or the zero value when none was offered.
func (c *Contest[T]) Best() T { return c.best }
