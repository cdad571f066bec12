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
	// activeClaims counts claims without an outcome.
	activeClaims int
	entries      map[ID]*entry
	// expiries are ended entries, oldest first.
	expiries   []expiry
	doubtUntil time.Time
	journal    journal

	// commitLock serialises writes of the head.
	commitLock     lock
	commitRequests chan struct{}

	// takeoverLock serialises reads of the record and attempts to take the shard.
	takeoverLock lock
	cachedHead   storedHead
	cachedAt     time.Time
}

func newShard(m *Manager, number int) *shard {
	return &shard{
		m:              m,
		number:         number,
		commitLock:     newLock(),
		takeoverLock:   newLock(),
		commitRequests: make(chan struct{}, 1),
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
			return Result{}, &Error{Reason: ReasonConflict, OwnershipUnproven: !proved}
		}
		return s.answerRepeat(ctx, found, done, request, run)
	}
	if err := s.checkAdmission(); err != nil {
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
	if err := s.beginRun(claimed); err != nil {
		return Result{}, err
	}
	return s.finishRun(claimed, run())
}

// checkAdmission checks whether a new key may be claimed; s.mu is held.
func (s *shard) checkAdmission() error {
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
	s.activeClaims++
	s.journal.addPending(claimed.claimRecord())
	s.journal.waitingClaims = append(s.journal.waitingClaims, claimed)
	if s.journal.mayRunUnjournaled() {
		s.grantUnjournaled()
	}
	s.requestCommit()
	return claimed
}

// beginRun allows a granted claim to run. It is the last check before the call is
// sent: a claim whose shard was lost while it waited does not run.
func (s *shard) beginRun(claimed *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(claimed) {
		s.endClaim(claimed, phaseOutcomeLost)
		return errNotServing
	}
	if !claimed.isGranted() {
		// The journal has not shown yet that no successor has run the key.
		s.releaseKey(claimed, nil)
		return &Error{Reason: ReasonNotRun, RetryAfter: retryNotRun, OwnershipUnproven: true}
	}
	invariant.Check(claimed.phase == phaseClaimed, "once.single_execution", "key %x begins in phase %d", claimed.id, claimed.phase)
	invariant.Check(claimed.journaled || claimed.grantedUnjournaled, "once.claim_before_run", "key %x", claimed.id)
	claimed.phase = phaseRunning
	return nil
}

// isCurrent reports whether the entry belongs to the table now served; s.mu is held.
func (s *shard) isCurrent(e *entry) bool {
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

// finishRun records the outcome of an execution and returns the caller's answer.
func (s *shard) finishRun(ran *entry, outcome Outcome) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome.State {
	case StateRan:
		ran.hasAnswer = len(outcome.Answer) <= maxKeptAnswerBytes
		if ran.hasAnswer {
			ran.answer = outcome.Answer
		}
		s.endClaim(ran, phaseDone)
		s.journalOutcome(ran)
		return Result{Answer: outcome.Answer}, nil
	case StateNotRun:
		s.releaseKey(ran, outcome.Answer)
		return Result{}, &Error{Reason: ReasonNotRun, Cause: outcome.Answer, RetryAfter: retryNotRun}
	default:
		ran.answer = outcome.Answer
		s.endClaim(ran, phaseOutcomeLost)
		s.scheduleExpiry(ran)
		return Result{}, &Error{Reason: ReasonLost, Cause: outcome.Answer}
	}
}

// scheduleExpiry sets when an ended entry is forgotten; s.mu is held.
func (s *shard) scheduleExpiry(ended *entry) {
	if s.isCurrent(ended) {
		s.expiries = append(s.expiries, expiry{ended.id, ended, time.Now().Add(s.m.options.Horizon())})
	}
}

// journalOutcome queues an outcome for the journal and sets its expiry; s.mu is held.
func (s *shard) journalOutcome(ran *entry) {
	if !s.isCurrent(ran) {
		return
	}
	s.scheduleExpiry(ran)
	s.journal.addPending(ran.outcomeRecord())
	s.journal.scheduleWrite()
}

// releaseKey frees the key of a claim that was not run; s.mu is held.
func (s *shard) releaseKey(claimed *entry, cause []byte) {
	claimed.answer = cause
	s.endClaim(claimed, phaseReleased)
	if !s.isCurrent(claimed) || s.entries[claimed.id] != claimed {
		return
	}
	delete(s.entries, claimed.id)
	claimed.grant()
	s.journal.addPending(claimed.releaseRecord())
	s.journal.scheduleWrite()
}

// endClaim ends a claim; s.mu is held.
func (s *shard) endClaim(claimed *entry, end phase) {
	claimed.phase = end
	close(claimed.done)
	// An ended entry is kept for long and needs no channels.
	claimed.done = nil
	claimed.granted = nil
	if s.isCurrent(claimed) {
		s.activeClaims--
	}
}

// answerRepeat answers a request whose key is known.
// done is the entry's channel, nil when its first request has ended.
func (s *shard) answerRepeat(ctx context.Context, found *entry, done <-chan struct{}, request Request, run func() Outcome) (Result, error) {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return Result{}, &Error{Reason: ReasonRunning, RetryAfter: retryRunning}
		}
	}
	s.mu.Lock()
	end := found.phase
	result, err := found.replay()
	moved := !s.isCurrent(found)
	s.mu.Unlock()
	if end == phaseReleased {
		return s.do(ctx, request, run)
	}
	if end == phaseOutcomeLost && moved {
		return Result{}, errNotServing
	}
	return result, err
}

// evictExpired forgets keys whose horizon is over.
func (s *shard) evictExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.doubtUntil.IsZero() && !now.Before(s.doubtUntil) {
		s.doubtUntil = time.Time{}
		s.journal.scheduleWrite()
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

// requestCommit makes the committer write soon.
func (s *shard) requestCommit() {
	select {
	case s.commitRequests <- struct{}{}:
	default:
	}
}

// loseOwnership ends ownership after a successor was seen. Claims that wait do not run.
func (s *shard) loseOwnership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		s.endOwnership()
	}
}

// endOwnership forgets the table; s.mu is held. Claims that run keep their own entries.
func (s *shard) endOwnership() {
	s.owned = false
	s.closing = false
	for _, waiting := range s.journal.waitingClaims {
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
