package quota

import (
	"math"
	"slices"
	"time"
)

// storedReserve records the tokens that one holder has promised not to lend
// until a time. reservedTokens is nil before the first term and after the
// reserve was taken.
type storedReserve struct {
	slots          []SlotEpoch
	seq            uint64
	until          time.Time
	reservedTokens map[CustomerID]float64
}

// updateReserve applies a holder's reserve update. An update is ignored if its
// Seq is not newer, if its term has ended, or if it has a term and its slots are
// neither the stored ones nor newer (see epochSum). The reply contains a token
// reply if the update was kept. It contains this process's clock if the update
// has a term or is empty, because the holder states terms in this clock.
func (s *backupStore) updateReserve(update *ShareBackup) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := new(Reply)
	if update == nil {
		return reply
	}
	if update.Until.Incarnation != 0 || len(update.Shares) == 0 {
		reply.Clock = s.clock.read()
	}
	now := s.now()
	stored := s.reserveFor(update, now)
	if stored == nil {
		return reply
	}
	stored.seq = update.Seq
	for _, share := range update.Shares {
		stored.reservedTokens[share.Customer] = share.Level
	}
	reply.TokenReplies = []TokenReply{{}}
	return reply
}

// reserveFor returns the reserve that an update changes, with its term extended
// as the update requests, or nil if the update must be ignored. The caller
// holds s.mu.
func (s *backupStore) reserveFor(update *ShareBackup, now time.Time) *storedReserve {
	until := s.clock.time(update.Until)
	stored := s.reserves[update.Holder]
	if s.backups == nil {
		return nil
	}
	if until.IsZero() {
		if stored == nil || update.Seq <= stored.seq || len(update.Shares) == 0 || !now.Before(stored.until) {
			return nil
		}
		return stored
	}
	if stored == nil || epochSum(update.Slots) > epochSum(stored.slots) {
		stored = &storedReserve{slots: update.Slots}
		s.reserves[update.Holder] = stored
	}
	if update.Seq <= stored.seq || !slices.Equal(update.Slots, stored.slots) || !now.Before(until) {
		return nil
	}
	if !now.Before(stored.until) {
		// After the previous term the holder no longer counts on what it
		// reported before.
		stored.reservedTokens = make(map[CustomerID]float64)
	}
	if until.After(stored.until) {
		stored.until = until
	}
	return stored
}

// takeReserve returns what a holder reserved, once. Later updates of the same
// slot epochs are ignored. The caller holds s.mu.
func (s *backupStore) takeReserve(request *ShareBackup) *ShareBackup {
	stored := s.reserves[request.Holder]
	if stored == nil || stored.reservedTokens == nil || !s.now().Before(stored.until) || !areNextEpochs(request.Slots, stored.slots) {
		return nil
	}
	backup := &ShareBackup{Holder: request.Holder, Slots: stored.slots, Until: s.clock.instant(stored.until)}
	for customer, level := range stored.reservedTokens {
		if level > 0 {
			backup.Shares = append(backup.Shares, ShareState{Customer: customer, Level: level})
		}
	}
	stored.reservedTokens = nil
	stored.seq = math.MaxUint64
	return backup
}

// areNextEpochs reports whether slots are the previous slots, each one epoch
// later.
func areNextEpochs(slots, previous []SlotEpoch) bool {
	return slices.EqualFunc(slots, previous, func(a, b SlotEpoch) bool {
		return a.Index == b.Index && a.Epoch == b.Epoch+1
	})
}

// removeExpiredReserves removes reserves whose term ended more than backupTTL
// ago. The caller holds s.mu.
func (s *backupStore) removeExpiredReserves(now time.Time) {
	for holder, stored := range s.reserves {
		if now.Sub(stored.until) > backupTTL {
			delete(s.reserves, holder)
		}
	}
}

// slotEpochs returns the slot epochs of held slots.
func slotEpochs(held []HeldSlot) []SlotEpoch {
	var slots []SlotEpoch
	for _, slot := range held {
		slots = append(slots, slot.SlotEpoch)
	}
	return slots
}

// epochSum returns the sum of the epochs. For an unchanged set of slots it grows
// with each incarnation that acquires the slots again.
func epochSum(slots []SlotEpoch) uint64 {
	var sum uint64
	for _, slot := range slots {
		sum += slot.Epoch
	}
	return sum
}
