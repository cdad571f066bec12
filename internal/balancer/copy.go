package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// copySource is an engine from which leading parts of a prompt can be copied.
type copySource struct {
	address string
	zone    string
	link    *linkLoad
	version int64
	// tokens is the number of leading prompt tokens that can be copied.
	tokens int64
}

// copySources returns, for each zone and weights version, the engine with the most
// copyable tokens of the request. Engines that are replaced, unreachable, backing off or
// on hold are left out.
func copySources(upstreams []*catalog.Upstream, candidates []candidate, now bootclock.Instant) []copySource {
	var found []copySource
	for i, upstream := range upstreams {
		if candidates[i].copyableTokens == 0 {
			continue
		}
		s := candidates[i].state
		if s.replaced || s.unreachable || now.Before(s.backoffUntil) || now.Before(s.heldUntil) {
			continue
		}
		found = addCopySource(found, copySource{
			address: upstream.Address, zone: upstream.Zone, link: &s.link, version: candidates[i].version, tokens: candidates[i].copyableTokens,
		})
	}
	return found
}

// addCopySource adds s to found, unless found has a source of the same zone and version;
// s replaces that one if it has more tokens.
func addCopySource(found []copySource, s copySource) []copySource {
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

// plannedCopy is a copy of parts that an upstream lacks. The zero value stands for no
// copy.
type plannedCopy struct {
	address string
	tokens  int64
	// costMS is the expected duration of the copy, including the wait for the link of a
	// store.
	costMS float64
	// possibleTokens is the number of tokens that a speculative copy is expected to
	// yield; the source is not known to hold them.
	possibleTokens int64
	// linkMS is how long the copy occupies the link of the source; 0 if it is a store.
	linkMS float64
	// source is the link of the source; nil if it is a store.
	source *linkLoad
}

// bestCopy returns the copy that yields the most tokens beyond those cached at the
// upstream. Among engines with equally many tokens, one in the zone of the upstream is
// preferred. The store is preferred over the engines when it yields more and the wait for
// its link is at most maxStoreWaitMS. When neither an engine nor the store is known to
// hold at least minCopyTokens more tokens and the store may hold unreported parts, the
// copy is speculative. Where the links are known, a copy that would take longer than the prefill
// of its tokens is not planned.
func bestCopy(sources []copySource, keys *partKeys, links links, upstream *catalog.Upstream, c candidate, now bootclock.Instant) plannedCopy {
	bestZone := ""
	var best plannedCopy
	for _, s := range sources {
		gainedTokens := s.tokens - c.cachedTokens
		// This also skips the upstream itself, which would gain no tokens.
		if s.version != c.version || gainedTokens < minCopyTokens {
			continue
		}
		if gainedTokens > best.tokens || gainedTokens == best.tokens && s.zone == upstream.Zone && bestZone != upstream.Zone {
			best.address, bestZone, best.tokens, best.source = s.address, s.zone, gainedTokens, s.link
		}
	}
	best.linkMS = links.copyMS(best.tokens, bestZone != upstream.Zone)
	best.costMS = best.linkMS
	if best.source != nil {
		best.costMS += links.waitMS(best.source, best.linkMS, now) + links.waitMS(&c.state.link, best.linkMS, now)
	}
	if links.tokensPerMS > 0 && best.costMS > float64(best.tokens)/c.state.prefillTokensPerMS(now) {
		best = plannedCopy{}
	}
	store := keys.store
	if store == nil {
		return best
	}
	linkWaitMS := float64(store.linkBusyUntil.Sub(now)) / float64(time.Millisecond)
	if linkWaitMS > maxStoreWaitMS {
		return best
	}
	gainedTokens := store.leadingTokens(keys.request, keys.forVersion(c.version)) - c.cachedTokens
	if gainedTokens < minCopyTokens && best.tokens == 0 && keys.mayHoldUnreported {
		return store.speculativeCopy(keys.request, c.cachedTokens)
	}
	if gainedTokens < minCopyTokens || gainedTokens <= best.tokens {
		return best
	}
	return plannedCopy{address: store.Address, tokens: gainedTokens, costMS: max(linkWaitMS, 0) + store.transferMS(gainedTokens)}
}
