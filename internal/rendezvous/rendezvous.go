// Package rendezvous implements rendezvous hashing, also called highest random weight
// hashing: processes that know the same candidates choose the same one for a key without
// communicating. When a candidate is removed, only the keys assigned to it move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Selector selects the candidate with the highest weight for a key. It is not safe for
// concurrent use.
type Selector[T any] struct {
	key        string
	bestWeight uint64
	best       T
	offered    bool
}

// New returns a selector for key that has no candidates yet.
func New[T any](key string) *Selector[T] { return &Selector[T]{key: key} }

// Add adds a candidate. Its weight is a hash of the key and name, so all processes must
// use the same name for it. The order of the calls matters only between candidates with
// equal weights: the one offered first wins.
func (s *Selector[T]) Add(name string, candidate T) {
	if weight := xxhash.Sum64String(s.key + name); !s.offered || weight > s.bestWeight {
		s.bestWeight, s.best, s.offered = weight, candidate, true
	}
}

// Best returns the candidate with the highest weight, or the zero value when none was
// offered.
func (s *Selector[T]) Best() T { return s.best }

// Top returns the n names with the highest weights for a key, the highest first, or all names
// if there are no more. The first one is that which a Selector selects.
func Top(key string, names []string, n int) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, len(names))
	for i, name := range names {
		candidates[i] = candidate{name: name, weight: xxhash.Sum64String(key + name)}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	top := make([]string, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		top = append(top, c.name)
	}
	return top
}
