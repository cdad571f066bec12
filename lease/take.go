package lease

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/greengagegate/greengagegate/store"
)

// takeOwn starts a new tenure of each slot that belongs to this address's former
// life. One that was reclaimed waits for the witnesses again.
func (s *Slots) takeOwn(ctx context.Context) {
	for _, record := range s.Known() {
		if record.Address != s.options.Address || record.Incarnation == s.life {
			continue
		}
		if record.PreviousHolder == "" {
			s.take(ctx, record, false)
			continue
		}
		s.markReclaimed(record.Index)
		s.put(ctx, s.successor(record))
	}
}

// takeFree takes one slot that nobody ever held.
func (s *Slots) takeFree(ctx context.Context, count int) {
	start := int(hash(s.options.Address) % uint64(count))
	for i := range count {
		index := (start + i) % count
		if !s.mayTakeFree(index) {
			continue
		}
		unused := s.original(ctx, count)
		if s.take(ctx, Record{Index: index, version: store.VersionAbsent}, unused) {
			return
		}
	}
}

// mayTakeFree reports whether a slot has no holder and this process may take it:
// at once if it has none, later if it has one already.
func (s *Slots) mayTakeFree(index int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.known[index]; known {
		delete(s.free, index)
		return false
	}
	now := s.options.Now()
	if s.free[index].IsZero() {
		s.free[index] = now
	}
	return len(s.held) == 0 || now.Sub(s.free[index]) >= s.options.ExtraAfter
}

// original reports whether the number of slots is the one that the fleet began
// with. Only then can a slot without a record never have been part of a share.
func (s *Slots) original(ctx context.Context, count int) bool {
	value := []byte(strconv.Itoa(count))
	_, err := s.options.Store.Put(ctx, layoutKey, value, store.VersionAbsent)
	if err == nil {
		return true
	}
	object, err := s.options.Store.Get(ctx, layoutKey)
	return err == nil && string(object.Value) == string(value)
}

// take begins a tenure by conditional update. It reports whether the slot is held.
func (s *Slots) take(ctx context.Context, former Record, unused bool) bool {
	next := s.successor(former)
	if !s.put(ctx, next) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold(next, unused)
	return true
}

// hold begins a tenure, unless it has begun; s.mu is held.
func (s *Slots) hold(record Record, unused bool) {
	tenure, held := s.held[record.Index]
	if held && tenure.Epoch == record.Epoch {
		return
	}
	s.held[record.Index] = Tenure{Index: record.Index, Epoch: record.Epoch, Since: s.options.Now(), Unused: unused}
	s.options.Log.Info().Int("slot", record.Index).Uint64("epoch", record.Epoch).Msg("lease: slot held")
}

// successor returns the record of this process's tenure after former.
func (s *Slots) successor(former Record) Record {
	return Record{
		Index: former.Index, Address: s.options.Address, Incarnation: s.life, Epoch: s.nextEpoch(former),
		PreviousHolder: former.PreviousHolder, EndedIncarnations: former.EndedIncarnations, version: former.version,
	}
}

// put writes a record in place of the version that it was made from.
func (s *Slots) put(ctx context.Context, record Record) bool {
	value, err := json.Marshal(record)
	if err != nil {
		return false
	}
	version, err := s.options.Store.Put(ctx, slotPrefix+strconv.Itoa(record.Index), value, record.version)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		s.options.Log.Warn().Err(err).Int("slot", record.Index).Msg("lease: slot not written")
	}
	if err != nil {
		return false
	}
	record.version = version
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[record.Index] = record
	return true
}

// nextEpoch returns the epoch of the tenure after former. A tenure that was
// resumed without the store keeps its own.
func (s *Slots) nextEpoch(former Record) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tenure, held := s.held[former.Index]; held && tenure.Epoch > former.Epoch {
		return tenure.Epoch
	}
	return max(former.Epoch, s.witnessed[former.Index]) + 1
}

// hasFree reports whether a slot has no holder.
func (s *Slots) hasFree(count int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range count {
		if _, known := s.known[index]; !known {
			return true
		}
	}
	return false
}
