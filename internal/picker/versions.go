package picker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/object"
)

const (
	// switchFirst and switchLast are the shares of upstreams with new weights at
	// which the first and the last customers change over to them.
	switchFirst = 0.3
	switchLast  = 0.8
)

// versions remembers which weights upstreams said they have loaded.
type versions struct {
	mu     sync.Mutex
	loaded map[string][]string
}

func newVersions() *versions {
	return &versions{loaded: make(map[string][]string)}
}

func (v *versions) note(upstream string, weights []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.loaded[upstream], weights) {
		v.loaded[upstream] = weights
	}
}

// share returns how large a part of the upstreams that are known has weights, 1
// when none is known.
func (v *versions) share(upstreams []*object.Upstream, weights string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, having := 0, 0
	for _, upstream := range upstreams {
		loaded, ok := v.loaded[upstream.Name]
		if !ok {
			continue
		}
		known++
		if slices.Contains(loaded, weights) {
			having++
		}
	}
	if known == 0 {
		return 1
	}
	return float64(having) / float64(known)
}

// Versions implements Picker. Customers change over to newer weights one after
// the other while more and more upstreams have them, each on all routers at
// about the same time.
func (m *Manager) Versions(set *object.Set, model, pool, customer string) []*object.ModelVersion {
	var found []*object.ModelVersion
	for _, version := range set.ModelVersions {
		if version.Model == model && version.Pool == pool {
			found = append(found, version)
		}
	}
	slices.SortFunc(found, func(a, b *object.ModelVersion) int { return cmp.Compare(b.Name, a.Name) })
	if len(found) < 2 {
		return found
	}
	threshold := switchFirst + (switchLast-switchFirst)*fraction(customer)
	upstreams := m.poolFor(set, pool).objects
	for i, version := range found {
		if m.versions.share(upstreams, version.Weights) >= threshold {
			first := slices.Delete(slices.Clone(found), i, i+1)
			return append([]*object.ModelVersion{version}, first...)
		}
	}
	return found
}

// fraction maps a name evenly to [0, 1).
func fraction(name string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(name)>>(64-bits)) / (1 << bits)
}
