package quarantine

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// suspicionTTL is the time for which a content stays suspect after the last
	// report of a crash.
	suspicionTTL = time.Minute
	// maxRecords is the number of contents that a table holds at most.
	maxRecords = 100_000
)

// State is the quarantine state of a request's content.
type State uint8

const (
	// StateClear is the state of a content with no known crash.
	StateClear State = iota
	// StateSuspect is the state of a content that was in flight at a crash. It may
	// be run by one holder of a permit at a time.
	StateSuspect
	// StateConvicted is the state of a content that is refused because it crashed upstreams.
	StateConvicted
)

// record is the state of one content that is suspect or convicted.
type record struct {
	state State
	until time.Time
	// crashTokens is the number of tokens of the answer that were generated before the last crash.
	crashTokens int64
}

// table holds the suspect and convicted contents by digest.
type table struct {
	mu      sync.Mutex
	records map[uint64]record
}

func newTable() *table {
	return &table{records: make(map[uint64]record)}
}

// lookup returns a content's state and how long that state still lasts, which is
// 0 for StateClear. It removes the content's record if that has expired.
func (t *table) lookup(digest uint64) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.records[digest]
	if !ok {
		return StateClear, 0
	}
	remaining := time.Until(current.until)
	if remaining <= 0 {
		delete(t.records, digest)
		return StateClear, 0
	}
	return current.state, remaining
}

// crashTokens returns the number of tokens of the content's answer that were
// generated before its last crash, or 0 if the table has no record of it.
func (t *table) crashTokens(digest uint64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[digest].crashTokens
}

// apply applies an entry and reports whether the content's state changed. A new
// suspicion of a suspect content replaces the earlier one, also if it lasts less
// long, and is not a change. A conviction replaces a suspicion and ends only when
// it expires.
func (t *table) apply(entry *wirepb.QuarantineEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	until := now.Add(time.Duration(entry.RemainingMs) * time.Millisecond)
	current, ok := t.records[entry.Digest]
	ok = ok && now.Before(current.until)
	if ok && current.state == StateConvicted {
		return false
	}
	switch entry.State {
	case wirepb.QuarantineState_QUARANTINE_CLEARED:
		delete(t.records, entry.Digest)
		return ok
	case wirepb.QuarantineState_QUARANTINE_CONVICTED:
		t.put(entry.Digest, record{state: StateConvicted, until: until})
		return true
	default:
		t.put(entry.Digest, record{state: StateSuspect, until: until, crashTokens: entry.CrashTokens})
		return !ok
	}
}

// put stores a record and evicts other records if the table is full. It must be
// called with t.mu held.
func (t *table) put(digest uint64, next record) {
	if len(t.records) >= maxRecords {
		t.evict()
	}
	t.records[digest] = next
}

// evict removes the expired records and then arbitrary ones until one record
// fits in. It must be called with t.mu held.
func (t *table) evict() {
	now := time.Now()
	for digest, current := range t.records {
		if now.After(current.until) {
			delete(t.records, digest)
		}
	}
	for digest := range t.records {
		if len(t.records) < maxRecords {
			return
		}
		delete(t.records, digest)
	}
}

// entries returns all records in the form that is sent to other processes, and
// removes expired ones.
func (t *table) entries() []*wirepb.QuarantineEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []*wirepb.QuarantineEntry
	for digest, current := range t.records {
		remaining := time.Until(current.until)
		if remaining <= 0 {
			delete(t.records, digest)
			continue
		}
		entries = append(entries, &wirepb.QuarantineEntry{Digest: digest, State: wireState(current.state), RemainingMs: remaining.Milliseconds(), CrashTokens: current.crashTokens})
	}
	return entries
}

// wireState returns the value that is sent for StateSuspect or StateConvicted. A
// table has no records of other states.
func wireState(s State) wirepb.QuarantineState {
	if s == StateConvicted {
		return wirepb.QuarantineState_QUARANTINE_CONVICTED
	}
	return wirepb.QuarantineState_QUARANTINE_SUSPECT
}
