package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"google.golang.org/protobuf/proto"
)

// errNotOwned reports that this process may not write the head: it does not own the
// shard, another call is closing the shard already, or the store names another owner or
// epoch.
var errNotOwned = errors.New("shard has another owner")

// commitLoop writes the journal until this process stops owning the shard or ctx ends.
// One write carries all claims that were queued since the previous write.
func (s *shard) commitLoop(ctx context.Context, ownershipEnded <-chan struct{}) {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.commitRequests:
		case <-ticker.C:
			s.evictExpired(time.Now())
			s.reportPeriodEnd(ctx)
		case <-ownershipEnded:
			return
		case <-ctx.Done():
			return
		}
		if s.isCommitDue() {
			s.flush(ctx, ownershipEnded)
		}
	}
}

// isCommitDue reports whether the shard is owned and has records to write now.
func (s *shard) isCommitDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned && s.journal.isWriteDue(time.Now())
}

// flush commits until a write succeeds, this process stops owning the shard or ctx
// ends. It pauses between attempts for half to one and a half commitRetryInterval.
// After a failed write it lets claims run unjournaled if that is allowed.
func (s *shard) flush(ctx context.Context, ownershipEnded <-chan struct{}) {
	for {
		err := s.commit(ctx, false)
		if err == nil || errors.Is(err, errNotOwned) || ctx.Err() != nil {
			return
		}
		s.allowUnjournaled(ctx)
		timer := time.NewTimer(commitRetryInterval/2 + rand.N(commitRetryInterval))
		select {
		case <-timer.C:
		case <-ownershipEnded:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// commit writes the head once, with all pending records. If closed is true, it marks
// the head closed, so that any peer may take the shard, and ends ownership. It waits
// for commitLock and for the limiter. After an error other than errNotOwned it may
// be called again.
func (s *shard) commit(ctx context.Context, closed bool) error {
	if err := s.commitLock.acquire(ctx); err != nil {
		return err
	}
	defer s.commitLock.release()
	if err := s.m.limiter.Wait(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	s.moveTailToSegment(ctx)
	d, version, ok := s.draftHead(closed)
	if !ok {
		return errNotOwned
	}
	value, err := proto.Marshal(d.head)
	if err != nil {
		return fault.Wrap(err, "encode shard", headKey(s.m.options.Pool, s.number))
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err = s.m.options.Store.Put(writeCtx, headKey(s.m.options.Pool, s.number), value, version)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		s.undoDraftClose(d)
	case err != nil:
		version, err = s.resolveWrite(ctx, d)
	}
	if err != nil {
		return s.recordFailedCommit(d, startedAt, err)
	}
	s.finishCommit(ctx, d, version, closed)
	return nil
}

// undoDraftClose restores closeUnresolved after a write that changed nothing in the
// store.
func (s *shard) undoDraftClose(d draft) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.closeUnresolved = d.closeUnresolvedBefore
}

// resolveWrite reads the head after a write whose outcome is unknown. It returns the
// head's version when the write took effect, errNotOwned when the store names
// another owner or epoch, and another error when the write did not take effect or the
// head can't be read.
func (s *shard) resolveWrite(ctx context.Context, d draft) (int64, error) {
	key := headKey(s.m.options.Pool, s.number)
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.m.options.Store.Get(readCtx, key)
	if err != nil {
		return 0, fault.Wrap(err, "read shard", key)
	}
	stored, err := decodeHead(object)
	if err != nil {
		return 0, err
	}
	if stored.head.Epoch != d.head.Epoch || peerFromWire(stored.head.Owner) != s.m.options.Self {
		s.cacheHead(stored)
		s.loseOwnership()
		s.m.log.Warn().Int("shard", s.number).Str("owner", stored.head.Owner.GetProcess()).Msg("once: another process took the shard over; waiting claims do not run here")
		return 0, errNotOwned
	}
	if stored.head.Sequence == d.head.Sequence {
		return stored.version, nil
	}
	s.mu.Lock()
	s.journal.version = stored.version
	s.mu.Unlock()
	return 0, fault.New("the write did not take effect", "write shard", key)
}

// draftHead builds the next head from the journal and returns the version that the
// stored head must have. It leaves out segments whose records are all older than the
// horizon. It increments the journal's sequence and, if closed is true, sets
// closeUnresolved. ok is false when the shard is not owned.
func (s *shard) draftHead(closed bool) (d draft, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return draft{}, 0, false
	}
	j := &s.journal
	j.sequence++
	d.closeUnresolvedBefore = j.closeUnresolved
	j.closeUnresolved = j.closeUnresolved || closed
	now := time.Now()
	d.recordCount = len(j.pending)
	d.claimCount = len(j.waitingClaims)
	for _, oldest := range j.segments {
		if now.Sub(oldest.newestRecordAt) < s.m.options.Horizon() {
			break
		}
		d.expiredSegments = append(d.expiredSegments, oldest)
	}
	d.head = &wirepb.OnceHead{
		Epoch:     s.epoch,
		Owner:     peerToWire(s.m.options.Self),
		Sequence:  j.sequence,
		Closed:    closed,
		Doubtful:  now.Before(s.doubtUntil),
		Witnesses: peersToWire(j.nextWitnesses(s.m.liveWitnesses())),
		Entries:   append(append([]*wirepb.OnceEntry(nil), j.tail...), j.pending...),
	}
	for _, retained := range j.segments[len(d.expiredSegments):] {
		d.head.Segments = append(d.head.Segments, retained.name)
	}
	return d, j.version, true
}

// moveTailToSegment writes the tail to a segment of its own when it is over the soft
// maximum and the limiter allows a further write. Over the hard maximum it waits for
// the limiter. If the write fails, the tail stays in the head. commitLock must be held.
func (s *shard) moveTailToSegment(ctx context.Context) {
	s.mu.Lock()
	overSoftMax, overHardMax := s.owned && s.journal.isTailOverSoftMax(), s.journal.tailBytes > hardMaxTailBytes
	s.mu.Unlock()
	if !overSoftMax || (!s.m.limiter.Allow() && (!overHardMax || s.m.limiter.Wait(ctx) != nil)) {
		return
	}
	s.mu.Lock()
	if !s.owned {
		s.mu.Unlock()
		return
	}
	s.journal.sequence++
	name := segmentName(s.epoch, s.journal.sequence)
	tail := s.journal.tail
	s.mu.Unlock()
	value, err := proto.Marshal(&wirepb.OnceSegment{Entries: tail})
	if err != nil {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.m.options.Store.Put(writeCtx, segmentKey(s.m.options.Pool, s.number, name), value, store.VersionAbsent)
	if err != nil {
		s.m.log.Debug().Err(err).Int("shard", s.number).Msg("once: writing a segment failed; its records stay in the head")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.segments = append(s.journal.segments, segment{name: name, version: version, newestRecordAt: time.Now()})
	s.journal.tail = nil
	s.journal.tailBytes = 0
}

// finishCommit applies a successful write to the journal and deletes the segments that
// the new head no longer names. After a closing write it ends ownership.
func (s *shard) finishCommit(ctx context.Context, d draft, version int64, closed bool) {
	s.mu.Lock()
	if !s.owned {
		s.mu.Unlock()
		return
	}
	s.journal.applyCommit(d, version)
	claimsPerCommit.Update(int64(d.claimCount))
	if closed {
		invariant.Check(s.journal.unjournaledClaims == 0, "once.closed_is_journaled", "%d claims", s.journal.unjournaledClaims)
		s.cachedHead = storedHead{head: d.head, version: version}
		s.cachedAt = time.Now()
		s.endOwnership()
	}
	s.mu.Unlock()
	for _, expired := range d.expiredSegments {
		s.deleteSegment(ctx, expired)
	}
}

// deleteSegment deletes an expired segment. If that fails, the next owner deletes it.
func (s *shard) deleteSegment(ctx context.Context, expired segment) {
	if s.m.limiter.Wait(ctx) != nil {
		return
	}
	deleteCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := segmentKey(s.m.options.Pool, s.number, expired.name)
	if err := s.m.options.Store.Delete(deleteCtx, key, expired.version); err != nil {
		s.m.log.Debug().Err(err).Str("key", key).Msg("once: deleting an expired segment failed; the next owner deletes it")
	}
}

// recordFailedCommit records that a write which started at startedAt failed, and
// returns the error of the commit. During an unjournaled period it lets the waiting
// claims run.
func (s *shard) recordFailedCommit(d draft, startedAt time.Time, err error) error {
	if errors.Is(err, errNotOwned) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return errNotOwned
	}
	s.journal.recordFailure(d, startedAt)
	if s.journal.mayRunUnjournaled() {
		s.grantUnjournaled()
	}
	return fault.Wrap(err, "write shard", headKey(s.m.options.Pool, s.number))
}
