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

// cacheHead caches a head that was read, unless a newer one is cached. Requests for a
// shard that this process does not serve find the owner there.
func (s *shard) cacheHead(stored storedHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored.version >= s.cachedHead.version {
		s.cachedHead = stored
		s.cachedAt = time.Now()
	}
}

// mayTakeOver reports whether this process may take a shard with this stored head: there
// is no head, it is closed, its owner is an earlier incarnation of this process, or the
// owner's host has been absent from the platform's list for Options.DropAfter.
func (m *Manager) mayTakeOver(stored storedHead) bool {
	if stored.head == nil || stored.head.Closed {
		return true
	}
	owner := peerFromWire(stored.head.Owner)
	if owner == m.options.Self {
		// An earlier takeover by this process took effect, but the store's reply was lost.
		return true
	}
	if owner.Process == m.options.Self.Process && owner.Address == m.options.Self.Address {
		return owner.Incarnation < m.options.Self.Incarnation
	}
	return m.absences.isAbsentFor(owner.Address, m.options.DropAfter)
}

// takeOver makes this process the owner of a shard with this stored head. It reads the
// journal and then writes a new head on condition that the stored head is unchanged.
// Hence the journal that was read is complete: the former owner can't add to it later.
// It returns errNotOwned when another process wrote the head first.
func (s *shard) takeOver(ctx context.Context, stored storedHead) error {
	next := &wirepb.OnceHead{Epoch: 1, Owner: peerToWire(s.m.options.Self), Sequence: 1}
	next.Witnesses = peersToWire(s.m.liveWitnesses())
	var inherited inheritedJournal
	if stored.head != nil {
		var err error
		if inherited, err = s.readSegments(ctx, stored.head); err != nil {
			return err
		}
		next.Epoch = stored.head.Epoch + 1
		next.Segments = stored.head.Segments
		next.Entries = stored.head.Entries
		next.Doubtful = s.isDoubtful(ctx, stored.head)
		inherited.records = append(inherited.records, stored.head.Entries...)
	}
	version, err := s.writeFirstHead(ctx, next, stored.version)
	if err != nil {
		return err
	}
	s.startServing(next, version, inherited)
	s.removeOrphans(ctx, inherited.orphans)
	return nil
}

// inheritedJournal is the journal that a shard's former owners have written.
type inheritedJournal struct {
	segments []segment
	// records are those of the segments and then of the head, oldest first.
	records []*wirepb.OnceEntry
	// orphans are stored segments that the head does not name: either the write of the
	// head that was to name them failed, or deleting them did.
	orphans []store.Object
}

// removeOrphans deletes orphans. If that fails, the next owner deletes them.
func (s *shard) removeOrphans(ctx context.Context, orphans []store.Object) {
	for _, orphan := range orphans {
		if err := s.m.options.Store.Delete(ctx, orphan.Key, orphan.Version); err != nil {
			return
		}
	}
}

// isDoubtful reports whether former owners may have run calls that the journal does not
// hold. It may ask the witnesses of the head.
func (s *shard) isDoubtful(ctx context.Context, head *wirepb.OnceHead) bool {
	if head.Doubtful {
		return true
	}
	if head.Closed || peerFromWire(head.Owner) == s.m.options.Self {
		// The owner of a closed head has journaled all its claims. A head of this
		// incarnation was written in a takeover whose reply was lost; this process has
		// served no request since.
		return false
	}
	return !s.m.allWitnessesRuleOutUnjournaled(ctx, peersFromWire(head.Witnesses), UnjournaledQuery{Shard: s.number, Epoch: head.Epoch})
}

// readSegments lists the shard's segments and returns those that head names, with
// their records, and the orphans. It fails when a segment is missing, which means that
// the shard has a newer head.
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
	var inherited inheritedJournal
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
		inherited.segments = append(inherited.segments, segment{name: name, version: object.Version, newestRecordAt: time.Now()})
		inherited.records = append(inherited.records, decoded.Entries...)
		delete(byKey, key)
	}
	for _, orphan := range byKey {
		inherited.orphans = append(inherited.orphans, orphan)
	}
	return inherited, nil
}

// writeFirstHead writes the first head of an epoch, if the stored head has the expected
// version, and returns the new version. If the outcome of the write is unknown, it
// reads the head. It returns errNotOwned when the stored head is another one.
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
	stored, getErr := decodeHead(object)
	if getErr != nil {
		return 0, getErr
	}
	s.cacheHead(stored)
	if stored.head.Epoch == next.Epoch && peerFromWire(stored.head.Owner) == s.m.options.Self {
		return stored.version, nil
	}
	return 0, errNotOwned
}

// startServing begins to serve the shard with the journal of its former owners. The
// keys of that journal are remembered for one horizon from now, because records hold
// no time.
func (s *shard) startServing(head *wirepb.OnceHead, version int64, inherited inheritedJournal) {
	now := time.Now()
	horizon := s.m.options.Horizon()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned = true
	s.closing = false
	s.ownershipEnded = make(chan struct{})
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
		segments:  inherited.segments,
		tail:      head.Entries,
		tailBytes: recordsSize(head.Entries),
		witnesses: peersFromWire(head.Witnesses),
	}
	for _, record := range inherited.records {
		s.loadRecord(record)
	}
	for id, loaded := range s.entries {
		s.expiries = append(s.expiries, expiry{id, loaded, now.Add(horizon)})
	}
	s.cachedHead = storedHead{head: head, version: version}
	s.cachedAt = now
	go s.commitLoop(s.m.ctx, s.ownershipEnded)
	s.m.log.Info().Int("shard", s.number).Uint64("epoch", s.epoch).Int("keys", len(s.entries)).
		Bool("doubtful", head.Doubtful).Msg("once: took the shard; serving its keys")
}

// loadRecord applies one journal record of a former owner to the table. A claim without
// an outcome becomes an entry whose outcome is lost. Malformed records are skipped. s.mu
// must be held.
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
