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

// errMoved reports that the store names another owner or epoch.
var errMoved = errors.New("shard has another owner")

// commitLoop writes the journal until the shard is released or ctx ends. One
// write carries all claims that have gathered since the last.
func (s *shard) commitLoop(ctx context.Context, released <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.kick:
		case <-ticker.C:
			s.sweep(time.Now())
			s.endPeriod(ctx)
		case <-released:
			return
		case <-ctx.Done():
			return
		}
		if s.due() {
			s.flush(ctx, released)
		}
	}
}

func (s *shard) due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned && s.journal.due(time.Now())
}

// flush writes until a write succeeds or the shard is released.
func (s *shard) flush(ctx context.Context, released <-chan struct{}) {
	for {
		err := s.commit(ctx, false)
		if err == nil || errors.Is(err, errMoved) || ctx.Err() != nil {
			return
		}
		s.expose(ctx)
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
	s.roll(ctx)
	d, version, ok := s.draft(closed)
	if !ok {
		return errMoved
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
		s.undoClose(d)
	case err != nil:
		version, err = s.settle(ctx, d)
	}
	if err != nil {
		return s.failed(d, begun, err)
	}
	s.written(ctx, d, version, closed)
	return nil
}

// undoClose takes back what a draft assumed of a write that changed nothing.
func (s *shard) undoClose(d draft) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.closeOpen = d.closeOpenBefore
}

// settle reads the head after a write whose outcome is open. It returns the
// version when the write took effect, errMoved when another owner is recorded.
func (s *shard) settle(ctx context.Context, d draft) (int64, error) {
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
	if found.head.Epoch != d.head.Epoch || fromWire(found.head.Owner) != s.m.options.Self {
		s.note(found)
		s.lost()
		s.m.log.Warn().Int("shard", s.number).Str("owner", found.head.Owner.GetProcess()).Msg("once: shard was taken over")
		return 0, errMoved
	}
	if found.head.Sequence == d.head.Sequence {
		return found.version, nil
	}
	s.mu.Lock()
	s.journal.version = found.version
	s.mu.Unlock()
	return 0, fault.New("the write did not take effect", "write shard", key)
}

// draft builds the next head from the journal; ok is false once the shard is not owned.
func (s *shard) draft(closed bool) (d draft, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return draft{}, 0, false
	}
	j := &s.journal
	j.sequence++
	d.closeOpenBefore = j.closeOpen
	j.closeOpen = j.closeOpen || closed
	now := time.Now()
	d.entries = len(j.pending)
	d.claims = len(j.waiting)
	for _, old := range j.segments {
		if now.Sub(old.newest) < s.m.options.Horizon() {
			break
		}
		d.expired = append(d.expired, old)
	}
	d.head = &wirepb.OnceHead{
		Epoch:     s.epoch,
		Owner:     toWire(s.m.options.Self),
		Sequence:  j.sequence,
		Closed:    closed,
		Doubtful:  now.Before(s.doubtUntil),
		Witnesses: peersToWire(j.nextWitnesses(s.m.witnesses())),
		Entries:   append(append([]*wirepb.OnceEntry(nil), j.tail...), j.pending...),
	}
	for _, kept := range j.segments[len(d.expired):] {
		d.head.Segments = append(d.head.Segments, kept.name)
	}
	return d, j.version, true
}

// roll moves a long tail to a segment of its own, when the budget has a write to
// spare or the tail is very long. When that fails the tail stays.
func (s *shard) roll(ctx context.Context) {
	s.mu.Lock()
	tooLong, veryLong := s.owned && s.journal.tooLong(), s.journal.tailBytes > maxTailBytes
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
	s.journal.segments = append(s.journal.segments, segment{name: name, version: version, newest: time.Now()})
	s.journal.tail = nil
	s.journal.tailBytes = 0
}

func (s *shard) written(ctx context.Context, d draft, version int64, closed bool) {
	s.mu.Lock()
	if !s.owned {
		s.mu.Unlock()
		return
	}
	s.journal.written(d, version)
	commitSize.Update(int64(d.claims))
	if closed {
		invariant.Check(s.journal.exposed == 0, "once.closed_is_journaled", "%d claims", s.journal.exposed)
		s.known = record{head: d.head, version: version}
		s.knownAt = time.Now()
		s.end()
	}
	s.mu.Unlock()
	for _, old := range d.expired {
		s.remove(ctx, old)
	}
}

// remove deletes an expired segment. A failure leaves it to the next owner.
func (s *shard) remove(ctx context.Context, old segment) {
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

func (s *shard) failed(d draft, begun time.Time, err error) error {
	if errors.Is(err, errMoved) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return errMoved
	}
	s.journal.failed(d, begun)
	if s.journal.mayRunUnjournaled() {
		s.grantUnjournaled()
	}
	return fault.Wrap(err, "write shard", headKey(s.m.options.Pool, s.number))
}
