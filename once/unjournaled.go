package once

import (
	"context"
	"slices"
	"sync"
	"time"
)

// allowUnjournaled lets claims run before they are in the store, once writes have
// failed for Options.UnjournaledAfter. Before that, one witness of each head that a
// successor may read must record the unjournaled period, so that no successor
// considers the journal complete. Without such a witness the claims wait for the store.
func (s *shard) allowUnjournaled(ctx context.Context) {
	s.mu.Lock()
	j := &s.journal
	mustWait := !s.owned || s.closing || j.closeUnresolved || j.unjournaledAllowed || j.failingSince.IsZero() ||
		time.Since(j.failingSince) < s.m.options.UnjournaledAfter
	if mustWait {
		s.mu.Unlock()
		return
	}
	j.period++
	j.periodOpen = true
	mark := UnjournaledMark{Shard: s.number, Epoch: s.epoch, Period: j.period}
	stored, proposed := j.witnesses, j.proposedWitnesses
	s.mu.Unlock()

	if !s.m.markAnyWitness(ctx, stored, mark) || !s.m.markAnyWitness(ctx, proposed, mark) {
		s.m.log.Warn().Int("shard", s.number).Msg("once: no witness recorded the unjournaled period; claims wait for the store")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned || s.epoch != mark.Epoch || j.closeUnresolved {
		return
	}
	j.unjournaledAllowed = true
	s.grantUnjournaled()
	s.m.log.Warn().Int("shard", s.number).Msg("once: store writes fail; claims run unjournaled")
}

// grantUnjournaled lets the waiting claims run. s.mu must be held.
func (s *shard) grantUnjournaled() {
	for _, claimed := range s.journal.waitingClaims {
		if claimed.isWoken() {
			continue
		}
		claimed.grantedUnjournaled = true
		s.journal.unjournaledClaims++
		claimed.wake()
	}
}

// refreshWitnesses schedules a write of each owned head whose witnesses differ from
// those that the next head would name. A restarted witness has lost its marks, so a
// head that names it would make the shard doubtful without need at the next takeover.
func (m *Manager) refreshWitnesses() {
	live := m.liveWitnesses()
	m.mu.Lock()
	shards := m.shards
	m.mu.Unlock()
	for _, s := range shards {
		s.mu.Lock()
		if s.owned && !slices.Equal(s.journal.witnesses, s.journal.nextWitnesses(live)) {
			s.journal.scheduleWrite()
		}
		s.mu.Unlock()
	}
}

// markAnyWitness sends the mark to all witnesses and reports whether at least one
// recorded it. It returns true for an empty list, because a successor that reads a head
// without witnesses considers the shard doubtful. It blocks for at most witnessTimeout.
func (m *Manager) markAnyWitness(ctx context.Context, witnesses []Peer, mark UnjournaledMark) bool {
	if len(witnesses) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return slices.Contains(callEach(witnesses, func(w Peer) bool {
		return m.options.Transport.MarkUnjournaled(ctx, w, mark) == nil
	}), true)
}

// reportPeriodEnd reports to the witnesses that an unjournaled period has ended, if
// that is due. Until all of them have recorded it, a successor may consider the shard
// doubtful without need. It is called again until they have.
func (s *shard) reportPeriodEnd(ctx context.Context) {
	s.mu.Lock()
	mark := UnjournaledMark{Shard: s.number, Epoch: s.epoch, Period: s.journal.unreportedPeriod, Ended: true}
	witnesses := s.journal.witnesses
	skip := !s.owned || s.journal.unreportedPeriod == 0
	s.mu.Unlock()
	if skip {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	recorded := callEach(witnesses, func(w Peer) bool {
		return s.m.options.Transport.MarkUnjournaled(ctx, w, mark) == nil
	})
	if slices.Contains(recorded, false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned && s.epoch == mark.Epoch && s.journal.unreportedPeriod == mark.Period {
		s.journal.unreportedPeriod = 0
	}
}

// allWitnessesRuleOutUnjournaled reports whether every witness of a head has replied
// that no unjournaled period of the head's owner is open, so that all its calls are in
// the journal. From then on the witnesses refuse the marks of that owner's epoch. It
// returns false when there is no witness.
func (m *Manager) allWitnessesRuleOutUnjournaled(ctx context.Context, witnesses []Peer, query UnjournaledQuery) bool {
	if len(witnesses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return !slices.Contains(callEach(witnesses, func(w Peer) bool { return m.witnessRulesOutUnjournaled(ctx, w, query) }), false)
}

// witnessRulesOutUnjournaled asks one witness, which may be this process, and reports
// whether it replied that no unjournaled period is open.
func (m *Manager) witnessRulesOutUnjournaled(ctx context.Context, w Peer, query UnjournaledQuery) bool {
	if self := m.options.Self; w.Process == self.Process && w.Incarnation >= self.Incarnation {
		return !m.witness.fenceAndQuery(query)
	}
	periodOpen, err := m.options.Transport.QueryUnjournaled(ctx, w, query)
	return err == nil && !periodOpen
}

// callEach calls f for all peers concurrently and returns the results in the order of
// the peers.
func callEach(peers []Peer, f func(Peer) bool) []bool {
	results := make([]bool, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { results[i] = f(peer) })
	}
	group.Wait()
	return results
}
