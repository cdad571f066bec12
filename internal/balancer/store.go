package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// saveAgain is how long after a save was asked for the parts are expected in
	// the store's events.
	saveAgain = 2 * time.Second
	// maxStored bounds the parts that are remembered of a store.
	maxStored = 65536
	// minSaved is the least number of shared tokens that are worth saving.
	minSaved = 1000
	// maxStoreWaitMS is the longest wait for a store's link that is worth a copy.
	maxStoreWaitMS = 60
	// missMS is what asking in vain costs, in milliseconds.
	missMS = 1
)

// cacheStore is a store of cached parts beside the engines, and what is known of it.
type cacheStore struct {
	catalog.CacheStore
	usable bool
	held   map[string]bool
	// asked is when a save of a part was asked for.
	asked map[string]bootclock.Instant
	// busyUntil is when the store's link has carried the copies asked for.
	busyUntil bootclock.Instant
}

func newCacheStore(store catalog.CacheStore) *cacheStore {
	return &cacheStore{CacheStore: store, held: make(map[string]bool), asked: make(map[string]bootclock.Instant)}
}

// leading returns the number of leading tokens of the work that the store holds.
func (s *cacheStore) leading(request *Request, keys []string) int64 {
	tokens := int64(0)
	for i, part := range request.Parts {
		if !s.held[keys[i]] {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// takes is how long the store's link carries a number of tokens, in milliseconds.
func (s *cacheStore) takes(tokens int64) float64 { return float64(tokens) / s.TokensPerMS }

// EnableStore names a store that engines may copy from.
func (b *Balancer) EnableStore(store catalog.CacheStore) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.storeAt(store.Address)
	if known == nil {
		known = newCacheStore(store)
		b.stores = append(b.stores, known)
	}
	known.CacheStore, known.usable = store, true
}

// DisableStore says that a store can't be used. What it holds is remembered.
func (b *Balancer) DisableStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if store := b.storeAt(address); store != nil {
		store.usable = false
	}
}

// storeAt returns the store at an address, or nil; b.mu is held.
func (b *Balancer) storeAt(address string) *cacheStore {
	for _, store := range b.stores {
		if store.Address == address {
			return store
		}
	}
	return nil
}

// storeOf returns the store for the work's shared parts, or nil. Prompts that
// share their deepest part use the same one; b.mu is held.
func (b *Balancer) storeOf(request *Request) *cacheStore {
	shared := request.shared()
	if len(shared) == 0 {
		return nil
	}
	contest := rendezvous.New[*cacheStore](shared[len(shared)-1].ID)
	for _, store := range b.stores {
		if store.usable {
			contest.Offer(store.Address, store)
		}
	}
	return contest.Best()
}

// RecordStoredPart says that a store holds a part, or dropped it.
func (b *Balancer) RecordStoredPart(address, salt, part string, held bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	store := b.storeAt(address)
	if store == nil {
		return
	}
	key := salt + part
	if !held {
		delete(store.held, key)
		return
	}
	if len(store.held) < maxStored {
		store.held[key] = true
	}
	delete(store.asked, key)
}

// ClearStore says that a store is empty.
func (b *Balancer) ClearStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if store := b.storeAt(address); store != nil {
		clear(store.held)
		clear(store.asked)
	}
}

// saveTo returns the store's address when the shared parts of the work should be
// saved there; b.mu is held.
func (b *Balancer) saveTo(request *Request, version int64, now bootclock.Instant) string {
	store := b.storeOf(request)
	if store == nil {
		return ""
	}
	shared := request.shared()
	key := request.Salt(version) + shared[len(shared)-1].ID
	if tokensOf(shared) < minSaved || store.held[key] {
		return ""
	}
	if asked, ok := store.asked[key]; ok && now.Sub(asked) < saveAgain {
		return ""
	}
	if len(store.asked) >= maxStored {
		clear(store.asked)
	}
	store.asked[key] = now
	return store.Address
}

// noteCopy counts a copy from a store against its link, which all gateways share;
// b.mu is held.
func (b *Balancer) noteCopy(choice Choice) {
	store := b.storeAt(choice.CopySource)
	if store == nil {
		return
	}
	took := time.Duration(store.takes(choice.CopyTokens+choice.PossibleCopyTokens) * float64(b.gateways) * float64(time.Millisecond))
	store.busyUntil = max(store.busyUntil, b.now()).Add(took)
}

// blindCopy asks the store for shared parts that it is not known to hold. Asking in
// vain costs little.
//
// Load pattern: the store answers few gateways at once, so that each of many hears
// its news after seconds, and some never; engines evict parts as fast.
func (s *cacheStore) blindCopy(request *Request, own int64) copying {
	missing := tokensOf(request.shared()) - own
	if missing < minSaved {
		return copying{}
	}
	return copying{address: s.Address, ms: missMS, hoped: missing / 2}
}
