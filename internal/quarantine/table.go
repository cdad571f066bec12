// Package quarantine keeps requests that crash upstreams away from them. A
// request in flight at a crash becomes suspect and is run on its own; one that is
// in flight at a second crash is convicted and refused for a while by all routers.
package quarantine

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// suspectFor is how long a suspicion lasts without news.
	suspectFor = time.Minute
	maxEntries = 100_000
)

// State is what is known of a content.
type State uint8

// The states of a content.
const (
	StateClear State = iota
	StateSuspect
	StateConvicted
)

// item is one content that is not clear.
type item struct {
	state State
	until time.Time
	// tokens of the answer were given before the last crash.
	tokens int64
}

// table holds the contents that are not clear, by digest.
type table struct {
	mu    sync.Mutex
	items map[uint64]item
}

func newTable() *table {
	return &table{items: make(map[uint64]item)}
}

// lookup returns a content's state and how long it lasts.
func (t *table) lookup(digest uint64) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.items[digest]
	if !ok {
		return StateClear, 0
	}
	left := time.Until(found.until)
	if left <= 0 {
		delete(t.items, digest)
		return StateClear, 0
	}
	return found.state, left
}

// crashTokens returns the tokens that a content had given before its last crash.
func (t *table) crashTokens(digest uint64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.items[digest].tokens
}

// apply takes in an entry and reports whether it changed anything. A conviction
// overrides a suspicion; nothing but time ends a conviction.
func (t *table) apply(entry *wirepb.QuarantineEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	until := now.Add(time.Duration(entry.RemainingMs) * time.Millisecond)
	known, ok := t.items[entry.Digest]
	ok = ok && now.Before(known.until)
	if ok && known.state == StateConvicted {
		return false
	}
	switch entry.State {
	case wirepb.QuarantineState_QUARANTINE_CLEARED:
		delete(t.items, entry.Digest)
		return ok
	case wirepb.QuarantineState_QUARANTINE_CONVICTED:
		t.put(entry.Digest, item{state: StateConvicted, until: until})
		return true
	default:
		t.put(entry.Digest, item{state: StateSuspect, until: until, tokens: entry.CrashTokens})
		return !ok
	}
}

// put stores an item, forgetting expired and then arbitrary ones when there are
// too many; t.mu is held.
func (t *table) put(digest uint64, next item) {
	if len(t.items) >= maxEntries {
		t.makeRoom()
	}
	t.items[digest] = next
}

func (t *table) makeRoom() {
	now := time.Now()
	for digest, found := range t.items {
		if now.After(found.until) {
			delete(t.items, digest)
		}
	}
	for digest := range t.items {
		if len(t.items) < maxEntries {
			return
		}
		delete(t.items, digest)
	}
}

// entries returns all items for another process.
func (t *table) entries() []*wirepb.QuarantineEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wirepb.QuarantineEntry
	for digest, found := range t.items {
		left := time.Until(found.until)
		if left <= 0 {
			delete(t.items, digest)
			continue
		}
		out = append(out, &wirepb.QuarantineEntry{Digest: digest, State: wireState(found.state), RemainingMs: left.Milliseconds(), CrashTokens: found.tokens})
	}
	return out
}

func wireState(s State) wirepb.QuarantineState {
	if s == StateConvicted {
		return wirepb.QuarantineState_QUARANTINE_CONVICTED
	}
	return wirepb.QuarantineState_QUARANTINE_SUSPECT
}
