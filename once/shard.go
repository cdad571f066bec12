package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// errNotServing reports that the shard is not owned here, or not any more.
var errNotServing = errors.New("shard not served here")

// shard is one shard's table of keys, used while this process owns it.
type shard struct {
	m      *Manager
	number int

	mu    sync.Mutex
	owned bool
	// closing refuses new keys while the shard is handed over.
	closing bool
	// released is closed when the shard is no longer owned.
	released chan struct{}
	epoch    uint64
	// active counts claims without an outcome.
	active  int
	entries map[ID]*entry
	// expiries are ended entries, oldest first.
	expiries   []expiry
	doubtUntil time.Time
	journal    journal

	// commitLock serialises writes of the head.
	commitLock lock
	kick       chan struct{}

	// lookLock serialises reads of the record and attempts to take the shard.
	lookLock lock
	known    record
	knownAt  time.Time
}

func newShard(m *Manager, number int) *shard {
	return &shard{
		m:          m,
		number:     number,
		commitLock: newLock(),
		lookLock:   newLock(),
		kick:       make(chan struct{}, 1),
	}
}

// do runs or replays a request. It returns errNotServing when the shard is not
// owned here; then nothing was run for this request.
func (s *shard) do(ctx context.Context, request Request, run func() Outcome) (Result, error) {
	id := request.ID()
	s.mu.Lock()
	if !s.owned || s.closing {
		s.mu.Unlock()
		return Result{}, errNotServing
	}
	if found := s.entries[id]; found != nil {
		done, proved := found.done, found.journaled
		s.mu.Unlock()
		if found.digest != request.Digest {
			return Result{}, &Error{Reason: ReasonConflict, Unproved: !proved}
		}
		return s.repeat(ctx, found, done, request, run)
	}
	if err := s.admit(); err != nil {
		s.mu.Unlock()
		return Result{}, err
	}
	claimed := s.claim(id, request.Digest)
	granted := claimed.granted
	s.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	if err := s.begin(claimed); err != nil {
		return Result{}, err
	}
	return s.finish(claimed, run())
}

// admit checks whether a new key may be claimed; s.mu is held.
func (s *shard) admit() error {
	if left := time.Until(s.doubtUntil); left > 0 {
		return &Error{Reason: ReasonInDoubt, RetryAfter: left}
	}
	if len(s.entries) >= s.m.options.MaxKeys {
		return &Error{Reason: ReasonFull, RetryAfter: retryFull}
	}
	return nil
}

// claim enters a new key and queues its claim for the journal; s.mu is held.
func (s *shard) claim(id ID, digest Digest) *entry {
	claimed := &entry{
		id:      id,
		digest:  digest,
		epoch:   s.epoch,
		granted: make(chan struct{}),
		done:    make(chan struct{}),
	}
	s.entries[id] = claimed
	s.active++
	s.journal.add(claimed.claimRecord())
	s.journal.waiting = append(s.journal.waiting, claimed)
	if s.journal.mayRunUnjournaled() {
		s.grantUnjournaled()
	}
	s.wake()
	return claimed
}

// begin allows a granted claim to run. It is the last check before the call is
// sent: a claim whose shard was lost while it waited does not run.
func (s *shard) begin(claimed *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holds(claimed) {
		s.settleClaim(claimed, phaseLost)
		return errNotServing
	}
	if !claimed.isGranted() {
		// The journal has not shown yet that no successor has run the key.
		s.release(claimed, nil)
		return &Error{Reason: ReasonNotRun, RetryAfter: retryNotRun, Unproved: true}
	}
	invariant.Check(claimed.phase == phaseClaimed, "once.single_execution", "key %x begins in phase %d", claimed.id, claimed.phase)
	invariant.Check(claimed.journaled || claimed.unjournaled, "once.claim_before_run", "key %x", claimed.id)
	claimed.phase = phaseRunning
	return nil
}

// holds reports whether the entry belongs to the table now served; s.mu is held.
func (s *shard) holds(e *entry) bool {
	return s.owned && e.epoch == s.epoch
}

// isGranted reports whether the claim need not wait any more; the shard's mutex is held.
func (e *entry) isGranted() bool {
	if e.granted == nil {
		return true
	}
	select {
	case <-e.granted:
		return true
	default:
		return false
	}
}

// finish records the outcome of an execution and returns the caller's answer.
func (s *shard) finish(ran *entry, outcome Outcome) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome.State {
	case StateRan:
		ran.kept = len(outcome.Answer) <= maxKeptAnswerBytes
		if ran.kept {
			ran.answer = outcome.Answer
		}
		s.settleClaim(ran, phaseDone)
		s.remember(ran)
		return Result{Answer: outcome.Answer}, nil
	case StateNotRun:
		s.release(ran, outcome.Answer)
		return Result{}, &Error{Reason: ReasonNotRun, Cause: outcome.Answer, RetryAfter: retryNotRun}
	default:
		ran.answer = outcome.Answer
		s.settleClaim(ran, phaseLost)
		s.expire(ran)
		return Result{}, &Error{Reason: ReasonLost, Cause: outcome.Answer}
	}
}

// expire sets when an ended entry is forgotten; s.mu is held.
func (s *shard) expire(ended *entry) {
	if s.holds(ended) {
		s.expiries = append(s.expiries, expiry{ended.id, ended, time.Now().Add(s.m.options.Horizon())})
	}
}

// remember queues an outcome for the journal and sets its expiry; s.mu is held.
func (s *shard) remember(ran *entry) {
	if !s.holds(ran) {
		return
	}
	s.expire(ran)
	s.journal.add(ran.outcomeRecord())
	s.journal.writeSoon()
}

// release frees the key of a claim that was not run; s.mu is held.
func (s *shard) release(claimed *entry, cause []byte) {
	claimed.answer = cause
	s.settleClaim(claimed, phaseReleased)
	if !s.holds(claimed) || s.entries[claimed.id] != claimed {
		return
	}
	delete(s.entries, claimed.id)
	claimed.grant()
	s.journal.add(claimed.releaseRecord())
	s.journal.writeSoon()
}

// settleClaim ends a claim; s.mu is held.
func (s *shard) settleClaim(claimed *entry, end phase) {
	claimed.phase = end
	close(claimed.done)
	// An ended entry is kept for long and needs no channels.
	claimed.done = nil
	claimed.granted = nil
	if s.holds(claimed) {
		s.active--
	}
}

// repeat answers a request whose key is known.
// done is the entry's channel, nil when its first request has ended.
func (s *shard) repeat(ctx context.Context, found *entry, done <-chan struct{}, request Request, run func() Outcome) (Result, error) {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return Result{}, &Error{Reason: ReasonRunning, RetryAfter: retryRunning}
		}
	}
	s.mu.Lock()
	end := found.phase
	result, err := found.result()
	moved := !s.holds(found)
	s.mu.Unlock()
	if end == phaseReleased {
		return s.do(ctx, request, run)
	}
	if end == phaseLost && moved {
		return Result{}, errNotServing
	}
	return result, err
}

// sweep forgets keys whose horizon is over.
func (s *shard) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.doubtUntil.IsZero() && !now.Before(s.doubtUntil) {
		s.doubtUntil = time.Time{}
		s.journal.writeSoon()
	}
	n := 0
	for n < len(s.expiries) && !now.Before(s.expiries[n].at) {
		old := s.expiries[n]
		if s.entries[old.id] == old.entry {
			delete(s.entries, old.id)
		}
		n++
	}
	if n > 0 {
		s.expiries = append([]expiry(nil), s.expiries[n:]...)
	}
}

// wake makes the committer write soon.
func (s *shard) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// lost ends ownership after a successor was seen. Claims that wait do not run.
func (s *shard) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		s.end()
	}
}

// end forgets the table; s.mu is held. Claims that run keep their own entries.
func (s *shard) end() {
	s.owned = false
	s.closing = false
	for _, waiting := range s.journal.waiting {
		waiting.grant()
	}
	s.entries = nil
	s.expiries = nil
	s.journal = journal{}
	close(s.released)
}

func (e *entry) grant() {
	if !e.isGranted() {
		close(e.granted)
	}
}
