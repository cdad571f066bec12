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

// driftAllowance is the part of a term that covers clocks of different speed.
const driftAllowance = 0.025

// ErrHeld reports that another process holds the lease, or may still hold it.
var ErrHeld = errors.New("lease is held by another process")

// leaseRecord is a lease as the store has it.
type leaseRecord struct {
	Holder string        `json:"holder"`
	Life   uint64        `json:"life"`
	Term   time.Duration `json:"term"`
	// Nonce differs in each record, so that a lost answer can be settled by reading.
	Nonce uint64 `json:"nonce"`
}

// Lease is held for a term by one process at a time. Its holder counts the term
// from the moment before it asked. Others take the lease over when they have seen
// the same record for its whole term on their own clocks, so no two processes
// compare their times. It is safe for concurrent use.
type Lease struct {
	store  store.Store
	key    string
	holder string
	life   uint64
	term   time.Duration
	now    func() time.Time

	mu      sync.Mutex
	expires time.Time
	// seen is the version of the record last read, seenAt when it first was.
	seen   int64
	seenAt time.Time
	nonce  uint64
	// previousHolder is the holder that this process took the lease over from last.
	previousHolder string
}

// New returns a lease on a key that this process does not hold yet. No two
// processes that run at the same time have the same holder name. A nil now stands
// for time.Now.
func New(s store.Store, key, holder string, term time.Duration, now func() time.Time) *Lease {
	if now == nil {
		now = time.Now
	}
	return &Lease{store: s, key: key, holder: holder, life: rand.Uint64() | 1, term: term, now: now}
}

// Held reports whether the lease may be relied on at this instant. A process
// that was paused beyond its term finds it over. Work that must not overlap with
// that of the next holder has to carry the fencing number from Acquire as well,
// since a pause may follow this check.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.expires)
}

// Acquire takes or renews the lease and returns a fencing number that grows with
// each record. It returns ErrHeld while another process may hold the lease;
// callers repeat it more often than once a term, which also lets them notice
// that a holder is gone.
func (l *Lease) Acquire(ctx context.Context) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := l.now()
	current, version, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if version != l.seen {
		l.seen, l.seenAt = version, l.now()
	}
	takesOver := version != store.VersionAbsent && current.Life != l.life
	// A holder of the same name is a former life of this process, which has ended.
	if takesOver && current.Holder != l.holder && !l.isOver(current) {
		return 0, ErrHeld
	}
	fence, err := l.write(ctx, asked, version)
	if err == nil && takesOver {
		l.previousHolder = current.Holder
	}
	return fence, err
}

// PreviousHolder returns the name of the holder that this process took the lease over
// from last; empty when nobody held it before.
func (l *Lease) PreviousHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previousHolder
}

// Release ends the lease early, so that others need not wait for its term. It
// does nothing when the lease is not held.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.now().Before(l.expires) {
		return nil
	}
	l.expires = time.Time{}
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Nonce: rand.Uint64()})
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, l.key, value, l.seen)
	return err
}

// isOver reports whether a record has stayed unchanged for its whole term.
func (l *Lease) isOver(r leaseRecord) bool {
	wait := r.Term + time.Duration(float64(r.Term)*driftAllowance)
	return l.now().Sub(l.seenAt) >= wait
}

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

func (l *Lease) write(ctx context.Context, asked time.Time, expected int64) (int64, error) {
	l.nonce = rand.Uint64()
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Life: l.life, Term: l.term, Nonce: l.nonce})
	if err != nil {
		return 0, err
	}
	version, err := l.store.Put(ctx, l.key, value, expected)
	if errors.Is(err, store.ErrUnknownOutcome) {
		version, err = l.settle(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrHeld
	}
	if err != nil {
		return 0, err
	}
	l.seen, l.seenAt = version, l.now()
	l.expires = asked.Add(l.term - time.Duration(float64(l.term)*driftAllowance))
	return version, nil
}

// settle finds out whether a write whose answer was lost took effect.
func (l *Lease) settle(ctx context.Context) (int64, error) {
	record, version, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if record.Nonce != l.nonce {
		return 0, ErrHeld
	}
	return version, nil
}
