package lease

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/greengagegate/greengagegate/store"
)

// takeOwnSlots starts a new tenure of each slot that a previous incarnation at this
// address held. A slot that was reclaimed and not settled has to be confirmed by the
// witnesses again.
func (s *Slots) takeOwnSlots(ctx context.Context) {
	for _, record := range s.Known() {
		if record.Address != s.options.Address || record.Incarnation == s.incarnation {
			continue
		}
		if record.PreviousHolder == "" {
			s.takeSlot(ctx, record, false)
			continue
		}
		s.addPendingReclaim(record.Index)
		s.writeRecord(ctx, s.nextRecord(record))
	}
}

// takeFreeSlot takes at most one slot that has no record. The search starts at an
// index derived from the address, so that hosts rarely compete for a slot.
func (s *Slots) takeFreeSlot(ctx context.Context, count int) {
	start := int(hashText(s.options.Address) % uint64(count))
	for i := range count {
		index := (start + i) % count
		if !s.mayTakeFree(index) {
			continue
		}
		unused := s.storeOrCompareCount(ctx, count)
		if s.takeSlot(ctx, Record{Index: index, version: store.VersionAbsent}, unused) {
			return
		}
	}
}

// mayTakeFree reports whether a slot has no holder and this process may take it. A
// process without a slot may take it immediately, any other process only after the
// slot was free for ExtraAfter. It also updates freeSince.
func (s *Slots) mayTakeFree(index int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.known[index]; known {
		delete(s.freeSince, index)
		return false
	}
	now := s.options.Now()
	if s.freeSince[index].IsZero() {
		s.freeSince[index] = now
	}
	return len(s.held) == 0 || now.Sub(s.freeSince[index]) >= s.options.ExtraAfter
}

// storeOrCompareCount reports whether count is the number of slots that the fleet
// started with. The first caller in the fleet stores that number. Only with the
// original count is it certain that a slot without a record has never been used for a
// share of a limit.
func (s *Slots) storeOrCompareCount(ctx context.Context, count int) bool {
	value := []byte(strconv.Itoa(count))
	_, err := s.options.Store.Put(ctx, layoutKey, value, store.VersionAbsent)
	if err == nil {
		return true
	}
	object, err := s.options.Store.Get(ctx, layoutKey)
	return err == nil && string(object.Value) == string(value)
}

// takeSlot writes this process's record in place of previous by a conditional
// update. If that succeeds, it begins the tenure and returns true.
func (s *Slots) takeSlot(ctx context.Context, previous Record, unused bool) bool {
	next := s.nextRecord(previous)
	if !s.writeRecord(ctx, next) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginTenure(next, unused)
	return true
}

// beginTenure adds the tenure of a record to the held ones, unless it has already
// begun. It must be called with mu held.
func (s *Slots) beginTenure(record Record, unused bool) {
	tenure, held := s.held[record.Index]
	if held && tenure.Epoch == record.Epoch {
		return
	}
	s.held[record.Index] = Tenure{Index: record.Index, Epoch: record.Epoch, Since: s.options.Now(), Unused: unused}
	s.options.Log.Info().Int("slot", record.Index).Uint64("epoch", record.Epoch).Msg("lease: slot held")
}

// nextRecord returns the record of this process's tenure that follows previous.
func (s *Slots) nextRecord(previous Record) Record {
	return Record{
		Index: previous.Index, Address: s.options.Address, Incarnation: s.incarnation, Epoch: s.nextEpoch(previous),
		PreviousHolder: previous.PreviousHolder, EndedIncarnations: previous.EndedIncarnations, version: previous.version,
	}
}

// writeRecord replaces the stored record if its version is still record.version. It
// reports whether the write is known to have succeeded.
func (s *Slots) writeRecord(ctx context.Context, record Record) bool {
	value, err := json.Marshal(record)
	if err != nil {
		return false
	}
	version, err := s.options.Store.Put(ctx, slotPrefix+strconv.Itoa(record.Index), value, record.version)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		s.options.Log.Warn().Err(err).Int("slot", record.Index).Msg("lease: could not write the slot's record; a later round may try again")
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

// nextEpoch returns the epoch of this process's tenure that follows previous. A
// tenure that this process resumed without the store keeps its epoch.
func (s *Slots) nextEpoch(previous Record) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tenure, held := s.held[previous.Index]; held && tenure.Epoch > previous.Epoch {
		return tenure.Epoch
	}
	return max(previous.Epoch, s.witnessedEpochs[previous.Index]) + 1
}

// hasFreeSlot reports whether any slot has no holder.
func (s *Slots) hasFreeSlot(count int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range count {
		if _, known := s.known[index]; !known {
			return true
		}
	}
	return false
}
