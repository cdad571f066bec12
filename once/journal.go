package once

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// segment is an immutable part of the journal, stored under its own key.
type segment struct {
	name    uint64
	version int64
	// newestRecordAt is when this owner wrote the segment, or read it at the takeover.
	// No record of the segment is newer.
	newestRecordAt time.Time
}

// journal is the owner's view of a shard's journal in the store: segments, oldest
// first, then the tail in the head, then the pending records that are not stored yet.
// It is guarded by the shard's mutex.
type journal struct {
	// version is the store's version of the head.
	version int64
	// sequence counts the writes of this epoch.
	sequence uint64
	segments []segment
	// tail holds the records in the stored head.
	tail      []*wirepb.OnceEntry
	tailBytes int
	// pending holds the records that are not in the store.
	pending      []*wirepb.OnceEntry
	pendingBytes int
	// waitingClaims holds the entries of the claims among pending, in the same order.
	waitingClaims []*entry
	// writeDueAt is when pending records are written even if no claim waits; zero
	// when no such write is scheduled.
	writeDueAt time.Time

	// witnesses are the witnesses in the stored head. proposedWitnesses are those in a
	// head whose write failed or has an unknown outcome; nil when there is none. A
	// successor may read either head.
	witnesses         []Peer
	proposedWitnesses []Peer

	// failingSince is when the first of the consecutive failed writes started; zero
	// after a successful write.
	failingSince  time.Time
	lastFailureAt time.Time
	// unjournaledAllowed is true once witnesses have recorded the current unjournaled
	// period, until a write succeeds.
	unjournaledAllowed bool
	// period is the number of the latest unjournaled period in this epoch.
	period uint64
	// periodOpen is true while claims of the latest unjournaled period may be missing
	// from the store.
	periodOpen bool
	// unjournaledClaims counts the claims that were allowed to run and are not in the store.
	unjournaledClaims int
	// closeUnresolved is true when a write that closes the head may have taken effect. A
	// successor that reads a closed head asks no witness, so no claim may run unjournaled.
	closeUnresolved bool
	// unreportedPeriod is the unjournaled period that has ended and whose end the
	// witnesses have not all recorded; 0 when there is none.
	unreportedPeriod uint64
}

// draft is a head that is about to be written.
type draft struct {
	head *wirepb.OnceHead
	// recordCount and claimCount are the numbers of pending records and waiting claims
	// that the head carries.
	recordCount int
	claimCount  int
	// expiredSegments are the oldest segments, which the head no longer names.
	expiredSegments []segment
	// closeUnresolvedBefore is the journal's closeUnresolved before the draft.
	closeUnresolvedBefore bool
}

// addPending queues a record for the next write.
func (j *journal) addPending(record *wirepb.OnceEntry) {
	j.pending = append(j.pending, record)
	j.pendingBytes += proto.Size(record)
}

// scheduleWrite makes a write due after outcomeWriteDelay, unless one is scheduled
// already. Pending records wait that long for a claim that shares their write.
func (j *journal) scheduleWrite() {
	if j.writeDueAt.IsZero() {
		j.writeDueAt = time.Now().Add(outcomeWriteDelay)
	}
}

// isWriteDue reports whether a claim waits or the time of a scheduled write has come.
func (j *journal) isWriteDue(now time.Time) bool {
	if len(j.waitingClaims) > 0 {
		return true
	}
	return !j.writeDueAt.IsZero() && !now.Before(j.writeDueAt)
}

// mayRunUnjournaled reports whether a claim may run before it is in the store. The
// last failed write must be recent by the process's own monotonic clock. A process
// that was paused must therefore first find out whether the shard was taken over.
func (j *journal) mayRunUnjournaled() bool {
	return j.unjournaledAllowed && !j.closeUnresolved && time.Since(j.lastFailureAt) < maxFailureAge
}

// nextWitnesses returns the witnesses for the next head, given the live peers. The
// witnesses do not change while the outcome of a write is unknown, nor while no other
// peer is alive. An owner that is cut off from its peers can therefore run claims
// unjournaled only after one of its earlier witnesses has recorded the period.
func (j *journal) nextWitnesses(live []Peer) []Peer {
	switch {
	case j.proposedWitnesses != nil:
		return j.proposedWitnesses
	case len(live) == 0:
		return j.witnesses
	default:
		return live
	}
}

// isTailOverSoftMax reports whether the tail should move to a segment before the
// pending records are added to it.
func (j *journal) isTailOverSoftMax() bool {
	return len(j.tail) > 0 && j.tailBytes+j.pendingBytes > softMaxTailBytes
}

// applyCommit moves the records of a written draft from pending to the tail and wakes
// their claims, which may run now.
func (j *journal) applyCommit(d draft, version int64) {
	j.version = version
	j.tail = append(j.tail, j.pending[:d.recordCount]...)
	j.tailBytes += recordsSize(j.pending[:d.recordCount])
	j.pending = append([]*wirepb.OnceEntry(nil), j.pending[d.recordCount:]...)
	j.pendingBytes = recordsSize(j.pending)
	for _, claimed := range j.waitingClaims[:d.claimCount] {
		if claimed.grantedUnjournaled && !claimed.journaled {
			j.unjournaledClaims--
		}
		claimed.journaled = true
		claimed.wake()
	}
	j.waitingClaims = append([]*entry(nil), j.waitingClaims[d.claimCount:]...)
	j.segments = j.segments[len(d.expiredSegments):]
	j.witnesses = peersFromWire(d.head.Witnesses)
	j.proposedWitnesses = nil
	j.closeUnresolved = false
	j.failingSince = time.Time{}
	j.writeDueAt = time.Time{}
	if len(j.pending) > len(j.waitingClaims) {
		j.scheduleWrite()
	}
	j.endUnjournaledPeriod()
}

// endUnjournaledPeriod is called after a successful write. Claims wait for the store
// again. The unjournaled period ends when all its claims are in the store.
func (j *journal) endUnjournaledPeriod() {
	j.unjournaledAllowed = false
	if j.periodOpen && j.unjournaledClaims == 0 {
		j.periodOpen = false
		j.unreportedPeriod = j.period
	}
}

// recordFailure records that the write of a draft, started at startedAt, failed or has
// an unknown outcome.
func (j *journal) recordFailure(d draft, startedAt time.Time) {
	if j.failingSince.IsZero() {
		j.failingSince = startedAt
	}
	j.lastFailureAt = time.Now()
	j.proposedWitnesses = peersFromWire(d.head.Witnesses)
}

// recordsSize returns the encoded size of records in bytes.
func recordsSize(records []*wirepb.OnceEntry) int {
	total := 0
	for _, record := range records {
		total += proto.Size(record)
	}
	return total
}
