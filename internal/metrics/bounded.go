package metrics

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxBoundedHistograms bounds the histograms of one name.
	maxBoundedHistograms = 128
	// otherValues is the value of all labels of the histogram that counts for the others.
	otherValues = "other"
	// histogramIdleTime is how long a histogram must not have been used to be given up for a new one.
	histogramIdleTime = time.Minute
)

// boundedHistograms are the histograms of one name whose label values may become any number.
type boundedHistograms struct {
	mu sync.Mutex
	// lastUsed is when each was last used, by its name in the registry.
	lastUsed map[string]time.Time
}

var (
	boundedMu sync.Mutex
	bounded   = make(map[string]*boundedHistograms)
)

// BoundedHistogram returns the histogram with this name and these pairs of label and value. At most
// maxBoundedHistograms of a name exist, those that were used last; all others are one, in which each
// label has the value "other".
func BoundedHistogram(name string, labels ...string) metrics.Histogram {
	boundedMu.Lock()
	histograms, ok := bounded[name]
	if !ok {
		histograms = &boundedHistograms{lastUsed: make(map[string]time.Time)}
		bounded[name] = histograms
	}
	boundedMu.Unlock()
	if histograms.use(registryName(name, labels), time.Now()) {
		return Histogram(name, labels...)
	}
	others := make([]string, len(labels))
	for i := range others {
		others[i] = labels[i]
		if i%2 == 1 {
			others[i] = otherValues
		}
	}
	return Histogram(name, others...)
}

// use reports whether the histogram with a name in the registry may be used at now.
func (b *boundedHistograms) use(registered string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.lastUsed[registered]
	if !known && len(b.lastUsed) >= maxBoundedHistograms {
		oldest, at := b.oldest(now)
		if now.Sub(at) < histogramIdleTime {
			return false
		}
		delete(b.lastUsed, oldest)
		metrics.Unregister(oldest)
	}
	b.lastUsed[registered] = now
	return true
}

// oldest returns the histogram that was not used for longest, and when it was. b.mu must be held.
func (b *boundedHistograms) oldest(now time.Time) (registered string, at time.Time) {
	at = now
	for name, used := range b.lastUsed {
		if used.Before(at) {
			registered, at = name, used
		}
	}
	return registered, at
}
