package once

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// segment is an immutable part of the journal in the store.
type segment struct {
	name    uint64
	version int64
	// newestRecordAt is when the last of its entries was added.
	newestRecordAt time.Time
}

// journal is what a shard's owner knows of its record in the store. It is
// guarded by the shard's mutex.
type journal struct {
	version  int64
	sequence uint64
	segments []segment
	// tail holds the entries that the stored head has.
	tail      []*wirepb.OnceEntry
	tailBytes int
	// pending holds the entries that are not in the store.
	pending      []*wirepb.OnceEntry
	pendingBytes int
	// waitingClaims holds the claims among pending, in the same order.
	waitingClaims []*entry
	// writeDueAt is when pending entries without a waiting claim are written; zero when none.
	writeDueAt time.Time

	// witnesses are those of the stored head. proposed are those of a write whose
	// outcome is open; a successor may read either.
	witnesses         []Peer
	proposedWitnesses []Peer

	// failingSince is the start of the first of the writes that failed in a row.
	failingSince  time.Time
	lastFailureAt time.Time
	// unjournaledAllowed says that the witnesses know of the present episode.
	unjournaledAllowed bool
	period             uint64
	// periodOpen says that a claim of the episode may not be in the store.
	periodOpen bool
	// unjournaledClaims counts claims that ran and are not in the store.
	unjournaledClaims int
	// closeUnresolved says that a write which gives the shard up may have taken effect. A
	// successor would then ask no witness, so nothing may run unjournaled.
	closeUnresolved bool
	// unreportedPeriod is an episode whose end the witnesses have not been told.
	unreportedPeriod uint64
}

// draft is a head about to be written.
type draft struct {
	head            *wirepb.OnceHead
	recordCount     int
	claimCount      int
	expiredSegments []segment
	// closeUnresolvedBefore is the journal's closeOpen before the draft.
	closeUnresolvedBefore bool
}

func (j *journal) addPending(record *wirepb.OnceEntry) {
	j.pending = append(j.pending, record)
	j.pendingBytes += proto.Size(record)
}

// scheduleWrite bounds the time that pending entries wait for a claim to join.
func (j *journal) scheduleWrite() {
	if j.writeDueAt.IsZero() {
		j.writeDueAt = time.Now().Add(outcomeWriteDelay)
	}
}

// isWriteDue reports whether there is something to write now.
func (j *journal) isWriteDue(now time.Time) bool {
	if len(j.waitingClaims) > 0 {
		return true
	}
	return !j.writeDueAt.IsZero() && !now.Before(j.writeDueAt)
}

// mayRunUnjournaled reports whether a claim may run now without the store. The
// last failed write must be recent on the process's own monotonic clock, so that
// a process that was paused first finds out whether the shard has moved.
func (j *journal) mayRunUnjournaled() bool {
	return j.unjournaledAllowed && !j.closeUnresolved && time.Since(j.lastFailureAt) < maxFailureAge
}

// nextWitnesses returns the witnesses of the next write, given those alive. The
// list stays while a write is open, and while nobody else is alive: an owner that
// is cut off must not do without witnesses.
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

// isTailOverSoftMax reports whether the tail should become a segment.
func (j *journal) isTailOverSoftMax() bool {
	return len(j.tail) > 0 && j.tailBytes+j.pendingBytes > softMaxTailBytes
}

// applyCommit moves a draft's entries to the tail.
func (j *journal) applyCommit(d draft, version int64) {
	j.version = version
	j.tail = append(j.tail, j.pending[:d.recordCount]...)
	j.tailBytes += recordsSize(j.pending[:d.recordCount])
	j.pending = append([]*wirepb.OnceEntry(nil), j.pending[d.recordCount:]...)
	j.pendingBytes = recordsSize(j.pending)
	for _, claim := range j.waitingClaims[:d.claimCount] {
		if claim.grantedUnjournaled && !claim.journaled {
			j.unjournaledClaims--
		}
		claim.journaled = true
		claim.grant()
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

// endUnjournaledPeriod ends the episode of unjournaled calls after a write.
func (j *journal) endUnjournaledPeriod() {
	j.unjournaledAllowed = false
	if j.periodOpen && j.unjournaledClaims == 0 {
		j.periodOpen = false
		j.unreportedPeriod = j.period
	}
}

// recordFailure notes a write that recordFailure, begun at a time.
func (j *journal) recordFailure(d draft, begun time.Time) {
	if j.failingSince.IsZero() {
		j.failingSince = begun
	}
	j.lastFailureAt = time.Now()
	j.proposedWitnesses = peersFromWire(d.head.Witnesses)
}

func recordsSize(records []*wirepb.OnceEntry) int {
	total := 0
	for _, record := range records {
		total += proto.Size(record)
	}
	return total
}
