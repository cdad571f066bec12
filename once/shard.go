package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// errNotServing reports that this process does not own the shard or is handing it over.
var errNotServing = errors.New("shard not served here")

// shard holds the state of one shard. The table of keys and the journal are used
// only while this process owns the shard; the cached head is used otherwise.
type shard struct {
	m      *Manager
	number int

	// mu guards all fields below except the two locks and commitRequests.
	mu    sync.Mutex
	owned bool
	// closing is true while the shard is handed over; new requests then wait for
	// the next owner.
	closing bool
	// ownershipEnded is closed when this process stops owning the shard.
	ownershipEnded chan struct{}
	epoch          uint64
	// activeClaims counts the claims that have not ended.
	activeClaims int
	entries      map[ID]*entry
	// expiries holds the ended entries, oldest first.
	expiries []expiry
	// doubtUntil is when new keys are admitted again after a takeover from an owner
	// that may have run unjournaled calls; zero when there is no doubt.
	doubtUntil time.Time
	journal    journal

	// commitLock serialises writes of the head.
	commitLock lock
	// commitRequests wakes the commit loop.
	commitRequests chan struct{}

	// takeoverLock serialises reads of the head and attempts to take the shard.
	takeoverLock lock
	// cachedHead is the head as of cachedAt: as read last, or as written when the
	// shard was taken or closed. It names the owner to callers.
	cachedHead storedHead
	cachedAt   time.Time
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

// do runs or replays a request. It blocks until the request has ended or ctx ends;
// when it has called run, it waits for run also after ctx has ended. It returns
// errNotServing when this process does not serve the shard; nothing was run for this
// request then.
func (s *shard) do(ctx context.Context, request Request, run func() Outcome) (Result, error) {
	id := request.ID()
	s.mu.Lock()
	if !s.owned || s.closing {
		s.mu.Unlock()
		return Result{}, errNotServing
	}
	if first := s.entries[id]; first != nil {
		done, journaled := first.done, first.journaled
		s.mu.Unlock()
		if first.digest != request.Digest {
			return Result{}, &Error{Reason: ReasonConflict, OwnershipUnproven: !journaled}
		}
		return s.answerRepeat(ctx, first, done, request, run)
	}
	if err := s.checkAdmission(); err != nil {
		s.mu.Unlock()
		return Result{}, err
	}
	claimed := s.claim(id, request.Digest)
	woken := claimed.woken
	s.mu.Unlock()
	select {
	case <-woken:
	case <-ctx.Done():
	}
	if err := s.beginRun(claimed); err != nil {
		return Result{}, err
	}
	return s.finishRun(claimed, run())
}

// checkAdmission returns nil when a new key may be claimed, else an *Error. s.mu
// must be held.
func (s *shard) checkAdmission() error {
	if remaining := time.Until(s.doubtUntil); remaining > 0 {
		return &Error{Reason: ReasonInDoubt, RetryAfter: remaining}
	}
	if len(s.entries) >= s.m.options.MaxKeys {
		return &Error{Reason: ReasonFull, RetryAfter: retryFull}
	}
	return nil
}

// claim adds an entry for a new key and queues its claim for the journal. s.mu must
// be held.
func (s *shard) claim(id ID, digest Digest) *entry {
	claimed := &entry{
		id:     id,
		digest: digest,
		epoch:  s.epoch,
		woken:  make(chan struct{}),
		done:   make(chan struct{}),
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

// beginRun is the last check before the execution. A nil error means that the claim
// runs now. Otherwise the claim has ended: beginRun returns errNotServing when ownership
// ended while the claim waited, and an *Error when the claim was not woken in time.
func (s *shard) beginRun(claimed *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(claimed) {
		// The claim may be in the journal, so a successor treats the outcome as lost.
		s.endClaim(claimed, phaseOutcomeLost)
		return errNotServing
	}
	if !claimed.isWoken() {
		// Nothing was written to the journal that shows that this process still
		// owns the shard, so a successor may have run the key.
		s.releaseKey(claimed, nil)
		return &Error{Reason: ReasonNotRun, RetryAfter: retryNotRun, OwnershipUnproven: true}
	}
	invariant.Check(claimed.phase == phaseClaimed, "once.single_execution", "key %x begins in phase %d", claimed.id, claimed.phase)
	invariant.Check(claimed.journaled || claimed.grantedUnjournaled, "once.claim_before_run", "key %x", claimed.id)
	claimed.phase = phaseRunning
	return nil
}

// isCurrent reports whether the entry belongs to the epoch that this process serves
// now. s.mu must be held.
func (s *shard) isCurrent(e *entry) bool {
	return s.owned && e.epoch == s.epoch
}

// isWoken reports whether the claim no longer waits: it may run, it has ended, or this
// process stopped owning the shard. The shard's mutex must be held.
func (e *entry) isWoken() bool {
	if e.woken == nil {
		return true
	}
	select {
	case <-e.woken:
		return true
	default:
		return false
	}
}

// finishRun records the outcome of an execution and returns the caller's answer.
func (s *shard) finishRun(claimed *entry, outcome Outcome) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome.State {
	case StateRan:
		claimed.hasAnswer = len(outcome.Answer) <= maxKeptAnswerBytes
		if claimed.hasAnswer {
			claimed.answer = outcome.Answer
		}
		s.endClaim(claimed, phaseDone)
		s.journalOutcome(claimed)
		return Result{Answer: outcome.Answer}, nil
	case StateNotRun:
		s.releaseKey(claimed, outcome.Answer)
		return Result{}, &Error{Reason: ReasonNotRun, Cause: outcome.Answer, RetryAfter: retryNotRun}
	default:
		claimed.answer = outcome.Answer
		s.endClaim(claimed, phaseOutcomeLost)
		s.scheduleExpiry(claimed)
		return Result{}, &Error{Reason: ReasonOutcomeUnknown, Cause: outcome.Answer}
	}
}

// scheduleExpiry lets an ended entry expire after the horizon. s.mu must be held.
func (s *shard) scheduleExpiry(ended *entry) {
	if s.isCurrent(ended) {
		s.expiries = append(s.expiries, expiry{ended.id, ended, time.Now().Add(s.m.options.Horizon())})
	}
}

// journalOutcome queues an outcome for the journal and lets its entry expire after
// the horizon. s.mu must be held.
func (s *shard) journalOutcome(ended *entry) {
	if !s.isCurrent(ended) {
		return
	}
	s.scheduleExpiry(ended)
	s.journal.addPending(ended.outcomeRecord())
	s.journal.scheduleWrite()
}

// releaseKey ends a claim that was not run and removes its key from the table, so
// that a repeat runs. cause is the execution's own report, if any. s.mu must be held.
func (s *shard) releaseKey(claimed *entry, cause []byte) {
	claimed.answer = cause
	s.endClaim(claimed, phaseReleased)
	if !s.isCurrent(claimed) || s.entries[claimed.id] != claimed {
		return
	}
	delete(s.entries, claimed.id)
	claimed.wake()
	s.journal.addPending(claimed.releaseRecord())
	s.journal.scheduleWrite()
}

// endClaim sets the final phase of a claim and answers the repeats that wait for it.
// s.mu must be held.
func (s *shard) endClaim(claimed *entry, final phase) {
	claimed.phase = final
	close(claimed.done)
	// An ended entry stays in memory for the horizon and needs no channels.
	claimed.done = nil
	claimed.woken = nil
	if s.isCurrent(claimed) {
		s.activeClaims--
	}
}

// answerRepeat waits for the first request with the key and returns its answer. It
// runs the request if the first one released the key without running. done is the
// channel of first, or nil when the first request has ended.
func (s *shard) answerRepeat(ctx context.Context, first *entry, done <-chan struct{}, request Request, run func() Outcome) (Result, error) {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return Result{}, &Error{Reason: ReasonRunning, RetryAfter: retryRunning}
		}
	}
	s.mu.Lock()
	final := first.phase
	result, err := first.replay()
	ownershipEnded := !s.isCurrent(first)
	s.mu.Unlock()
	if final == phaseReleased {
		return s.do(ctx, request, run)
	}
	if final == phaseOutcomeLost && ownershipEnded {
		return Result{}, errNotServing
	}
	return result, err
}

// evictExpired removes keys whose horizon has passed. It also ends the shard's doubt
// when that is over, and schedules a write of a head that is not marked doubtful.
func (s *shard) evictExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.doubtUntil.IsZero() && !now.Before(s.doubtUntil) {
		s.doubtUntil = time.Time{}
		s.journal.scheduleWrite()
	}
	n := 0
	for n < len(s.expiries) && !now.Before(s.expiries[n].at) {
		expired := s.expiries[n]
		if s.entries[expired.id] == expired.entry {
			delete(s.entries, expired.id)
		}
		n++
	}
	if n > 0 {
		s.expiries = append([]expiry(nil), s.expiries[n:]...)
	}
}

// requestCommit wakes the commit loop. It does not block.
func (s *shard) requestCommit() {
	select {
	case s.commitRequests <- struct{}{}:
	default:
	}
}

// loseOwnership ends ownership after another owner was found in the store. Waiting
// claims do not run.
func (s *shard) loseOwnership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		s.endOwnership()
	}
}

// endOwnership drops the table and the journal and wakes the waiting claims, which
// then find that the shard is not owned. Running claims keep their own entries. s.mu
// must be held.
func (s *shard) endOwnership() {
	s.owned = false
	s.closing = false
	for _, claimed := range s.journal.waitingClaims {
		claimed.wake()
	}
	s.entries = nil
	s.expiries = nil
	s.journal = journal{}
	close(s.ownershipEnded)
}

// wake lets a waiting claim go on, unless that was done before. beginRun then checks
// whether the claim may run. The shard's mutex must be held.
func (e *entry) wake() {
	if !e.isWoken() {
		close(e.woken)
	}
}
