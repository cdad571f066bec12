package lease

import (
	"time"

	"github.com/greengagegate/greengagegate/store"
)

// UnknownHolder is the Actor of a lease whose record does not tell who acted last: a restore
// of the store may have lost it, or it is of a version that did not record it.
const UnknownHolder = "unknown"

// Basis is the stored record that a process took the lease over from.
type Basis string

// Bases.
const (
	// BasisNoRecord means that there was no record.
	BasisNoRecord Basis = "no-record"
	// BasisRestored means that a restore of the store may have lost the last record.
	BasisRestored Basis = "restored"
	// BasisOtherHolder means that the record was of another holder.
	BasisOtherHolder Basis = "other-holder"
	// BasisFormerProcess means that the record was of a process with the same holder name
	// that no longer runs.
	BasisFormerProcess Basis = "former-process"
	// BasisHeldBefore means that this process had held the lease by this record.
	BasisHeldBefore Basis = "held-before"
	// BasisUnansweredWrite means that this process had written the record without getting
	// the reply.
	BasisUnansweredWrite Basis = "unanswered-write"
)

// Handover tells a process that took the lease over who acted under it before.
type Handover struct {
	// Basis is the record that the lease was taken over from.
	Basis Basis
	// Actor is the holder that may have acted last: the own name, UnknownHolder, or "" if
	// nobody has ever held the lease.
	Actor string
	// Until is when the process may act, on its own clock.
	Until time.Time
}

// Handover returns the last Handover. It is zero before the lease was first acquired.
func (l *Lease) Handover() Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handover
}

// MayAct reports whether this process may act under the lease now: it holds the lease, the
// handover delay is over since another holder can have acted last, and the stored record
// names this process as the one that acts, so that whoever reads it next knows.
func (l *Lease) MayAct() bool {
	l.mu.Lock()
	isActor := l.isActor
	l.mu.Unlock()
	return isActor && l.Held()
}

// UntilAction returns how long the handover delay still lasts: not positive if it is over. The
// renewal that follows its end permits the process to act.
func (l *Lease) UntilAction() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handover.Until.Sub(l.now())
}

// noteHandover records from what record this process is about to take the lease over. The
// record states how much of the handover delay was left when it was written, so that the
// delay survives the process that waits for its end. What this process has measured itself
// is more exact.
func (l *Lease) noteHandover(current *leaseRecord, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := Handover{Basis: l.basisOf(current, version)}
	now := l.now()
	switch {
	case next.Basis == BasisNoRecord:
	case next.Basis == BasisRestored, current.Actor == "":
		next.Actor, next.Until = UnknownHolder, now.Add(l.options.HandoverDelay)
	case current.Actor == l.options.Holder:
		next.Actor = current.Actor
	case current.Actor == current.Holder:
		next.Actor, next.Until = current.Actor, now.Add(l.options.HandoverDelay)
	case current.Incarnation == l.incarnation && current.Actor == l.handover.Actor:
		next.Actor, next.Until = current.Actor, l.handover.Until
	default:
		next.Actor, next.Until = current.Actor, now.Add(current.Wait)
	}
	l.handover, l.isActor = next, false
}

// basisOf returns the basis of a takeover from a record. It must be called with mu held.
func (l *Lease) basisOf(current *leaseRecord, version int64) Basis {
	switch {
	case version == store.VersionAbsent && l.seenEra == 0:
		return BasisNoRecord
	case version == store.VersionAbsent, !current.isOfEra(version):
		return BasisRestored
	case current.Holder != l.options.Holder:
		return BasisOtherHolder
	case version == l.heldVersion:
		return BasisHeldBefore
	case current.Incarnation != l.incarnation:
		return BasisFormerProcess
	default:
		return BasisUnansweredWrite
	}
}

// state returns what the next record states of the handover. A process whose delay is over
// becomes the actor by that record. It must be called with mu held.
func (l *Lease) state() (actor string, wait time.Duration) {
	wait = l.handover.Until.Sub(l.now())
	if wait <= 0 {
		return l.options.Holder, 0
	}
	return l.handover.Actor, wait
}

// releasedState returns what the record of a released lease states of the handover. It must
// be called with mu held.
func (l *Lease) releasedState() (actor string, wait time.Duration) {
	if l.isActor {
		return l.options.Holder, 0
	}
	return l.handover.Actor, max(0, l.handover.Until.Sub(l.now()))
}
