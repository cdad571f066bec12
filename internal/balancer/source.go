package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// source is a place that holds leading parts of a prompt.
type source struct {
	address string
	zone    string
	version int64
	tokens  int64
}

// sources lists the places from which parts of the work can be copied: for each
// zone and version of the weights the one that has the most.
func sources(list []*catalog.Upstream, holdings []holding, now bootclock.Instant) []source {
	var found []source
	for i, upstream := range list {
		if holdings[i].copyable == 0 {
			continue
		}
		s := holdings[i].state
		if s.ended || s.down || now.Before(s.restUntil) || now.Before(s.heldUntil) {
			continue
		}
		found = keepLargest(found, source{
			address: upstream.Address, zone: upstream.Zone, version: holdings[i].version, tokens: holdings[i].copyable,
		})
	}
	return found
}

// keepLargest adds a source unless there is one as large of its zone and version,
// whose place it takes otherwise.
func keepLargest(found []source, s source) []source {
	for i, other := range found {
		if other.zone != s.zone || other.version != s.version {
			continue
		}
		if s.tokens > other.tokens {
			found[i] = s
		}
		return found
	}
	return append(found, s)
}

// copying is a copy of parts that an upstream lacks.
type copying struct {
	address string
	tokens  int64
	ms      float64
	// hoped is the number of tokens that may be copied although nobody said that the
	// source has them.
	hoped int64
}

// bestCopy returns the copy that brings an upstream the most beyond what it has.
// Among engines one in the upstream's zone goes first. The store is asked when it
// has more than any engine.
func bestCopy(sources []source, keys *partKeys, to *catalog.Upstream, has holding, now bootclock.Instant) copying {
	zone := ""
	var best copying
	for _, s := range sources {
		saved := s.tokens - has.own
		// An upstream that is itself the source saves nothing by it.
		if s.version != has.version || saved < minCopied {
			continue
		}
		if saved > best.tokens || saved == best.tokens && s.zone == to.Zone && zone != to.Zone {
			best.address, zone, best.tokens = s.address, s.zone, saved
		}
	}
	best.ms = float64(best.tokens) / copyTokensPerMS
	store := keys.store
	if store == nil {
		return best
	}
	wait := float64(store.busyUntil.Sub(now)) / float64(time.Millisecond)
	if wait > maxStoreWaitMS {
		return best
	}
	saved := store.leading(keys.request, keys.of(has.version)) - has.own
	if saved < minCopied && best.tokens == 0 && keys.blind {
		return store.blindCopy(keys.request, has.own)
	}
	if saved < minCopied || saved <= best.tokens {
		return best
	}
	return copying{address: store.Address, tokens: saved, ms: max(wait, 0) + store.takes(saved)}
}
