package balancer

import (
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// candidate is the state of an upstream and what it is expected to have cached of a
// request's prompt.
type candidate struct {
	state *upstreamState
	// version is the known weights version for the model of the request.
	version int64
	// cachedTokens is the number of leading prompt tokens that are expected to be cached
	// at the upstream, and copyableTokens the number of leading ones among them that
	// other engines can copy.
	cachedTokens, copyableTokens int64
}

// partKeys caches the keys of a request's parts for each weights version, and holds the
// cache store for these parts. The upstreams of a request have only a few different
// versions.
type partKeys struct {
	request *Request
	// store is the cache store for the shared parts of the request, or nil.
	store *cacheStore
	// mayHoldUnreported is true when the store may hold parts that this gateway does not
	// know of.
	mayHoldUnreported bool
	// versions are the weights versions whose keys are cached; keys[i] are the keys for
	// versions[i], in the order of the parts.
	versions []int64
	keys     [][]string
}

// forVersion returns the keys for a weights version, in the order of the parts.
func (k *partKeys) forVersion(version int64) []string {
	for i, known := range k.versions {
		if known == version {
			return k.keys[i]
		}
	}
	salt := k.request.Salt(version)
	keys := make([]string, len(k.request.Parts))
	for i, part := range k.request.Parts {
		keys[i] = salt + part.ID
	}
	k.versions, k.keys = append(k.versions, version), append(k.keys, keys)
	return keys
}

// candidates returns the candidate for each of upstreams, in the same order. b.mu must be
// held.
func (b *Balancer) candidates(upstreams []*catalog.Upstream, request *Request, keys *partKeys, now bootclock.Instant) []candidate {
	found := make([]candidate, len(upstreams))
	for i, upstream := range upstreams {
		s := b.stateFor(upstream.ID)
		found[i].state, found[i].version = s, s.versions[request.Model]
		if found[i].version == 0 {
			// The list may not be synced yet.
			found[i].version = upstream.ModelVersions[request.Model]
		}
		if len(request.Parts) > 0 && len(s.parts) > 0 {
			found[i].cachedTokens, found[i].copyableTokens = s.cachedTokens(request, keys.forVersion(found[i].version), now)
		}
	}
	return found
}
