package balancer

import (
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// holding is what one upstream has of a work's parts.
type holding struct {
	state   *upstreamState
	version int64
	// own is the number of leading tokens that are cached there, copyable of those
	// that others can copy.
	own, copyable int64
}

// partKeys names the parts of a work under each version of the weights, which
// differ between few upstreams only, and the store that may hold them.
type partKeys struct {
	request *Request
	// store is where the shared parts are kept beside the engines; nil for nowhere.
	store *cacheStore
	// blind says that the store may hold more than is known.
	blind    bool
	versions []int64
	keys     [][]string
}

// of returns the keys under a version, in the order of the parts.
func (k *partKeys) of(version int64) []string {
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

// holdings returns what each upstream of a list has of the work; b.mu is held.
func (b *Balancer) holdings(list []*catalog.Upstream, request *Request, keys *partKeys, now bootclock.Instant) []holding {
	all := make([]holding, len(list))
	for i, upstream := range list {
		s := b.state(upstream.ID)
		all[i].state, all[i].version = s, s.version[request.Model]
		if len(request.Parts) > 0 && len(s.parts) > 0 {
			all[i].own, all[i].copyable = s.cached(request, keys.of(all[i].version), now)
		}
	}
	return all
}
