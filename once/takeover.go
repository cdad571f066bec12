package once

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"google.golang.org/protobuf/proto"
)

// cacheHead keeps what was read of a record, for requests that ask for the owner.
func (s *shard) cacheHead(found storedHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.version >= s.cachedHead.version {
		s.cachedHead = found
		s.cachedAt = time.Now()
	}
}

// mayTakeOver reports whether this process may take the shard from the record's owner.
func (m *Manager) mayTakeOver(found storedHead) bool {
	if found.head == nil || found.head.Closed {
		return true
	}
	owner := peerFromWire(found.head.Owner)
	if owner == m.options.Self {
		// An earlier attempt took effect while its answer was lost.
		return true
	}
	if owner.Process == m.options.Self.Process && owner.Address == m.options.Self.Address {
		return owner.Incarnation < m.options.Self.Incarnation
	}
	return m.absences.isAbsentFor(owner.Address, m.options.DropAfter)
}

// takeOver makes this process the owner, given the record that it read. The write of
// the record is conditional, so that the journal read is complete: the former
// owner can't add to it later. It returns errMoved when another was faster.
func (s *shard) takeOver(ctx context.Context, found storedHead) error {
	next := &wirepb.OnceHead{Epoch: 1, Owner: peerToWire(s.m.options.Self), Sequence: 1}
	next.Witnesses = peersToWire(s.m.liveWitnesses())
	var read inheritedJournal
	if found.head != nil {
		var err error
		if read, err = s.readSegments(ctx, found.head); err != nil {
			return err
		}
		next.Epoch = found.head.Epoch + 1
		next.Segments = found.head.Segments
		next.Entries = found.head.Entries
		next.Doubtful = s.isDoubtful(ctx, found.head)
		read.records = append(read.records, found.head.Entries...)
	}
	version, err := s.writeFirstHead(ctx, next, found.version)
	if err != nil {
		return err
	}
	s.startServing(next, version, read)
	s.removeOrphans(ctx, read.orphans)
	return nil
}

// inheritedJournal is the journal of a shard's former owners.
type inheritedJournal struct {
	segments []segment
	records  []*wirepb.OnceEntry
	// orphans are segments that no head names, left from writes that failed.
	orphans []store.Object
}

// removeOrphans deletes orphans. A failure leaves them to the next owner.
func (s *shard) removeOrphans(ctx context.Context, orphans []store.Object) {
	for _, orphan := range orphans {
		if err := s.m.options.Store.Delete(ctx, orphan.Key, orphan.Version); err != nil {
			return
		}
	}
}

// isDoubtful reports whether calls may have run that the journal does not show.
func (s *shard) isDoubtful(ctx context.Context, head *wirepb.OnceHead) bool {
	if head.Doubtful {
		return true
	}
	if head.Closed || peerFromWire(head.Owner) == s.m.options.Self {
		return false
	}
	return !s.m.allWitnessesVouch(ctx, peersFromWire(head.Witnesses), UnjournaledQuery{Shard: s.number, Epoch: head.Epoch})
}

// readSegments returns the segments that head names, and their entries.
func (s *shard) readSegments(ctx context.Context, head *wirepb.OnceHead) (inheritedJournal, error) {
	prefix := segmentPrefix(s.m.options.Pool, s.number)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := s.m.options.Store.List(ctx, prefix)
	if err != nil {
		return inheritedJournal{}, fault.Wrap(err, "list segments", prefix)
	}
	byKey := make(map[string]store.Object, len(objects))
	for _, object := range objects {
		byKey[object.Key] = object
	}
	var read inheritedJournal
	for _, name := range head.Segments {
		key := segmentKey(s.m.options.Pool, s.number, name)
		object, ok := byKey[key]
		if !ok {
			return inheritedJournal{}, fault.New("segment is missing, the shard has changed", "read segment", key)
		}
		decoded := new(wirepb.OnceSegment)
		if err := proto.Unmarshal(object.Value, decoded); err != nil {
			return inheritedJournal{}, fault.Wrap(err, "decode segment", key)
		}
		read.segments = append(read.segments, segment{name: name, version: object.Version, newestRecordAt: time.Now()})
		read.records = append(read.records, decoded.Entries...)
		delete(byKey, key)
	}
	for _, orphan := range byKey {
		read.orphans = append(read.orphans, orphan)
	}
	return read, nil
}

// writeFirstHead writes the first head of an epoch and returns its version.
func (s *shard) writeFirstHead(ctx context.Context, next *wirepb.OnceHead, expected int64) (int64, error) {
	key := headKey(s.m.options.Pool, s.number)
	value, err := proto.Marshal(next)
	if err != nil {
		return 0, fault.Wrap(err, "encode shard", key)
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.m.options.Store.Put(writeCtx, key, value, expected)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, store.ErrUnavailable) {
		return 0, fault.Wrap(err, "take shard", key)
	}
	object, getErr := s.m.options.Store.Get(writeCtx, key)
	if getErr != nil {
		return 0, fault.Wrap(errors.Join(err, getErr), "take shard", key)
	}
	found, getErr := decodeHead(object)
	if getErr != nil {
		return 0, getErr
	}
	s.cacheHead(found)
	if found.head.Epoch == next.Epoch && peerFromWire(found.head.Owner) == s.m.options.Self {
		return found.version, nil
	}
	return 0, errOwnerChanged
}

// startServing begins to serve the shard with the journal of its former owners.
func (s *shard) startServing(head *wirepb.OnceHead, version int64, read inheritedJournal) {
	now := time.Now()
	horizon := s.m.options.Horizon()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned = true
	s.closing = false
	s.released = make(chan struct{})
	s.epoch = head.Epoch
	s.activeClaims = 0
	s.entries = make(map[ID]*entry)
	s.expiries = nil
	s.doubtUntil = time.Time{}
	if head.Doubtful {
		s.doubtUntil = now.Add(horizon)
	}
	s.journal = journal{
		version:   version,
		sequence:  head.Sequence,
		segments:  read.segments,
		tail:      head.Entries,
		tailBytes: recordsSize(head.Entries),
		witnesses: peersFromWire(head.Witnesses),
	}
	for _, record := range read.records {
		s.loadRecord(record)
	}
	for id, loaded := range s.entries {
		s.expiries = append(s.expiries, expiry{id, loaded, now.Add(horizon)})
	}
	s.cachedHead = storedHead{head: head, version: version}
	s.cachedAt = now
	go s.commitLoop(s.m.ctx, s.released)
	s.m.log.Info().Int("shard", s.number).Uint64("epoch", s.epoch).Int("keys", len(s.entries)).
		Bool("doubtful", head.Doubtful).Msg("once: shard taken")
}

// loadRecord enters one journal entry of a former owner; s.mu is held.
func (s *shard) loadRecord(record *wirepb.OnceEntry) {
	if len(record.Id) != idBytes {
		return
	}
	id := ID(record.Id)
	if record.Kind == wirepb.OnceEntryKind_ONCE_RELEASE {
		delete(s.entries, id)
		return
	}
	if len(record.Digest) != digestBytes {
		return
	}
	loaded := &entry{id: id, digest: Digest(record.Digest), epoch: s.epoch, phase: phaseOutcomeLost, journaled: true}
	if record.Kind == wirepb.OnceEntryKind_ONCE_OUTCOME {
		loaded.phase = phaseDone
		loaded.hasAnswer = record.AnswerKept
		loaded.answer = record.Answer
	}
	s.entries[id] = loaded
}
