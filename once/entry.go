package once

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// phase is the progress of a key's first request.
type phase uint8

const (
	// phaseClaimed waits for the journal.
	phaseClaimed phase = iota
	// phaseRunning was allowed to run.
	phaseRunning
	// phaseDone has an outcome.
	phaseDone
	// phaseOutcomeLost may have run; its outcome is lost.
	phaseOutcomeLost
	// phaseReleased was not run; the entry has left the table.
	phaseReleased
)

// entry is one remembered key. Its fields are guarded by the shard's mutex.
type entry struct {
	id     ID
	digest Digest
	// epoch is the owner's epoch in which the key was claimed or read.
	epoch uint64
	phase phase
	// journaled says that the claim is in the store.
	journaled bool
	// grantedUnjournaled says that the claim was allowed to run before it was in the store.
	grantedUnjournaled bool
	// hasAnswer says that answer holds the answer of an execution.
	hasAnswer bool
	answer    []byte
	// granted is closed when the claim may run or the shard was lost; nil once it has ended.
	granted chan struct{}
	// done is closed with the outcome; nil once the first request has ended.
	done chan struct{}
}

// expiry says when an entry may be forgotten.
type expiry struct {
	id    ID
	entry *entry
	at    time.Time
}

// replay returns the answer for a repeat of an ended request.
func (e *entry) replay() (Result, error) {
	switch {
	case e.phase == phaseDone && e.hasAnswer:
		return Result{Answer: e.answer, Replayed: true}, nil
	case e.phase == phaseDone:
		return Result{}, &Error{Reason: ReasonAnswerLost}
	default:
		return Result{}, &Error{Reason: ReasonLost, Cause: e.answer}
	}
}

func (e *entry) claimRecord() *wirepb.OnceEntry {
	return &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_CLAIM, Id: e.id[:], Digest: e.digest[:]}
}

func (e *entry) outcomeRecord() *wirepb.OnceEntry {
	out := &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_OUTCOME, Id: e.id[:], Digest: e.digest[:]}
	if e.hasAnswer && len(e.answer) <= maxJournaledAnswerBytes {
		out.AnswerKept = true
		out.Answer = e.answer
	}
	return out
}

func (e *entry) releaseRecord() *wirepb.OnceEntry {
	return &wirepb.OnceEntry{Kind: wirepb.OnceEntryKind_ONCE_RELEASE, Id: e.id[:]}
}
