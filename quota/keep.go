package quota

import (
	"math"
	"slices"
	"time"
)

// keptReserve is what one holder promised not to lend.
type keptReserve struct {
	slots  []SlotEpoch
	seq    uint64
	until  time.Time
	levels map[CustomerID]float64
}

// reserve takes in a holder's note. The reply has an answer if the note is
// kept. To a note with a term, or an empty one, it tells the clock that terms
// refer to.
func (c *custody) reserve(note *ShareBackup) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := new(Reply)
	if note == nil {
		return reply
	}
	if note.Until.Incarnation != 0 || len(note.Shares) == 0 {
		reply.Clock = c.clock.read()
	}
	now := c.now()
	kept := c.keptFor(note, now)
	if kept == nil {
		return reply
	}
	kept.seq = note.Seq
	for _, state := range note.Shares {
		kept.levels[state.Customer] = state.Level
	}
	reply.TokenReplies = []TokenReply{{}}
	return reply
}

// keptFor returns what a note changes, with the note's term, or nil if it must
// not be taken.
func (c *custody) keptFor(note *ShareBackup, now time.Time) *keptReserve {
	until := c.clock.time(note.Until)
	kept := c.reserves[note.Holder]
	if c.backups == nil {
		return nil
	}
	if until.IsZero() {
		if kept == nil || note.Seq <= kept.seq || len(note.Shares) == 0 || !now.Before(kept.until) {
			return nil
		}
		return kept
	}
	if kept == nil || tenures(note.Slots) > tenures(kept.slots) {
		kept = &keptReserve{slots: note.Slots}
		c.reserves[note.Holder] = kept
	}
	if note.Seq <= kept.seq || !slices.Equal(note.Slots, kept.slots) || !now.Before(until) {
		return nil
	}
	if !now.Before(kept.until) {
		// The holder no longer counts on what it told before.
		kept.levels = make(map[CustomerID]float64)
	}
	if until.After(kept.until) {
		kept.until = until
	}
	return kept
}

// handOut returns what a holder reserved, once. No later note of the same
// tenures is taken.
func (c *custody) handOut(claim *ShareBackup) *ShareBackup {
	kept := c.reserves[claim.Holder]
	if kept == nil || kept.levels == nil || !c.now().Before(kept.until) || !follow(claim.Slots, kept.slots) {
		return nil
	}
	backup := &ShareBackup{Holder: claim.Holder, Slots: kept.slots, Until: c.clock.instant(kept.until)}
	for customer, level := range kept.levels {
		if level > 0 {
			backup.Shares = append(backup.Shares, ShareState{Customer: customer, Level: level})
		}
	}
	kept.levels = nil
	kept.seq = math.MaxUint64
	return backup
}

// follow reports whether tenures are those right after the former ones.
func follow(slots, former []SlotEpoch) bool {
	return slices.EqualFunc(slots, former, func(a, b SlotEpoch) bool {
		return a.Index == b.Index && a.Epoch == b.Epoch+1
	})
}

// forgetReserves drops what holders told long ago.
func (c *custody) forgetReserves(now time.Time) {
	for holder, kept := range c.reserves {
		if now.Sub(kept.until) > custodyTerm {
			delete(c.reserves, holder)
		}
	}
}

// tenuresOf returns the tenures of held slots.
func tenuresOf(held []HeldSlot) []SlotEpoch {
	var slots []SlotEpoch
	for _, slot := range held {
		slots = append(slots, slot.SlotEpoch)
	}
	return slots
}

// tenures grows with each life that takes up the slots again.
func tenures(slots []SlotEpoch) uint64 {
	var sum uint64
	for _, slot := range slots {
		sum += slot.Epoch
	}
	return sum
}
