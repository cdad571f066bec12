package once

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// phase is the progress of the first request with a key.
type phase uint8

const (
	// phaseClaimed is a claim that waits until it may run.
	phaseClaimed phase = iota
	// phaseRunning is a claim that was allowed to run.
	phaseRunning
	// phaseDone is a request that ran and has an outcome.
	phaseDone
	// phaseOutcomeLost is a request that may have run and whose outcome is unknown.
	phaseOutcomeLost
	// phaseReleased is a claim that was not run. Its entry was removed from the table.
	phaseReleased
)

// entry is the state of one remembered key. Its fields are guarded by the shard's mutex.
type entry struct {
	id     ID
	digest Digest
	// epoch is the owner's epoch in which the key was claimed or read from the journal.
	epoch uint64
	phase phase
	// journaled is true when the store holds the claim.
	journaled bool
	// grantedUnjournaled is true when the claim was allowed to run before the store held it.
	grantedUnjournaled bool
	// hasAnswer is true when answer holds the answer of an execution.
	hasAnswer bool
	// answer is what repeats get. For a request that did not run, or whose outcome is
	// unknown, it is Outcome.Answer, which is returned as Error.Cause.
	answer []byte
	// woken is closed when the claim may run, or when this process stops owning
	// the shard; nil once the claim has ended.
	woken chan struct{}
	// done is closed when the first request ends; nil from then on.
	done chan struct{}
}

// expiry is an ended entry and the time from which it may be evicted.
type expiry struct {
	id    ID
	entry *entry
	at    time.Time
}

// replay returns the answer to a repeat of a request that has ended. The result is
// meaningless for phaseReleased. The shard's mutex must be held.
func (e *entry) replay() (Result, error) {
	switch {
	case e.phase == phaseDone && e.hasAnswer:
		return Result{Answer: e.answer, Replayed: true}, nil
	case e.phase == phaseDone:
		return Result{}, &Error{Reason: ReasonAnswerLost}
	default:
		return Result{}, &Error{Reason: ReasonOutcomeUnknown, Cause: e.answer}
	}
}

func (e *entry) claimRecord() *wirepb.OnceEntry {
	return &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_CLAIM, Id: e.id[:], Digest: e.digest[:]}
}

// outcomeRecord returns the journal record of an execution. It leaves out an
// answer that is longer than maxJournaledAnswerBytes.
func (e *entry) outcomeRecord() *wirepb.OnceEntry {
	record := &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_OUTCOME, Id: e.id[:], Digest: e.digest[:]}
	if e.hasAnswer && len(e.answer) <= maxJournaledAnswerBytes {
		record.AnswerKept = true
		record.Answer = e.answer
	}
	return record
}

func (e *entry) releaseRecord() *wirepb.OnceEntry {
	return &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_RELEASE, Id: e.id[:]}
}
