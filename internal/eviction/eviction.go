// Package eviction chooses what a bounded map drops.
package eviction

import (
	"cmp"
	"slices"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Oldest returns the keys of the oldest entries of m if there are more than limit: those
// beyond fifteen sixteenths of limit, so that it rarely has to sort. at returns the instant by
// which entries are ordered.
func Oldest[K comparable, V any](m map[K]V, limit int, at func(V) bootclock.Instant) []K {
	if len(m) <= limit {
		return nil
	}
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(at(m[a]), at(m[b])) })
	return keys[:len(keys)-limit*15/16]
}
