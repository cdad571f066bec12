package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// saveRetryInterval is the time within which a requested save is expected to appear
	// among the changes of the store. After it, the save is requested again.
	saveRetryInterval = 2 * time.Second
	// maxPartsPerStore bounds the known parts of a store, and separately the requested
	// saves. When the known parts reach it, new parts are not recorded. When the requested
	// saves reach it, all of them are forgotten.
	maxPartsPerStore = 65536
	// minSaveTokens is the smallest number of shared tokens that is worth a save, and the
	// smallest number of uncached shared tokens that is worth a speculative copy.
	minSaveTokens = 1000
	// maxStoreWaitMS is the longest wait for the link of a store with which a copy is
	// still planned, in milliseconds.
	maxStoreWaitMS = 60
	// storeMissCostMS is the cost of a copy request for parts that the store turns out
	// not to hold, in milliseconds.
	storeMissCostMS = 1
)

// cacheStore is a store of cached parts outside the engines, with its known contents.
type cacheStore struct {
	catalog.CacheStore
	// enabled is true from EnableStore until DisableStore.
	enabled bool
	// parts contains the keys of the parts that the store holds.
	parts map[string]bool
	// saveRequestedAt is the time of the newest save request, by the key of the last
	// shared part.
	saveRequestedAt map[string]bootclock.Instant
	// linkBusyUntil is when the link of the store is expected to have carried all
	// requested copies.
	linkBusyUntil bootclock.Instant
}

func newCacheStore(store catalog.CacheStore) *cacheStore {
	return &cacheStore{CacheStore: store, parts: make(map[string]bool), saveRequestedAt: make(map[string]bootclock.Instant)}
}

// leadingTokens returns the number of leading tokens of the request that the store holds.
// keys are the keys of its parts.
func (s *cacheStore) leadingTokens(request *Request, keys []string) int64 {
	tokens := int64(0)
	for i, part := range request.Parts {
		if !s.parts[keys[i]] {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// transferMS returns how long the link of the store takes to carry a number of tokens, in
// milliseconds.
func (s *cacheStore) transferMS(tokens int64) float64 { return float64(tokens) / s.TokensPerMS }

// EnableStore allows copies from a store and saves to it. A store that was enabled before
// keeps its known parts.
func (b *Balancer) EnableStore(store catalog.CacheStore) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.storeAt(store.Address)
	if known == nil {
		known = newCacheStore(store)
		b.stores = append(b.stores, known)
	}
	known.CacheStore, known.enabled = store, true
}

// DisableStore stops copies from a store and saves to it. Its known parts are kept.
func (b *Balancer) DisableStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if store := b.storeAt(address); store != nil {
		store.enabled = false
	}
}

// storeAt returns the store at an address, or nil. b.mu must be held.
func (b *Balancer) storeAt(address string) *cacheStore {
	for _, store := range b.stores {
		if store.Address == address {
			return store
		}
	}
	return nil
}

// storeFor returns the enabled store for the shared parts of the request, or nil.
// Requests with the same last shared part use the same store. b.mu must be held.
func (b *Balancer) storeFor(request *Request) *cacheStore {
	shared := request.sharedParts()
	if len(shared) == 0 {
		return nil
	}
	selector := rendezvous.New[*cacheStore](shared[len(shared)-1].ID)
	for _, store := range b.stores {
		if store.enabled {
			selector.Add(store.Address, store)
		}
	}
	return selector.Best()
}

// RecordStoredPart records that a store holds a part (stored is true) or has dropped it.
func (b *Balancer) RecordStoredPart(address, salt, part string, stored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	store := b.storeAt(address)
	if store == nil {
		return
	}
	key := salt + part
	if !stored {
		delete(store.parts, key)
		return
	}
	if len(store.parts) < maxPartsPerStore {
		store.parts[key] = true
	}
	delete(store.saveRequestedAt, key)
}

// ClearStore records that a store is empty and forgets the saves that were requested from
// it.
func (b *Balancer) ClearStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if store := b.storeAt(address); store != nil {
		clear(store.parts)
		clear(store.saveRequestedAt)
	}
}

// storeToSaveTo returns the address of the store in which the shared parts of the request
// should be saved, or an empty string. It records the save as requested, so that it is
// not requested again for saveRetryInterval. b.mu must be held.
func (b *Balancer) storeToSaveTo(request *Request, version int64, now bootclock.Instant) string {
	store := b.storeFor(request)
	if store == nil {
		return ""
	}
	shared := request.sharedParts()
	key := request.Salt(version) + shared[len(shared)-1].ID
	if totalTokens(shared) < minSaveTokens || store.parts[key] {
		return ""
	}
	if requestedAt, ok := store.saveRequestedAt[key]; ok && now.Sub(requestedAt) < saveRetryInterval {
		return ""
	}
	if len(store.saveRequestedAt) >= maxPartsPerStore {
		clear(store.saveRequestedAt)
	}
	store.saveRequestedAt[key] = now
	return store.Address
}

// recordStoreCopy adds the copy of a choice to the load of the store's link. All gateways
// share the link, and each is assumed to copy as much as this one. It does nothing when
// the source is not a store. b.mu must be held.
func (b *Balancer) recordStoreCopy(choice Choice) {
	store := b.storeAt(choice.CopySource)
	if store == nil {
		return
	}
	transferTime := time.Duration(store.transferMS(choice.CopyTokens+choice.PossibleCopyTokens) * float64(b.gatewayCount) * float64(time.Millisecond))
	store.linkBusyUntil = max(store.linkBusyUntil, b.now()).Add(transferTime)
}

// speculativeCopy returns a copy of the shared parts that the store is not known to hold,
// or the zero value when fewer than minSaveTokens shared tokens are uncached at the
// upstream. The copy is assumed to yield half of them. A copy request for parts that the
// store does not hold costs little.
//
// Load pattern: the store answers only a few gateways at a time. In a large fleet each
// gateway therefore receives the store's changes seconds late, and some gateways never
// receive them; engines evict parts within the same time.
func (s *cacheStore) speculativeCopy(request *Request, cachedTokens int64) plannedCopy {
	uncachedTokens := totalTokens(request.sharedParts()) - cachedTokens
	if uncachedTokens < minSaveTokens {
		return plannedCopy{}
	}
	return plannedCopy{address: s.Address, costMS: storeMissCostMS, possibleTokens: uncachedTokens / 2}
}
