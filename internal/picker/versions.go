package picker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/object"
)

const (
	// firstSwitchFraction and lastSwitchFraction are the fractions of upstreams
	// with new weights at which the first and the last customers switch to them.
	firstSwitchFraction = 0.3
	lastSwitchFraction  = 0.8
)

// loadedWeights holds the weights versions that each upstream last reported as
// loaded. It is safe for concurrent use.
type loadedWeights struct {
	mu         sync.Mutex
	byUpstream map[string][]string
}

func newLoadedWeights() *loadedWeights {
	return &loadedWeights{byUpstream: make(map[string][]string)}
}

func (l *loadedWeights) record(upstream string, weights []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.byUpstream[upstream], weights) {
		l.byUpstream[upstream] = weights
	}
}

// fractionWith returns the fraction of upstreams that have loaded weights, among
// the upstreams that have reported. It returns 1 if no upstream has reported, so that
// the newest version is tried first.
func (l *loadedWeights) fractionWith(upstreams []*object.Upstream, weights string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	reportedCount, loadedCount := 0, 0
	for _, upstream := range upstreams {
		loaded, ok := l.byUpstream[upstream.Name]
		if !ok {
			continue
		}
		reportedCount++
		if slices.Contains(loaded, weights) {
			loadedCount++
		}
	}
	if reportedCount == 0 {
		return 1
	}
	return float64(loadedCount) / float64(reportedCount)
}

// Versions implements Picker. While new weights are loaded on more and more
// upstreams, customers switch to them one after the other, so that the upstreams
// with new weights do not receive all requests at once. A customer's threshold
// depends only on its name, so all routers switch it at about the same time. The
// newest version whose weights enough upstreams have loaded comes first. If there is
// none, or no upstream has reported, the newest version does. The remaining versions
// follow, newest first.
func (m *Manager) Versions(set *object.Set, model, pool, customer string) []*object.ModelVersion {
	var versions []*object.ModelVersion
	for _, version := range set.ModelVersions {
		if version.Model == model && version.Pool == pool {
			versions = append(versions, version)
		}
	}
	// Newest first: the name of a newer version must be greater as text.
	slices.SortFunc(versions, func(a, b *object.ModelVersion) int { return cmp.Compare(b.Name, a.Name) })
	if len(versions) < 2 {
		return versions
	}
	threshold := firstSwitchFraction + (lastSwitchFraction-firstSwitchFraction)*hashFraction(customer)
	upstreams := m.poolFor(set, pool).configured
	for i, version := range versions {
		if m.loadedWeights.fractionWith(upstreams, version.Weights) >= threshold {
			others := slices.Delete(slices.Clone(versions), i, i+1)
			return append([]*object.ModelVersion{version}, others...)
		}
	}
	return versions
}

// hashFraction maps a name to a number in [0, 1), evenly distributed over names.
func hashFraction(name string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(name)>>(64-mantissaBits)) / (1 << mantissaBits)
}
