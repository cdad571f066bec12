package quota

import (
	"context"
	"slices"
	"time"
)

const (
	// reserveTerm is how long a reserve peer may hand out reserved tokens after
	// the last update with a term. If the reserve peer is lost, the tokens
	// cannot be lent for that long.
	reserveTerm = 4 * time.Second
	// reserveUpdateInterval is how often shares are compared with their
	// reserves.
	reserveUpdateInterval = 500 * time.Millisecond
	// reserveUpdateTimeout bounds a reserve update. Two of them fit in
	// loanCallTimeout, since a request for reserved tokens may wait for the
	// update in flight and then for its own.
	reserveUpdateTimeout = 100 * time.Millisecond
	// reserveShortageTTL is how long tokens are left unreserved after a request
	// needed reserved tokens.
	reserveShortageTTL = time.Second
	// A reserve update leaves as many tokens unreserved as the customer's rate
	// refills in targetUnreservedTime. It is sent when none of them is left, or when
	// more are unreserved than the rate refills in maxUnreservedTime.
	targetUnreservedTime = 200 * time.Millisecond
	maxUnreservedTime    = 600 * time.Millisecond
	// infrequentUnreserved is the least fraction of the share's burst that a
	// reserve update leaves unreserved when requests are rare.
	infrequentUnreserved = 0.5
)

// reservePeer is the peer that records how many tokens this holder has promised
// not to lend. If this process crashes, its next incarnation can lend these
// tokens at once, because they cannot be on loan.
type reservePeer struct {
	address     string
	clockAnchor clockAnchor
	seq         uint64
	// slots are the slot epochs of the last update with a term.
	slots []SlotEpoch
	// validUntil is the time by which the peer has dropped all reserves at the
	// latest.
	validUntil time.Time
	// unanswered is true if the peer did not reply to the last update.
	unanswered bool
	// rejected is true if the peer refused an update with a term, so that the
	// reserves can no longer be renewed.
	rejected bool
}

// reservedTokens returns how many tokens of a share must not be lent now. The
// caller holds l.mu.
func (l *lender) reservedTokens(s *share, now time.Time) float64 {
	if !now.Before(l.reservePeer.validUntil) {
		return 0
	}
	return s.reserved
}

// clearReserves drops all reserves that were recorded at the present peer. The
// caller holds l.mu.
func (l *lender) clearReserves() {
	for _, s := range l.shares {
		s.reserved, s.confirmed = 0, 0
	}
	l.reservePeer.validUntil = time.Time{}
}

// unreservedTokens returns how many tokens of a share to leave unreserved: as
// many as the customer's rate refills in a period. If requests are rare, it is
// at least infrequentUnreserved of the share's burst for each
// targetUnreservedTime of the period. A recent request that needed reserved
// tokens adds its tokens. The customer's rate is MaxShares times the share's
// rate if the share belongs to one of MaxShares slots.
func (s *share) unreservedTokens(now time.Time, period time.Duration) float64 {
	unreserved := MaxShares * s.limit.Rate * period.Seconds()
	if s.demand.requestRate(now) < frequentRequestRate {
		unreserved = max(unreserved, infrequentUnreserved*s.limit.Burst*period.Seconds()/targetUnreservedTime.Seconds())
	}
	if now.Sub(s.reserveShortageAt) < reserveShortageTTL {
		unreserved += s.reserveShortage
	}
	return unreserved
}

// reserveTarget returns how many tokens of a share should be reserved.
func (s *share) reserveTarget(now time.Time) float64 {
	return max(0, s.lendable(now)-s.unknownLoans-s.unreservedTokens(now, targetUnreservedTime))
}

// isReserveUpdateDue reports whether a new target must be sent to the reserve
// peer. Small changes are not sent.
func (s *share) isReserveUpdateDue(now time.Time, target float64) bool {
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

// newReserveUpdate returns the reserve peer's address and an update for it, or
// nil if there is nothing to send. It calls choosePeer, with the address of the
// previous peer, when there is no peer or when the reserves have expired at a
// peer that does not reply or that rejected an update. If the peer's clock is
// unknown or the last update was not answered, the update is empty and only
// asks for the clock.
func (l *lender) newReserveUpdate(choosePeer func(previous string) string) (string, *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || !l.config.IsFresh() || len(held) == 0 || l.hasAnyUnknownLoans(held, now) {
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
	if p.unanswered || p.clockAnchor.reading.Incarnation == 0 {
		return p.address, update
	}
	update.Shares = l.collectReserveChanges(now, held)
	p.renewTerm(now, update, slotEpochs(held))
	if update.Until.Incarnation == 0 && len(update.Shares) == 0 || len(update.Shares) == 0 && l.hasNoReserves() {
		return "", nil
	}
	return p.address, update
}

// renewTerm adds the slot epochs and a new term to an update when half of the
// term is over or the epochs have changed.
func (p *reservePeer) renewTerm(now time.Time, update *ShareBackup, slots []SlotEpoch) {
	if p.validUntil.Sub(now) > reserveTerm/2 && slices.Equal(slots, p.slots) {
		return
	}
	p.slots = slots
	update.Slots = slots
	update.Until = p.clockAnchor.instant(now.Add(reserveTerm))
	p.validUntil = now.Add(reserveTerm + time.Duration(float64(reserveTerm)*driftAllowance))
}

// collectReserveChanges returns the shares whose reserves have to change. Until
// the peer has confirmed an update, the larger of the old and the new reserve
// applies. The caller holds l.mu.
func (l *lender) collectReserveChanges(now time.Time, held []HeldSlot) []ShareState {
	if !now.Before(l.reservePeer.validUntil) {
		l.clearReserves()
	}
	var changed []ShareState
	for customer := range l.reserveCandidates {
		s := l.share(now, customer, held)
		target := s.reserveTarget(now)
		if !s.isReserveUpdateDue(now, target) {
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

// hasNoReserves reports whether no share has reserved tokens. The caller holds
// l.mu.
func (l *lender) hasNoReserves() bool {
	for _, s := range l.shares {
		if s.reserved > 0 {
			return false
		}
	}
	return true
}

// applyUpdateReply processes the reserve peer's reply to an update. reply is
// nil if there was none.
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

// updatePeerClock records the relation of the reserve peer's clock to this
// process's clock. A peer that has restarted has lost the reserves, so they are
// cleared. The caller holds l.mu.
func (l *lender) updatePeerClock(clock Instant) {
	previous := l.reservePeer.clockAnchor.reading.Incarnation
	if previous != 0 && previous != clock.Incarnation {
		l.clearReserves()
	}
	l.reservePeer.clockAnchor = clockAnchor{at: l.now(), reading: clock}
}

// updateReserves sends changed reserves to the reserve peer. It waits up to
// reserveUpdateTimeout for an update in flight and returns without sending if
// that takes longer.
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

// sendReserveUpdate sends one update and processes the reply. The caller holds
// the token in updatingReserves.
func (m *Manager) sendReserveUpdate(ctx context.Context) {
	address, update := m.lender.newReserveUpdate(m.chooseReservePeer)
	if update == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveUpdateTimeout)
	defer cancel()
	reply, err := m.call(ctx, address, &Request{Kind: KindReserve, ShareBackup: update})
	if err != nil {
		reply = nil
	}
	m.lender.applyUpdateReply(update, reply)
}

// releaseReserved sends a reserve update first if a request needs tokens that
// are reserved.
func (m *Manager) releaseReserved(ctx context.Context, request *Request) {
	if m.lender.recordReserveShortage(request) {
		m.updateReserves(ctx)
	}
}

// recordReserveShortage records the tokens of a request that needs reserved
// tokens, so that the next update leaves them unreserved. It reports whether
// there are such tokens and an update to the reserve peer may release them.
func (l *lender) recordReserveShortage(request *Request) bool {
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
			s.reserveShortage, s.reserveShortageAt = float64(tokenRequest.Want), now
			l.reserveCandidates[tokenRequest.Customer] = struct{}{}
			needed = true
		}
	}
	return needed && !l.closed && !l.reservePeer.unanswered && !l.reservePeer.rejected
}

// chooseReservePeer returns another router of the region, or "" if there is
// none. It returns the previous peer only if there is no other.
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

// applyReserve makes the tokens that the previous incarnation had reserved
// available, once per slot epoch. Tokens that were not reserved may still be on
// loan. It does nothing if lending has ended, if the held slots are not exactly
// the next epochs of the reserve's slots, if they can no longer have unknown
// loans, or if a reserve was applied before.
func (l *lender) applyReserve(reserve *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || len(held) == 0 || !l.succeedsBackup(reserve, held, now) || l.hasAppliedReserve(held) {
		return
	}
	l.restoredUntil = held[0].Since.Add(l.loanTerm)
	for _, slot := range held {
		l.reserveApplied[slot.Index] = slot.Epoch
		if end := slot.Since.Add(l.loanTerm); end.Before(l.restoredUntil) {
			l.restoredUntil = end
		}
	}
	for _, shareState := range reserve.Shares {
		if _, ok := l.config.Limit(shareState.Customer); !ok {
			continue
		}
		s := l.share(now, shareState.Customer, held)
		s.restored = min(shareState.Level, s.unknownLoans)
		s.unknownLoans -= s.restored
		s.level = max(0, min(s.level+s.restored, s.maxLevel(now)))
		s.deficits.record(now, s.deficit(now))
	}
}

// hasAppliedReserve reports whether a reserve has been applied to a held slot
// in its present epoch. The caller holds l.mu.
func (l *lender) hasAppliedReserve(held []HeldSlot) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.reserveApplied[slot.Index] == slot.Epoch })
}

// hasAnyUnknownLoans reports whether the previous holder of any held slot may
// have loans that this process does not know. The caller holds l.mu.
func (l *lender) hasAnyUnknownLoans(held []HeldSlot, now time.Time) bool {
	return slices.ContainsFunc(held, func(slot HeldSlot) bool { return l.hasUnknownLoans(slot, now) })
}
