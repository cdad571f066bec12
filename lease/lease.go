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
	// Era is the era of the store in which the holder read what it replaced. A record
	// with an earlier era than its version was kept by a restore, or was written under a
	// condition that only a revision given out again has met.
	Era int64 `json:"era,omitempty"`
	// Actor is the holder that last may have acted under the lease, "" in records of versions
	// that did not state it. While it is another than Holder, Holder waits for the end of the
	// handover delay and has not acted.
	Actor string `json:"actor,omitempty"`
	// Wait is how much of the handover delay was left when the record was written.
	Wait time.Duration `json:"wait,omitempty"`
	// Note is what LeaseOptions.Note returned.
	Note []byte `json:"note,omitempty"`
}

// isOfEra reports whether the record was written in the era of its version.
func (r *leaseRecord) isOfEra(version int64) bool { return r.Era == store.EraOf(version) }

// Lease is held for a term by at most one process at a time. The holder counts the
// term from just before its request to the store. Another process takes the lease
// over after it has seen the same record for the whole term on its own clock, so
// processes never compare their clocks.
//
// When the store is restored from an older copy, all leases end: the record of the last
// holder may be lost. In the new era a process takes the lease only after it has known the
// era for a whole term, when every lease of earlier eras is over.
//
// What two holders do in turn may have to be further apart than their terms. A holder that
// was not the last one to act therefore acts only after LeaseOptions.HandoverDelay. Who acted
// last, and the rest of that delay, are in the record; so neither a restart or a release
// within the delay nor a lost reply ends it early. See MayAct. A Lease is safe for concurrent
// use.
type Lease struct {
	options     LeaseOptions
	incarnation uint64
	now         func() time.Time

	// callMu is held during calls to the store. It protects the fields below it.
	callMu sync.Mutex
	// seenVersion is the version of the last record that Acquire read or wrote, seenAt
	// the time when this process first read or wrote that version.
	seenVersion int64
	seenAt      time.Time
	// seenEra is the last era of the store that Acquire found, seenEraAt the time when it
	// first did.
	seenEra   int64
	seenEraAt time.Time
	nonce     uint64

	// mu protects the fields below it and is never held during a call to the store.
	mu        sync.Mutex
	expiresAt time.Time
	// heldVersion is the version of the record by which this process holds the lease, or
	// held it last.
	heldVersion int64
	// handover is from whom this process last took the lease over, or is about to. isActor
	// is true if the record by which it holds the lease names it as the actor.
	handover Handover
	isActor  bool
}

// LeaseOptions configures a Lease. Store, Key, Holder and Term are required.
type LeaseOptions struct {
	Store store.Store
	Key   string
	// Holder is the name of this process. Processes that run at the same time must have
	// different names; a process that is started again keeps its name.
	Holder string
	Term   time.Duration
	// HandoverDelay is how long after another holder can have acted last a holder may act.
	HandoverDelay time.Duration
	// Note returns what the next record carries for those who read it, also after this process has
	// ended; nil if there is nothing. If not nil, it is called before each write.
	Note func() []byte
	// OnNote, if not nil, is called with the note of each record that Acquire reads, which is as old
	// as the record at least. Both are called with locks of the Lease held and must not block.
	OnNote func(note []byte)
	// Now reads a clock that never goes back. If nil, time.Now is used.
	Now func() time.Time
}

// NewLease returns a lease that is not held before Acquire.
func NewLease(options LeaseOptions) *Lease {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Lease{options: options, incarnation: rand.Uint64() | 1, now: options.Now}
}

// Held reports whether this process holds the lease now. It returns false after a
// pause of the process that outlasted the term, and as soon as a response of the store has
// stated a new era. Because a pause may also follow this check, work that must not overlap
// with that of the next holder has to carry the fencing token from Acquire as well.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.expiresAt) && store.EraOf(l.heldVersion) == store.CurrentEra(l.options.Store)
}

// Acquire takes or renews the lease and returns a fencing token, which is the version
// of the stored record and grows with each write, also across eras. It returns ErrHeld
// while another process may hold the lease.
// Callers must call it more often than once per term, to renew the lease in time
// and to detect a holder that no longer renews. It blocks on the store.
func (l *Lease) Acquire(ctx context.Context) (int64, error) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	requestedAt := l.now()
	if l.Held() {
		// A holder knows the record, so one call renews it unless it has changed.
		version := l.lastHeldVersion()
		token, err := l.writeHeld(ctx, version, store.EraOf(version), requestedAt)
		if !errors.Is(err, ErrHeld) {
			return token, err
		}
	}
	current, version, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	era := store.CurrentEra(l.options.Store)
	if version != store.VersionAbsent && store.EraOf(version) != era {
		return 0, ErrHeld
	}
	l.noteSeen(version, era)
	isOwn := version != store.VersionAbsent && version == l.lastHeldVersion()
	if !isOwn && !l.mayTake(&current, version) {
		return 0, ErrHeld
	}
	l.noteHandover(&current, version)
	return l.writeHeld(ctx, version, era, requestedAt)
}

// noteSeen records when a version of the record and an era of the store were first seen.
func (l *Lease) noteSeen(version, era int64) {
	now := l.now()
	if version != l.seenVersion {
		l.seenVersion, l.seenAt = version, now
	}
	if era != l.seenEra || l.seenEraAt.IsZero() {
		l.seenEra, l.seenEraAt = era, now
	}
}

// mayTake reports whether the lease may be taken over a record that this process does not
// hold.
func (l *Lease) mayTake(current *leaseRecord, version int64) bool {
	if version == store.VersionAbsent {
		return l.isEraOld()
	}
	if !current.isOfEra(version) {
		return l.isEraOld() && l.isExpired(current)
	}
	// A holder of the same name is a previous incarnation of this process, which no longer
	// runs. A record of this incarnation is of a write whose reply was lost.
	return current.Holder == l.options.Holder || current.Incarnation == l.incarnation || l.isExpired(current)
}

// isEraOld reports whether the leases of earlier eras are over: this process has known the
// era for a whole term. A store without eras has no earlier ones.
func (l *Lease) isEraOld() bool {
	return l.seenEra == 0 || l.now().Sub(l.seenEraAt) >= withDrift(l.options.Term)
}

// isExpired reports whether the current record has stayed unchanged for its whole term.
func (l *Lease) isExpired(r *leaseRecord) bool { return l.now().Sub(l.seenAt) >= withDrift(r.Term) }

// withDrift returns a term plus the allowance for clock drift.
func withDrift(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*clockDriftFraction)
}

func (l *Lease) lastHeldVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldVersion
}

// writeHeld writes a record of this process and records that it holds the lease by it. The
// term counts from requestedAt.
func (l *Lease) writeHeld(ctx context.Context, expectedVersion, era int64, requestedAt time.Time) (int64, error) {
	l.mu.Lock()
	actor, wait := l.state()
	l.mu.Unlock()
	version, err := l.write(ctx, expectedVersion, era, actor, wait)
	if err != nil {
		return 0, err
	}
	l.seenVersion, l.seenAt = version, l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldVersion, l.isActor = version, actor == l.options.Holder
	term := l.options.Term
	l.expiresAt = requestedAt.Add(term - time.Duration(float64(term)*clockDriftFraction))
	return version, nil
}

// Release gives up the lease before its term ends, so that others need not wait.
// It does nothing if the lease is not held.
func (l *Lease) Release(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	if !l.Held() {
		return nil
	}
	l.mu.Lock()
	l.expiresAt = time.Time{}
	version := l.heldVersion
	actor, wait := l.releasedState()
	l.mu.Unlock()
	// A record with a zero term is expired at once.
	value, err := json.Marshal(leaseRecord{
		Holder: l.options.Holder, Incarnation: l.incarnation, Nonce: rand.Uint64(), Era: store.EraOf(version), Actor: actor, Wait: wait, Note: l.note(),
	})
	if err != nil {
		return err
	}
	_, err = l.options.Store.Put(ctx, l.options.Key, value, version)
	return err
}

// read returns the stored record and its version, or VersionAbsent if there is none.
func (l *Lease) read(ctx context.Context) (leaseRecord, int64, error) {
	var record leaseRecord
	object, err := l.options.Store.Get(ctx, l.options.Key)
	if errors.Is(err, store.ErrNotFound) {
		return record, store.VersionAbsent, nil
	}
	if err != nil {
		return record, 0, err
	}
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return record, object.Version, err
	}
	if l.options.OnNote != nil && len(record.Note) > 0 {
		l.options.OnNote(record.Note)
	}
	return record, object.Version, nil
}

// note returns the note for the next record.
func (l *Lease) note() []byte {
	if l.options.Note == nil {
		return nil
	}
	return l.options.Note()
}

// write stores a record of this holder if the stored record has expectedVersion, and
// returns the new version. Otherwise it returns ErrHeld, and also if the store was
// restored since the stored record was read in the given era.
func (l *Lease) write(ctx context.Context, expectedVersion, era int64, actor string, wait time.Duration) (int64, error) {
	l.nonce = rand.Uint64()
	value, err := json.Marshal(leaseRecord{
		Holder: l.options.Holder, Incarnation: l.incarnation, Term: l.options.Term, Nonce: l.nonce, Era: era, Actor: actor, Wait: wait, Note: l.note(),
	})
	if err != nil {
		return 0, err
	}
	version, err := l.options.Store.Put(ctx, l.options.Key, value, expectedVersion)
	if errors.Is(err, store.ErrUnknownOutcome) {
		version, err = l.resolveUnknownOutcome(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrHeld
	}
	if err != nil {
		return 0, err
	}
	if store.EraOf(version) != era {
		return 0, ErrHeld
	}
	return version, nil
}

// resolveUnknownOutcome reads the record after a write whose reply was lost. It
// returns the version if the write took effect, and ErrHeld if the stored record is not
// the one written.
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
