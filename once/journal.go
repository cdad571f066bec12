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
	// newest is when the last of its entries was added.
	newest time.Time
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
	// waiting holds the claims among pending, in the same order.
	waiting []*entry
	// writeAt is when pending entries without a waiting claim are written; zero when none.
	writeAt time.Time

	// witnesses are those of the stored head. proposed are those of a write whose
	// outcome is open; a successor may read either.
	witnesses []Peer
	proposed  []Peer

	// failingSince is the start of the first of the writes that failed in a row.
	failingSince time.Time
	failedAt     time.Time
	// unjournaled says that the witnesses know of the present episode.
	unjournaled bool
	period      uint64
	// periodOpen says that a claim of the episode may not be in the store.
	periodOpen bool
	// exposed counts claims that ran and are not in the store.
	exposed int
	// closeOpen says that a write which gives the shard up may have taken effect. A
	// successor would then ask no witness, so nothing may run unjournaled.
	closeOpen bool
	// unended is an episode whose end the witnesses have not been told.
	unended uint64
}

// draft is a head about to be written.
type draft struct {
	head    *wirepb.OnceHead
	entries int
	claims  int
	expired []segment
	// closeOpenBefore is the journal's closeOpen before the draft.
	closeOpenBefore bool
}

func (j *journal) add(record *wirepb.OnceEntry) {
	j.pending = append(j.pending, record)
	j.pendingBytes += proto.Size(record)
}

// writeSoon bounds the time that pending entries wait for a claim to join.
func (j *journal) writeSoon() {
	if j.writeAt.IsZero() {
		j.writeAt = time.Now().Add(outcomeDelay)
	}
}

// due reports whether there is something to write now.
func (j *journal) due(now time.Time) bool {
	if len(j.waiting) > 0 {
		return true
	}
	return !j.writeAt.IsZero() && !now.Before(j.writeAt)
}

// mayRunUnjournaled reports whether a claim may run now without the store. The
// last failed write must be recent on the process's own monotonic clock, so that
// a process that was paused first finds out whether the shard has moved.
func (j *journal) mayRunUnjournaled() bool {
	return j.unjournaled && !j.closeOpen && time.Since(j.failedAt) < failureFreshFor
}

// nextWitnesses returns the witnesses of the next write, given those alive. The
// list stays while a write is open, and while nobody else is alive: an owner that
// is cut off must not do without witnesses.
func (j *journal) nextWitnesses(live []Peer) []Peer {
	switch {
	case j.proposed != nil:
		return j.proposed
	case len(live) == 0:
		return j.witnesses
	default:
		return live
	}
}

// tooLong reports whether the tail should become a segment.
func (j *journal) tooLong() bool {
	return len(j.tail) > 0 && j.tailBytes+j.pendingBytes > rollBytes
}

// written moves a draft's entries to the tail.
func (j *journal) written(d draft, version int64) {
	j.version = version
	j.tail = append(j.tail, j.pending[:d.entries]...)
	j.tailBytes += sizeOf(j.pending[:d.entries])
	j.pending = append([]*wirepb.OnceEntry(nil), j.pending[d.entries:]...)
	j.pendingBytes = sizeOf(j.pending)
	for _, claim := range j.waiting[:d.claims] {
		if claim.unjournaled && !claim.journaled {
			j.exposed--
		}
		claim.journaled = true
		claim.grant()
	}
	j.waiting = append([]*entry(nil), j.waiting[d.claims:]...)
	j.segments = j.segments[len(d.expired):]
	j.witnesses = peersFromWire(d.head.Witnesses)
	j.proposed = nil
	j.closeOpen = false
	j.failingSince = time.Time{}
	j.writeAt = time.Time{}
	if len(j.pending) > len(j.waiting) {
		j.writeSoon()
	}
	j.recovered()
}

// recovered ends the episode of unjournaled calls after a write.
func (j *journal) recovered() {
	j.unjournaled = false
	if j.periodOpen && j.exposed == 0 {
		j.periodOpen = false
		j.unended = j.period
	}
}

// failed notes a write that failed, begun at a time.
func (j *journal) failed(d draft, begun time.Time) {
	if j.failingSince.IsZero() {
		j.failingSince = begun
	}
	j.failedAt = time.Now()
	j.proposed = peersFromWire(d.head.Witnesses)
}

func sizeOf(records []*wirepb.OnceEntry) int {
	total := 0
	for _, record := range records {
		total += proto.Size(record)
	}
	return total
}
