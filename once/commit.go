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

// errOwnerChanged reports that the store names another owner or epoch.
var errOwnerChanged = errors.New("shard has another owner")

// commitLoop writes the journal until the shard is released or ctx ends. One
// write carries all claims that have gathered since the last.
func (s *shard) commitLoop(ctx context.Context, released <-chan struct{}) {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.commitRequests:
		case <-ticker.C:
			s.evictExpired(time.Now())
			s.reportPeriodEnd(ctx)
		case <-released:
			return
		case <-ctx.Done():
			return
		}
		if s.isCommitDue() {
			s.flush(ctx, released)
		}
	}
}

func (s *shard) isCommitDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned && s.journal.isWriteDue(time.Now())
}

// flush writes until a write succeeds or the shard is released.
func (s *shard) flush(ctx context.Context, released <-chan struct{}) {
	for {
		err := s.commit(ctx, false)
		if err == nil || errors.Is(err, errOwnerChanged) || ctx.Err() != nil {
			return
		}
		s.allowUnjournaled(ctx)
		pause := time.NewTimer(commitRetryInterval/2 + rand.N(commitRetryInterval))
		select {
		case <-pause.C:
		case <-released:
			pause.Stop()
			return
		case <-ctx.Done():
			pause.Stop()
			return
		}
	}
}

// commit writes the head once with all pending entries. With closed set it gives
// the shard up. After an error other than errMoved it may be called again.
func (s *shard) commit(ctx context.Context, closed bool) error {
	if err := s.commitLock.acquire(ctx); err != nil {
		return err
	}
	defer s.commitLock.release()
	if err := s.m.limiter.Wait(ctx); err != nil {
		return err
	}
	begun := time.Now()
	s.moveTailToSegment(ctx)
	d, version, ok := s.draftHead(closed)
	if !ok {
		return errOwnerChanged
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
		return s.recordFailedCommit(d, begun, err)
	}
	s.finishCommit(ctx, d, version, closed)
	return nil
}

// undoDraftClose takes back what a draft assumed of a write that changed nothing.
func (s *shard) undoDraftClose(d draft) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.closeUnresolved = d.closeUnresolvedBefore
}

// resolveWrite reads the head after a write whose outcome is open. It returns the
// version when the write took effect, errMoved when another owner is recorded.
func (s *shard) resolveWrite(ctx context.Context, d draft) (int64, error) {
	key := headKey(s.m.options.Pool, s.number)
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.m.options.Store.Get(readCtx, key)
	if err != nil {
		return 0, fault.Wrap(err, "read shard", key)
	}
	found, err := decodeHead(object)
	if err != nil {
		return 0, err
	}
	if found.head.Epoch != d.head.Epoch || peerFromWire(found.head.Owner) != s.m.options.Self {
		s.cacheHead(found)
		s.loseOwnership()
		s.m.log.Warn().Int("shard", s.number).Str("owner", found.head.Owner.GetProcess()).Msg("once: shard was taken over")
		return 0, errOwnerChanged
	}
	if found.head.Sequence == d.head.Sequence {
		return found.version, nil
	}
	s.mu.Lock()
	s.journal.version = found.version
	s.mu.Unlock()
	return 0, fault.New("the write did not take effect", "write shard", key)
}

// draftHead builds the next head from the journal; ok is false once the shard is not owned.
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
	for _, old := range j.segments {
		if now.Sub(old.newestRecordAt) < s.m.options.Horizon() {
			break
		}
		d.expiredSegments = append(d.expiredSegments, old)
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
	for _, kept := range j.segments[len(d.expiredSegments):] {
		d.head.Segments = append(d.head.Segments, kept.name)
	}
	return d, j.version, true
}

// moveTailToSegment moves a long tail to a segment of its own, when the budget has a write to
// spare or the tail is very long. When that fails the tail stays.
func (s *shard) moveTailToSegment(ctx context.Context) {
	s.mu.Lock()
	tooLong, veryLong := s.owned && s.journal.isTailOverSoftMax(), s.journal.tailBytes > hardMaxTailBytes
	s.mu.Unlock()
	if !tooLong || (!s.m.limiter.Allow() && (!veryLong || s.m.limiter.Wait(ctx) != nil)) {
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
		s.m.log.Debug().Err(err).Int("shard", s.number).Msg("once: segment not written")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.segments = append(s.journal.segments, segment{name: name, version: version, newestRecordAt: time.Now()})
	s.journal.tail = nil
	s.journal.tailBytes = 0
}

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
	for _, old := range d.expiredSegments {
		s.deleteSegment(ctx, old)
	}
}

// deleteSegment deletes an expired segment. A failure leaves it to the next owner.
func (s *shard) deleteSegment(ctx context.Context, old segment) {
	if s.m.limiter.Wait(ctx) != nil {
		return
	}
	deleteCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := segmentKey(s.m.options.Pool, s.number, old.name)
	if err := s.m.options.Store.Delete(deleteCtx, key, old.version); err != nil {
		s.m.log.Debug().Err(err).Str("key", key).Msg("once: segment not deleted")
	}
}

func (s *shard) recordFailedCommit(d draft, begun time.Time, err error) error {
	if errors.Is(err, errOwnerChanged) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return errOwnerChanged
	}
	s.journal.recordFailure(d, begun)
	if s.journal.mayRunUnjournaled() {
		s.grantUnjournaled()
	}
	return fault.Wrap(err, "write shard", headKey(s.m.options.Pool, s.number))
}
