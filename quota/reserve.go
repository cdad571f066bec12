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
	reserveUpdateInterval = 500 * time.Millisecond
	// noteTimeout bounds a note. Two of them fit in loanCallTimeout, since an ask
	// for reserved tokens may wait for the note under way and then for its own.
	reserveUpdateTimeout = 100 * time.Millisecond
	// shortMemory is how long tokens that were asked for in vain are left unreserved.
	shortageTTL = time.Second
	// workingTime of the customer's rate stays unreserved. A note follows when
	// none is left of it, or mostWorking.
	targetUnreservedTime = 200 * time.Millisecond
	maxUnreservedTime    = 600 * time.Millisecond
	// restingPart of a share stays unreserved when few asks arrive.
	infrequentUnreservedFraction = 0.5
)

// keeper is the peer that knows how many tokens this holder promised not to lend.
type reservePeer struct {
	address string
	anchor  anchor
	seq     uint64
	slots   []SlotEpoch
	// boundUntil is when the keeper has forgotten all notes at the latest.
	validUntil time.Time
	// silent is set while the keeper does not answer.
	unanswered bool
	// ending is set when the notes may no longer be renewed.
	rejected bool
}

// reserved returns the tokens of a share that must not be lent now.
func (l *lender) reservedTokens(s *share, now time.Time) float64 {
	if !now.Before(l.reservePeer.validUntil) {
		return 0
	}
	return s.reserved
}

// release ends the promise to the present keeper.
func (l *lender) clearReserves() {
	for _, s := range l.shares {
		s.reserved, s.confirmed = 0, 0
	}
	l.reservePeer.validUntil = time.Time{}
}

// working is how much of a share is left unreserved for so much time of demand.
func (s *share) unreservedTokens(now time.Time, period time.Duration) float64 {
	unreserved := MaxShares * s.limit.Rate * period.Seconds()
	if s.demand.requestRate(now) < frequentRequestRate {
		unreserved = max(unreserved, infrequentUnreservedFraction*s.limit.Burst*period.Seconds()/targetUnreservedTime.Seconds())
	}
	if now.Sub(s.shortageAt) < shortageTTL {
		unreserved += s.shortage
	}
	return unreserved
}

// target is what should be reserved of a share.
func (s *share) reserveTarget(now time.Time) float64 {
	return max(0, s.lendable(now)-s.unknown-s.unreservedTokens(now, targetUnreservedTime))
}

// noteDue reports whether the keeper should learn of another target.
func (s *share) isUpdateDue(now time.Time, target float64) bool {
	if s.reserved != s.confirmed {
		return true
	}
	if target == s.confirmed {
		return false
	}
	unreserved := s.lendable(now) - s.confirmed
	if target < s.confirmed {
		return unreserved < s.unreservedTokens(now, 0)
	}
	return unreserved > s.unreservedTokens(now, maxUnreservedTime)
}

// draftNote prepares a note to the keeper, or returns nil when there is nothing to tell.
func (l *lender) newReserveUpdate(choosePeer func(previous string) string) (string, *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || !l.config.Fresh() || len(held) == 0 || l.anyHasUnknownLoans(held, now) {
		return "", nil
	}
	p := &l.reservePeer
	expired := !now.Before(p.validUntil)
	if p.address == "" || expired && (p.unanswered || p.rejected) {
		l.clearReserves()
		*p = reservePeer{address: choosePeer(p.address), seq: p.seq}
	}
	if p.address == "" || p.rejected {
		return "", nil
	}
	p.seq++
	update := &ShareBackup{Holder: l.address, Seq: p.seq}
	if p.unanswered || p.anchor.reading.Incarnation == 0 {
		return p.address, update
	}
	update.Shares = l.collectReserveChanges(now, held)
	p.renewTerm(now, update, slotEpochs(held))
	if update.Until.Incarnation == 0 && len(update.Shares) == 0 || len(update.Shares) == 0 && l.hasNoReserves() {
		return "", nil
	}
	return p.address, update
}

// renew adds to a note the tenures and a new term, when half of the term is over
// or the tenures have changed.
func (p *reservePeer) renewTerm(now time.Time, update *ShareBackup, slots []SlotEpoch) {
	if p.validUntil.Sub(now) > reserveTerm/2 && slices.Equal(slots, p.slots) {
		return
	}
	p.slots = slots
	update.Slots = slots
	update.Until = p.anchor.instant(now.Add(reserveTerm))
	p.validUntil = now.Add(reserveTerm + time.Duration(float64(reserveTerm)*driftAllowance))
}

// reserve chooses the shares whose reserve changes. Until the keeper has
// confirmed a note, the larger reserve is in force.
func (l *lender) collectReserveChanges(now time.Time, held []HeldSlot) []ShareState {
	if !now.Before(l.reservePeer.validUntil) {
		l.clearReserves()
	}
	var changed []ShareState
	for customer := range l.reserveCandidates {
		s := l.share(now, customer, held)
		target := s.reserveTarget(now)
		if !s.isUpdateDue(now, target) {
			if s.deficit(now) < 1 {
				delete(l.reserveCandidates, customer)
			}
			continue
		}
		s.reserved = max(s.reserved, target)
		changed = append(changed, ShareState{Customer: customer, Level: target})
	}
	return changed
}

func (l *lender) hasNoReserves() bool {
	for _, s := range l.shares {
		if s.reserved > 0 {
			return false
		}
	}
	return true
}

// noted takes in the keeper's reply to a note, or nil if there was none.
func (l *lender) applyUpdateReply(update *ShareBackup, reply *Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.reservePeer
	if reply == nil || reply.Clock.Incarnation == 0 && len(reply.TokenReplies) == 0 {
		p.unanswered = true
		return
	}
	p.unanswered = false
	if reply.Clock.Incarnation != 0 {
		l.updatePeerClock(reply.Clock)
	}
	if len(reply.TokenReplies) == 0 {
		p.rejected = update.Until.Incarnation != 0
		return
	}
	for _, shareState := range update.Shares {
		if s := l.shares[shareState.Customer]; s != nil {
			s.reserved, s.confirmed = shareState.Level, shareState.Level
		}
	}
}

// hear relates the keeper's clock to this one. A keeper of another life has
// nothing of what its former life was told.
func (l *lender) updatePeerClock(clock Instant) {
	previous := l.reservePeer.anchor.reading.Incarnation
	if previous != 0 && previous != clock.Incarnation {
		l.clearReserves()
	}
	l.reservePeer.anchor = anchor{at: l.now(), reading: clock}
}

// note tells the keeper what has changed.
func (m *Manager) updateReserves(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reserveUpdateTimeout)
	defer cancel()
	select {
	case m.updatingReserves <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.updatingReserves }()
	m.sendReserveUpdate(context.WithoutCancel(ctx))
}

func (m *Manager) sendReserveUpdate(ctx context.Context) {
	address, update := m.lender.newReserveUpdate(m.chooseReservePeer)
	if update == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveUpdateTimeout)
	defer cancel()
	reply, err := m.call(ctx, address, &Request{Tier: TierReserve, ShareBackup: update})
	if err != nil {
		reply = nil
	}
	m.lender.applyUpdateReply(update, reply)
}

// makeRoom lowers reserves first if a request asks for reserved tokens.
func (m *Manager) releaseReserved(ctx context.Context, request *Request) {
	if m.lender.needsReservedTokens(request) {
		m.updateReserves(ctx)
	}
}

// wantsReserved reports whether a request asks for reserved tokens that the
// keeper may release, and remembers how many.
func (l *lender) needsReservedTokens(request *Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	needed := false
	for _, tokenRequest := range request.TokenRequests {
		s := l.shares[tokenRequest.Customer]
		if s == nil || tokenRequest.Want == 0 || s.reserved == 0 {
			continue
		}
		s = l.share(now, tokenRequest.Customer, held)
		if s.lendable(now)-l.reservedTokens(s, now) < float64(tokenRequest.Want) {
			s.shortage, s.shortageAt = float64(tokenRequest.Want), now
			l.reserveCandidates[tokenRequest.Customer] = struct{}{}
			needed = true
		}
	}
	return needed && !l.closed && !l.reservePeer.unanswered && !l.reservePeer.rejected
}

// chooseKeeper returns a router of the region, another one than the former if there is.
func (m *Manager) chooseReservePeer(previous string) string {
	best, bestScore := "", uint64(0)
	for _, router := range m.options.Directory.Routers() {
		if router.Address == m.options.Address || router.Region != m.options.Region {
			continue
		}
		score := rendezvousScore(0, m.options.Address+router.Address)
		if router.Address == previous {
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
func (l *lender) applyReserve(reserve *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || len(held) == 0 || !l.succeedsBackup(reserve, held, now) || l.hasAppliedReserve(held) {
		return
	}
	l.restoredUntil = held[0].Since.Add(l.term)
	for _, slot := range held {
		l.reserveApplied[slot.Index] = slot.Epoch
		if end := slot.Since.Add(l.term); end.Before(l.restoredUntil) {
			l.restoredUntil = end
		}
	}
	for _, shareState := range reserve.Shares {
		if _, ok := l.config.Limit(shareState.Customer); !ok {
			continue
		}
		s := l.share(now, shareState.Customer, held)
		s.restored = min(shareState.Level, s.unknown)
		s.unknown -= s.restored
		s.level = max(0, min(s.level+s.restored, s.maxLevel(now)))
		s.deficits.record(now, s.deficit(now))
	}
}

// hasRestored reports whether a held slot's reserve has been taken over in this tenure.
func (l *lender) hasAppliedReserve(held []HeldSlot) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.reserveApplied[slot.Index] == slot.Epoch })
}

// anyUnknown reports whether a former life's loans are still unknown.
func (l *lender) anyHasUnknownLoans(held []HeldSlot, now time.Time) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.hasUnknownLoans(slot, now) })
}
