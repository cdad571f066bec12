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

// note keeps what was read of a record, for requests that ask for the owner.
func (s *shard) note(found record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.version >= s.known.version {
		s.known = found
		s.knownAt = time.Now()
	}
}

// entitled reports whether this process may take the shard from the record's owner.
func (m *Manager) entitled(found record) bool {
	if found.head == nil || found.head.Closed {
		return true
	}
	owner := fromWire(found.head.Owner)
	if owner == m.options.Self {
		// An earlier attempt took effect while its answer was lost.
		return true
	}
	if owner.Process == m.options.Self.Process && owner.Address == m.options.Self.Address {
		return owner.Incarnation < m.options.Self.Incarnation
	}
	return m.hosts.dropped(owner.Address, m.options.DropAfter)
}

// take makes this process the owner, given the record that it read. The write of
// the record is conditional, so that the journal read is complete: the former
// owner can't add to it later. It returns errMoved when another was faster.
func (s *shard) take(ctx context.Context, found record) error {
	next := &wirepb.OnceHead{Epoch: 1, Owner: toWire(s.m.options.Self), Sequence: 1}
	next.Witnesses = peersToWire(s.m.witnesses())
	var read inherited
	if found.head != nil {
		var err error
		if read, err = s.readSegments(ctx, found.head); err != nil {
			return err
		}
		next.Epoch = found.head.Epoch + 1
		next.Segments = found.head.Segments
		next.Entries = found.head.Entries
		next.Doubtful = s.doubtful(ctx, found.head)
		read.entries = append(read.entries, found.head.Entries...)
	}
	version, err := s.writeTaken(ctx, next, found.version)
	if err != nil {
		return err
	}
	s.start(next, version, read)
	s.removeOrphans(ctx, read.orphans)
	return nil
}

// inherited is the journal of a shard's former owners.
type inherited struct {
	segments []segment
	entries  []*wirepb.OnceEntry
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

// doubtful reports whether calls may have run that the journal does not show.
func (s *shard) doubtful(ctx context.Context, head *wirepb.OnceHead) bool {
	if head.Doubtful {
		return true
	}
	if head.Closed || fromWire(head.Owner) == s.m.options.Self {
		return false
	}
	return !s.m.vouched(ctx, peersFromWire(head.Witnesses), UnjournaledQuery{Shard: s.number, Epoch: head.Epoch})
}

// readSegments returns the segments that head names, and their entries.
func (s *shard) readSegments(ctx context.Context, head *wirepb.OnceHead) (inherited, error) {
	prefix := segmentPrefix(s.m.options.Pool, s.number)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := s.m.options.Store.List(ctx, prefix)
	if err != nil {
		return inherited{}, fault.Wrap(err, "list segments", prefix)
	}
	byKey := make(map[string]store.Object, len(objects))
	for _, object := range objects {
		byKey[object.Key] = object
	}
	var read inherited
	for _, name := range head.Segments {
		key := segmentKey(s.m.options.Pool, s.number, name)
		object, ok := byKey[key]
		if !ok {
			return inherited{}, fault.New("segment is missing, the shard has changed", "read segment", key)
		}
		decoded := new(wirepb.OnceSegment)
		if err := proto.Unmarshal(object.Value, decoded); err != nil {
			return inherited{}, fault.Wrap(err, "decode segment", key)
		}
		read.segments = append(read.segments, segment{name: name, version: object.Version, newest: time.Now()})
		read.entries = append(read.entries, decoded.Entries...)
		delete(byKey, key)
	}
	for _, orphan := range byKey {
		read.orphans = append(read.orphans, orphan)
	}
	return read, nil
}

// writeTaken writes the first head of an epoch and returns its version.
func (s *shard) writeTaken(ctx context.Context, next *wirepb.OnceHead, expected int64) (int64, error) {
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
	s.note(found)
	if found.head.Epoch == next.Epoch && fromWire(found.head.Owner) == s.m.options.Self {
		return found.version, nil
	}
	return 0, errMoved
}

// start begins to serve the shard with the journal of its former owners.
func (s *shard) start(head *wirepb.OnceHead, version int64, read inherited) {
	now := time.Now()
	horizon := s.m.options.Horizon()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned = true
	s.closing = false
	s.released = make(chan struct{})
	s.epoch = head.Epoch
	s.active = 0
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
		tailBytes: sizeOf(head.Entries),
		witnesses: peersFromWire(head.Witnesses),
	}
	for _, record := range read.entries {
		s.load(record)
	}
	for id, loaded := range s.entries {
		s.expiries = append(s.expiries, expiry{id, loaded, now.Add(horizon)})
	}
	s.known = record{head: head, version: version}
	s.knownAt = now
	go s.commitLoop(s.m.ctx, s.released)
	s.m.log.Info().Int("shard", s.number).Uint64("epoch", s.epoch).Int("keys", len(s.entries)).
		Bool("doubtful", head.Doubtful).Msg("once: shard taken")
}

// load enters one journal entry of a former owner; s.mu is held.
func (s *shard) load(record *wirepb.OnceEntry) {
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
	loaded := &entry{id: id, digest: Digest(record.Digest), epoch: s.epoch, phase: phaseLost, journaled: true}
	if record.Kind == wirepb.OnceEntryKind_ONCE_OUTCOME {
		loaded.phase = phaseDone
		loaded.kept = record.AnswerKept
		loaded.answer = record.Answer
	}
	s.entries[id] = loaded
}
