package quota

import (
	"context"
	"slices"
	"time"
)

const (
	// reserveTerm is how long a keeper may hand out reserved tokens after the
	// last note with a term, and so how long they rest when the keeper is gone.
	reserveTerm = 4 * time.Second
	// noteInterval is how often shares are compared with what is reserved of them.
	noteInterval = 500 * time.Millisecond
	// noteTimeout bounds a note. Two of them fit in loanCallTimeout, since an ask
	// for reserved tokens may wait for the note under way and then for its own.
	noteTimeout = 100 * time.Millisecond
	// shortMemory is how long tokens that were asked for in vain are left unreserved.
	shortMemory = time.Second
	// workingTime of the customer's rate stays unreserved. A note follows when
	// none is left of it, or mostWorking.
	workingTime = 200 * time.Millisecond
	mostWorking = 600 * time.Millisecond
	// restingPart of a share stays unreserved when few asks arrive.
	restingPart = 0.5
)

// keeper is the peer that knows how many tokens this holder promised not to lend.
type keeper struct {
	address string
	anchor  anchor
	seq     uint64
	slots   []SlotEpoch
	// boundUntil is when the keeper has forgotten all notes at the latest.
	boundUntil time.Time
	// silent is set while the keeper does not answer.
	silent bool
	// ending is set when the notes may no longer be renewed.
	ending bool
}

// reserved returns the tokens of a share that must not be lent now.
func (l *lender) reserved(s *share, now time.Time) float64 {
	if !now.Before(l.keeper.boundUntil) {
		return 0
	}
	return s.reserved
}

// release ends the promise to the present keeper.
func (l *lender) release() {
	for _, s := range l.shares {
		s.reserved, s.noted = 0, 0
	}
	l.keeper.boundUntil = time.Time{}
}

// working is how much of a share is left unreserved for so much time of demand.
func (s *share) working(now time.Time, length time.Duration) float64 {
	keep := MaxShares * s.limit.Rate * length.Seconds()
	if s.asked.rate(now) < reportAsks {
		keep = max(keep, restingPart*s.limit.Burst*length.Seconds()/workingTime.Seconds())
	}
	if now.Sub(s.shortAt) < shortMemory {
		keep += s.shortOf
	}
	return keep
}

// target is what should be reserved of a share.
func (s *share) target(now time.Time) float64 {
	return max(0, s.lendable(now)-s.unknown-s.working(now, workingTime))
}

// noteDue reports whether the keeper should learn of another target.
func (s *share) noteDue(now time.Time, target float64) bool {
	if s.reserved != s.noted {
		return true
	}
	if target == s.noted {
		return false
	}
	left := s.lendable(now) - s.noted
	if target < s.noted {
		return left < s.working(now, 0)
	}
	return left > s.working(now, mostWorking)
}

// draftNote prepares a note to the keeper, or returns nil when there is nothing to tell.
func (l *lender) draftNote(choose func(former string) string) (string, *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || !l.config.Fresh() || len(held) == 0 || l.anyUnknown(held, now) {
		return "", nil
	}
	k := &l.keeper
	lapsed := !now.Before(k.boundUntil)
	if k.address == "" || lapsed && (k.silent || k.ending) {
		l.release()
		*k = keeper{address: choose(k.address), seq: k.seq}
	}
	if k.address == "" || k.ending {
		return "", nil
	}
	k.seq++
	note := &ShareBackup{Holder: l.address, Seq: k.seq}
	if k.silent || k.anchor.peer.Incarnation == 0 {
		return k.address, note
	}
	note.Shares = l.reserve(now, held)
	k.renew(now, note, tenuresOf(held))
	if note.Until.Incarnation == 0 && len(note.Shares) == 0 || len(note.Shares) == 0 && l.nothingReserved() {
		return "", nil
	}
	return k.address, note
}

// renew adds to a note the tenures and a new term, when half of the term is over
// or the tenures have changed.
func (k *keeper) renew(now time.Time, note *ShareBackup, slots []SlotEpoch) {
	if k.boundUntil.Sub(now) > reserveTerm/2 && slices.Equal(slots, k.slots) {
		return
	}
	k.slots = slots
	note.Slots = slots
	note.Until = k.anchor.instant(now.Add(reserveTerm))
	k.boundUntil = now.Add(reserveTerm + time.Duration(float64(reserveTerm)*driftAllowance))
}

// reserve chooses the shares whose reserve changes. Until the keeper has
// confirmed a note, the larger reserve is in force.
func (l *lender) reserve(now time.Time, held []HeldSlot) []ShareState {
	if !now.Before(l.keeper.boundUntil) {
		l.release()
	}
	var changed []ShareState
	for customer := range l.touched {
		s := l.share(now, customer, held)
		target := s.target(now)
		if !s.noteDue(now, target) {
			if s.deficit(now) < 1 {
				delete(l.touched, customer)
			}
			continue
		}
		s.reserved = max(s.reserved, target)
		changed = append(changed, ShareState{Customer: customer, Level: target})
	}
	return changed
}

func (l *lender) nothingReserved() bool {
	for _, s := range l.shares {
		if s.reserved > 0 {
			return false
		}
	}
	return true
}

// noted takes in the keeper's reply to a note, or nil if there was none.
func (l *lender) noted(note *ShareBackup, reply *Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &l.keeper
	if reply == nil || reply.Clock.Incarnation == 0 && len(reply.TokenReplies) == 0 {
		k.silent = true
		return
	}
	k.silent = false
	if reply.Clock.Incarnation != 0 {
		l.hear(reply.Clock)
	}
	if len(reply.TokenReplies) == 0 {
		k.ending = note.Until.Incarnation != 0
		return
	}
	for _, state := range note.Shares {
		if s := l.shares[state.Customer]; s != nil {
			s.reserved, s.noted = state.Level, state.Level
		}
	}
}

// hear relates the keeper's clock to this one. A keeper of another life has
// nothing of what its former life was told.
func (l *lender) hear(clock Instant) {
	former := l.keeper.anchor.peer.Incarnation
	if former != 0 && former != clock.Incarnation {
		l.release()
	}
	l.keeper.anchor = anchor{at: l.now(), peer: clock}
}

// note tells the keeper what has changed.
func (m *Manager) note(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	select {
	case m.noting <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.noting }()
	m.noteNow(context.WithoutCancel(ctx))
}

func (m *Manager) noteNow(ctx context.Context) {
	address, note := m.lender.draftNote(m.chooseKeeper)
	if note == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	reply, err := m.call(ctx, address, &Request{Tier: TierReserve, ShareBackup: note})
	if err != nil {
		reply = nil
	}
	m.lender.noted(note, reply)
}

// makeRoom lowers reserves first if a request asks for reserved tokens.
func (m *Manager) makeRoom(ctx context.Context, request *Request) {
	if m.lender.wantsReserved(request) {
		m.note(ctx)
	}
}

// wantsReserved reports whether a request asks for reserved tokens that the
// keeper may release, and remembers how many.
func (l *lender) wantsReserved(request *Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	wants := false
	for _, ask := range request.TokenRequests {
		s := l.shares[ask.Customer]
		if s == nil || ask.Want == 0 || s.reserved == 0 {
			continue
		}
		s = l.share(now, ask.Customer, held)
		if s.lendable(now)-l.reserved(s, now) < float64(ask.Want) {
			s.shortOf, s.shortAt = float64(ask.Want), now
			l.touched[ask.Customer] = struct{}{}
			wants = true
		}
	}
	return wants && !l.closed && !l.keeper.silent && !l.keeper.ending
}

// chooseKeeper returns a router of the region, another one than the former if there is.
func (m *Manager) chooseKeeper(former string) string {
	best, bestScore := "", uint64(0)
	for _, router := range m.options.Directory.Routers() {
		if router.Address == m.options.Address || router.Region != m.options.Region {
			continue
		}
		score := poolScore(0, m.options.Address+router.Address)
		if router.Address == former {
			score = 0
		}
		if best == "" || score > bestScore {
			best, bestScore = router.Address, score
		}
	}
	return best
}

// restore takes over what the former life reserved, once a tenure. What is not
// reserved may still be out on loan.
func (l *lender) restore(note *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || len(held) == 0 || !l.follows(note, held, now) || l.hasRestored(held) {
		return
	}
	l.restoredUntil = held[0].Since.Add(l.term)
	for _, slot := range held {
		l.restored[slot.Index] = slot.Epoch
		if end := slot.Since.Add(l.term); end.Before(l.restoredUntil) {
			l.restoredUntil = end
		}
	}
	for _, state := range note.Shares {
		if _, ok := l.config.Limit(state.Customer); !ok {
			continue
		}
		s := l.share(now, state.Customer, held)
		s.restored = min(state.Level, s.unknown)
		s.unknown -= s.restored
		s.level = max(0, min(s.level+s.restored, s.room(now)))
		s.deficits.record(now, s.deficit(now))
	}
}

// hasRestored reports whether a held slot's reserve has been taken over in this tenure.
func (l *lender) hasRestored(held []HeldSlot) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.restored[slot.Index] == slot.Epoch })
}

// anyUnknown reports whether a former life's loans are still unknown.
func (l *lender) anyUnknown(held []HeldSlot, now time.Time) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.unknown(slot, now) })
}
