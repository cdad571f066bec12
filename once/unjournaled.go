package once

import (
	"context"
	"slices"
	"sync"
	"time"
)

// expose lets claims run without the store once writes have failed for a while.
// First a witness of each head that a successor may read must know of it, so that
// a successor never takes the journal for complete. Without such a witness the
// claims go on waiting.
func (s *shard) expose(ctx context.Context) {
	s.mu.Lock()
	j := &s.journal
	wait := !s.owned || s.closing || j.closeOpen || j.unjournaled || j.failingSince.IsZero() ||
		time.Since(j.failingSince) < s.m.options.UnjournaledAfter
	if wait {
		s.mu.Unlock()
		return
	}
	j.period++
	j.periodOpen = true
	mark := UnjournaledMark{Shard: s.number, Epoch: s.epoch, Period: j.period}
	stored, proposed := j.witnesses, j.proposed
	s.mu.Unlock()

	if !s.m.markAny(ctx, stored, mark) || !s.m.markAny(ctx, proposed, mark) {
		s.m.log.Warn().Int("shard", s.number).Msg("once: no witness, claims wait for the store")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned || s.epoch != mark.Epoch || j.closeOpen {
		return
	}
	j.unjournaled = true
	s.grantUnjournaled()
	s.m.log.Warn().Int("shard", s.number).Msg("once: store is down, claims run unjournaled")
}

// grantUnjournaled lets the waiting claims run; s.mu is held.
func (s *shard) grantUnjournaled() {
	for _, waiting := range s.journal.waiting {
		if waiting.isGranted() {
			continue
		}
		waiting.unjournaled = true
		s.journal.exposed++
		waiting.grant()
	}
}

// refreshWitnesses has the heads written whose witnesses are not those alive
// now. Otherwise a witness's restart would leave a shard in doubt without need.
func (m *Manager) refreshWitnesses() {
	live := m.witnesses()
	m.mu.Lock()
	shards := m.shards
	m.mu.Unlock()
	for _, s := range shards {
		s.mu.Lock()
		if s.owned && !slices.Equal(s.journal.witnesses, s.journal.nextWitnesses(live)) {
			s.journal.writeSoon()
		}
		s.mu.Unlock()
	}
}

// markAny tells all witnesses and reports whether one took the mark. An empty
// list needs none: a successor that reads it takes the shard for doubtful.
func (m *Manager) markAny(ctx context.Context, witnesses []Peer, mark UnjournaledMark) bool {
	if len(witnesses) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return slices.Contains(each(witnesses, func(w Peer) bool {
		return m.options.Transport.MarkUnjournaled(ctx, w, mark) == nil
	}), true)
}

// endPeriod tells the witnesses that nothing is unjournaled any more. Until
// they know, a successor takes the shard for doubtful without need.
func (s *shard) endPeriod(ctx context.Context) {
	s.mu.Lock()
	mark := UnjournaledMark{Shard: s.number, Epoch: s.epoch, Period: s.journal.unended, Ended: true}
	witnesses := s.journal.witnesses
	skip := !s.owned || s.journal.unended == 0
	s.mu.Unlock()
	if skip {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	taken := each(witnesses, func(w Peer) bool {
		return s.m.options.Transport.MarkUnjournaled(ctx, w, mark) == nil
	})
	if slices.Contains(taken, false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned && s.epoch == mark.Epoch && s.journal.unended == mark.Period {
		s.journal.unended = 0
	}
}

// vouched reports whether every witness of a head says that its owner ran
// nothing without the journal. The witnesses refuse that owner from then on.
func (m *Manager) vouched(ctx context.Context, witnesses []Peer, ask UnjournaledQuery) bool {
	if len(witnesses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return !slices.Contains(each(witnesses, func(w Peer) bool { return m.vouches(ctx, w, ask) }), false)
}

// vouches asks one witness, which may be the process itself.
func (m *Manager) vouches(ctx context.Context, w Peer, ask UnjournaledQuery) bool {
	if self := m.options.Self; w.Process == self.Process && w.Incarnation >= self.Incarnation {
		return !m.witness.ask(ask)
	}
	marked, err := m.options.Transport.QueryUnjournaled(ctx, w, ask)
	return err == nil && !marked
}

// each calls f for all peers at once and returns the results in their order.
func each(peers []Peer, f func(Peer) bool) []bool {
	results := make([]bool, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { results[i] = f(peer) })
	}
	group.Wait()
	return results
}
