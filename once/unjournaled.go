package once

import (
	"context"
	"slices"
	"sync"
	"time"
)

// allowUnjournaled lets claims run without the store once writes have failed for a while.
// First a witness of each head that a successor may read must know of it, so that
// a successor never takes the journal for complete. Without such a witness the
// claims go on waiting.
func (s *shard) allowUnjournaled(ctx context.Context) {
	s.mu.Lock()
	j := &s.journal
	wait := !s.owned || s.closing || j.closeUnresolved || j.unjournaledAllowed || j.failingSince.IsZero() ||
		time.Since(j.failingSince) < s.m.options.UnjournaledAfter
	if wait {
		s.mu.Unlock()
		return
	}
	j.period++
	j.periodOpen = true
	mark := UnjournaledMark{Shard: s.number, Epoch: s.epoch, Period: j.period}
	stored, proposed := j.witnesses, j.proposedWitnesses
	s.mu.Unlock()

	if !s.m.markAnyWitness(ctx, stored, mark) || !s.m.markAnyWitness(ctx, proposed, mark) {
		s.m.log.Warn().Int("shard", s.number).Msg("once: no witness, claims wait for the store")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned || s.epoch != mark.Epoch || j.closeUnresolved {
		return
	}
	j.unjournaledAllowed = true
	s.grantUnjournaled()
	s.m.log.Warn().Int("shard", s.number).Msg("once: store is down, claims run unjournaled")
}

// grantUnjournaled lets the waiting claims run; s.mu is held.
func (s *shard) grantUnjournaled() {
	for _, waiting := range s.journal.waitingClaims {
		if waiting.isGranted() {
			continue
		}
		waiting.grantedUnjournaled = true
		s.journal.unjournaledClaims++
		waiting.grant()
	}
}

// refreshWitnesses has the heads written whose witnesses are not those alive
// now. Otherwise a witness's restart would leave a shard in doubt without need.
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

// markAnyWitness tells all witnesses and reports whether one took the mark. An empty
// list needs none: a successor that reads it takes the shard for doubtful.
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

// reportPeriodEnd tells the witnesses that nothing is unjournaled any more. Until
// they know, a successor takes the shard for doubtful without need.
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
	taken := callEach(witnesses, func(w Peer) bool {
		return s.m.options.Transport.MarkUnjournaled(ctx, w, mark) == nil
	})
	if slices.Contains(taken, false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned && s.epoch == mark.Epoch && s.journal.unreportedPeriod == mark.Period {
		s.journal.unreportedPeriod = 0
	}
}

// allWitnessesVouch reports whether every witness of a head says that its owner ran
// nothing without the journal. The witnesses refuse that owner from then on.
func (m *Manager) allWitnessesVouch(ctx context.Context, witnesses []Peer, ask UnjournaledQuery) bool {
	if len(witnesses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return !slices.Contains(callEach(witnesses, func(w Peer) bool { return m.witnessVouches(ctx, w, ask) }), false)
}

// witnessVouches asks one witness, which may be the process itself.
func (m *Manager) witnessVouches(ctx context.Context, w Peer, ask UnjournaledQuery) bool {
	if self := m.options.Self; w.Process == self.Process && w.Incarnation >= self.Incarnation {
		return !m.witness.fenceAndQuery(ask)
	}
	marked, err := m.options.Transport.QueryUnjournaled(ctx, w, ask)
	return err == nil && !marked
}

// callEach calls f for all peers at once and returns the results in their order.
func callEach(peers []Peer, f func(Peer) bool) []bool {
	results := make([]bool, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { results[i] = f(peer) })
	}
	group.Wait()
	return results
}
