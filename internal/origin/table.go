package origin

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// maxEntries bounds the entries of each of the two generations of a table.
const maxEntries = 1 << 15

// entry is what is known of a stream.
type entry struct {
	Record
	// upstream is the ID of the upstream that wrote the first event, if this gateway forwarded
	// it; empty in entries that are kept for other gateways.
	upstream string
	begunAt  bootclock.Instant
	// published is true if other gateways have been told.
	published bool
}

// table holds entries for at least one horizon after they were last put or found, in two
// generations. It drops the older generation early when the newer one is full. It is not safe
// for concurrent use.
type table struct {
	newer, older map[Key]*entry
	rotatedAt    bootclock.Instant
}

func newTable() *table { return &table{newer: make(map[Key]*entry)} }

func (t *table) put(key Key, e *entry, horizon time.Duration, now bootclock.Instant) {
	if len(t.newer) >= maxEntries || now.Sub(t.rotatedAt) >= horizon {
		t.newer, t.older, t.rotatedAt = make(map[Key]*entry), t.newer, now
	}
	delete(t.older, key)
	t.newer[key] = e
}

// get returns the entry of a stream, or nil, and keeps it for another horizon.
func (t *table) get(key Key, horizon time.Duration, now bootclock.Instant) *entry {
	if e := t.newer[key]; e != nil {
		return e
	}
	e := t.older[key]
	if e != nil {
		t.put(key, e, horizon, now)
	}
	return e
}

// each calls visit for each entry.
func (t *table) each(visit func(Key, *entry)) {
	for key, e := range t.newer {
		visit(key, e)
	}
	for key, e := range t.older {
		visit(key, e)
	}
}

// size returns the number of entries.
func (t *table) size() int { return len(t.newer) + len(t.older) }
