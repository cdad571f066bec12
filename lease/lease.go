package lease

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/store"
)

// clockDriftFraction is the fraction of a term that allows for clocks that run at
// different speeds. The holder stops that much earlier and others wait that much longer.
const clockDriftFraction = 0.025

// ErrHeld reports that another process holds the lease, or may still hold it.
var ErrHeld = errors.New("lease is held by another process")

// leaseRecord is the stored form of a lease.
type leaseRecord struct {
	Holder      string        `json:"holder"`
	Incarnation uint64        `json:"life"`
	Term        time.Duration `json:"term"`
	// Nonce is different in each record, so that after a lost reply a read shows
	// whether the write took effect.
	Nonce uint64 `json:"nonce"`
}

// Lease is held for a term by at most one process at a time. The holder counts the
// term from just before its request to the store. Another process takes the lease
// over after it has seen the same record for the whole term on its own clock, so
// processes never compare their clocks. It is safe for concurrent use.
type Lease struct {
	store       store.Store
	key         string
	holder      string
	incarnation uint64
	term        time.Duration
	now         func() time.Time

	mu        sync.Mutex
	expiresAt time.Time
	// seenVersion is the version of the last record that Acquire read or wrote, seenAt
	// the time when this process first read or wrote that version.
	seenVersion int64
	seenAt      time.Time
	nonce       uint64
	// previousHolder is the holder from which this process last took the lease over.
	previousHolder string
}

// NewLease returns a lease on a key; it is not held before Acquire. Processes that run
// at the same time must have different holder names. If now is nil, time.Now is used.
func NewLease(s store.Store, key, holder string, term time.Duration, now func() time.Time) *Lease {
	if now == nil {
		now = time.Now
	}
	return &Lease{store: s, key: key, holder: holder, incarnation: rand.Uint64() | 1, term: term, now: now}
}

// Held reports whether this process holds the lease now. It returns false after a
// pause of the process that outlasted the term. Because a pause may also follow
// this check, work that must not overlap with that of the next holder has to carry
// the fencing token from Acquire as well.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.expiresAt)
}

// Acquire takes or renews the lease and returns a fencing token, which is the version
// of the stored record and grows with each write. It returns ErrHeld while another
// process may hold the lease.
// Callers must call it more often than once per term, to renew the lease in time
// and to detect a holder that no longer renews. It blocks on the store.
func (l *Lease) Acquire(ctx context.Context) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requestedAt := l.now()
	current, version, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if version != l.seenVersion {
		l.seenVersion, l.seenAt = version, l.now()
	}
	isTakeover := version != store.VersionAbsent && current.Incarnation != l.incarnation
	// A holder of the same name is a previous incarnation of this process, which no
	// longer runs.
	if isTakeover && current.Holder != l.holder && !l.isExpired(current) {
		return 0, ErrHeld
	}
	token, err := l.write(ctx, requestedAt, version)
	if err == nil && isTakeover {
		l.previousHolder = current.Holder
	}
	return token, err
}

// PreviousHolder returns the name of the holder from which this process last took
// the lease over, or "" if it never took over a stored lease.
func (l *Lease) PreviousHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previousHolder
}

// Release gives up the lease before its term ends, so that others need not wait.
// It does nothing if the lease is not held.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.now().Before(l.expiresAt) {
		return nil
	}
	l.expiresAt = time.Time{}
	// A record with a zero term is expired at once.
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Nonce: rand.Uint64()})
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, l.key, value, l.seenVersion)
	return err
}

// isExpired reports whether the current record has stayed unchanged for its whole
// term plus the allowance for clock drift. It must be called with mu held.
func (l *Lease) isExpired(r leaseRecord) bool {
	wait := r.Term + time.Duration(float64(r.Term)*clockDriftFraction)
	return l.now().Sub(l.seenAt) >= wait
}

// read returns the stored record and its version, or VersionAbsent if there is none.
func (l *Lease) read(ctx context.Context) (leaseRecord, int64, error) {
	var record leaseRecord
	object, err := l.store.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return record, store.VersionAbsent, nil
	}
	if err != nil {
		return record, 0, err
	}
	return record, object.Version, json.Unmarshal(object.Value, &record)
}

// write stores a record of this holder if the stored record has expectedVersion, and
// returns the new version. Otherwise it returns ErrHeld. The term counts from
// requestedAt. It must be called with mu held.
func (l *Lease) write(ctx context.Context, requestedAt time.Time, expectedVersion int64) (int64, error) {
	l.nonce = rand.Uint64()
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Incarnation: l.incarnation, Term: l.term, Nonce: l.nonce})
	if err != nil {
		return 0, err
	}
	version, err := l.store.Put(ctx, l.key, value, expectedVersion)
	if errors.Is(err, store.ErrUnknownOutcome) {
		version, err = l.resolveUnknownOutcome(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrHeld
	}
	if err != nil {
		return 0, err
	}
	l.seenVersion, l.seenAt = version, l.now()
	l.expiresAt = requestedAt.Add(l.term - time.Duration(float64(l.term)*clockDriftFraction))
	return version, nil
}

// resolveUnknownOutcome reads the record after a write whose reply was lost. It
// returns the version if the write took effect, and ErrHeld if the stored record is not
// the one written. It must be called with mu held.
func (l *Lease) resolveUnknownOutcome(ctx context.Context) (int64, error) {
	record, version, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if record.Nonce != l.nonce {
		return 0, ErrHeld
	}
	return version, nil
}
