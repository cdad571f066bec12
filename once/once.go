// Package once executes non-idempotent requests at most once for each idempotency
// key and answers repeats with the answer of the first request.
//
// A request carries a key and the digest of its content. An execution is one run of
// the function that the caller passes with the request; only an execution has an
// effect outside this package. A claim records that a request's key is in use.
//
// The keys of a pool are hashed into a fixed number of shards. Each shard is
// owned by one process. The store holds a head for each shard: its owner, an
// epoch that grows with each change of owner, and the journal's newest records (the
// tail). Older records are in segments, which the head names. The owner keeps the
// claims and answers of its keys in memory and writes each claim to the journal before
// the execution starts. One write carries all claims that arrived since the previous
// write, and Options.CommitsPerSecond bounds the writes.
//
// Ownership does not expire. It moves when the owner hands the shard over, when
// a new incarnation of the owner takes it, or when the owner's host has been
// absent from the platform's list of hosts for Options.DropAfter.
//
// While the store fails, an owner runs claims without the journal, but only after a
// witness has recorded this unjournaled period. Witnesses are other processes that the
// shard's head names. If the owner did not hand the shard over, its successor asks all
// of them before it relies on the journal. If they can't rule out unjournaled
// executions, or the head names none, the shard is doubtful: it refuses new keys for one
// horizon (Options.Horizon, the time for which keys are remembered).
package once

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/digest"
)

// State reports whether a request with this key and this content was executed.
type State uint8

// The states of a request.
const (
	// StateUnknown means that an execution may have run.
	StateUnknown State = iota
	// StateNotRun means that no execution ran.
	StateNotRun
	// StateRan means that an execution ran.
	StateRan
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case StateNotRun:
		return "not-run"
	case StateRan:
		return "ran"
	default:
		return "unknown"
	}
}

const (
	idBytes     = 16
	digestBytes = 16
)

// ID identifies an idempotency key of one customer.
type ID [idBytes]byte

// Digest identifies the content of a request.
type Digest [digestBytes]byte

// Request asks for one execution.
type Request struct {
	Customer string
	// Key is the caller's idempotency key, unique within the customer.
	Key string
	// Digest covers everything that the result of the execution depends on.
	Digest Digest
}

// ID returns the ID of the request's customer and key. The length of the customer's
// name is hashed as well, so that no two pairs have the same input.
func (r Request) ID() ID {
	hash := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Customer)))
	hash.Write(length[:])
	hash.Write([]byte(r.Customer))
	hash.Write([]byte(r.Key))
	return ID(hash.Sum(nil)[:idBytes])
}

// ContentDigest returns the digest of a request's content, which is given in parts.
func ContentDigest(parts ...[]byte) Digest {
	sum := digest.Sum(parts...)
	return Digest(sum[:digestBytes])
}

// ShardOf returns the shard of a key, from 0 to shards-1. Callers outside the pool
// use it only as a hint, because their number of shards may differ from the
// pool's, which is fixed in the store.
func ShardOf(id ID, shards int) int {
	return int(binary.LittleEndian.Uint64(id[:8]) % uint64(shards))
}

// Outcome is the result of an execution.
type Outcome struct {
	State State
	// Answer is the answer that repeats get, when State is StateRan. Otherwise it is
	// the execution's own report, which becomes Error.Cause.
	Answer []byte
}

// Result is the answer for a request.
type Result struct {
	Answer []byte
	// Replayed is true when Answer is that of an earlier request with the key, and
	// this request was not executed.
	Replayed bool
}

// Peer is a process that owns shards or may own them.
type Peer struct {
	Process string
	Address string
	// Incarnation is the number of the process's incarnation. Each start raises it, and
	// membership may raise it further while the process runs.
	Incarnation uint64
}

// Transport carries messages between owners. Methods block until the peer has
// replied or ctx ends.
type Transport interface {
	// MarkUnjournaled asks a witness to record the begin or end of an unjournaled
	// period. It returns an error when the witness did not record it.
	MarkUnjournaled(ctx context.Context, witness Peer, mark UnjournaledMark) error
	// QueryUnjournaled asks a witness whether the owner of an epoch is in an
	// unjournaled period. From then on the witness refuses marks of that epoch. It
	// returns an error when the witness can't tell, for example because it restarted.
	QueryUnjournaled(ctx context.Context, witness Peer, query UnjournaledQuery) (periodOpen bool, err error)
	// Offer asks a peer whether it accepts a shard. If closed is true, the owner has
	// given the shard up, and the peer should take it now.
	Offer(ctx context.Context, peer Peer, shard int, closed bool) (accepted bool, err error)
}

// Reason says why a request got no answer.
type Reason uint8

// The reasons of an Error.
const (
	// ReasonNotOwner means that another process owns the key's shard; see Error.Owner.
	ReasonNotOwner Reason = iota
	// ReasonUnavailable means that the owner of the key's shard can't be determined now.
	ReasonUnavailable
	// ReasonConflict means that an earlier request used the key with different content.
	ReasonConflict
	// ReasonRunning means that the first execution was still running when the
	// request's context ended.
	ReasonRunning
	// ReasonOutcomeUnknown means that an execution may have started and its outcome is unknown.
	ReasonOutcomeUnknown
	// ReasonAnswerLost means that the execution ran and its answer was not kept.
	ReasonAnswerLost
	// ReasonInDoubt means that a former owner may have run calls without the journal.
	ReasonInDoubt
	// ReasonFull means that the shard holds its maximum number of keys.
	ReasonFull
	// ReasonNotRun means that the request was abandoned before its execution began,
	// or that the execution reported StateNotRun.
	ReasonNotRun
)

var reasonDetails = map[Reason]struct {
	text  string
	state State
}{
	ReasonNotOwner:       {"another process owns the key's shard", StateUnknown},
	ReasonUnavailable:    {"the key's shard has no owner that can be asked", StateUnknown},
	ReasonConflict:       {"the key came earlier with another content", StateNotRun},
	ReasonRunning:        {"the first call with the key is still running", StateUnknown},
	ReasonOutcomeUnknown: {"the outcome of the first call with the key was lost", StateUnknown},
	ReasonAnswerLost:     {"the call with the key ran, its answer was not kept", StateRan},
	ReasonInDoubt:        {"a former owner of the key's shard may have run the call", StateUnknown},
	ReasonFull:           {"the key's shard remembers as many keys as it may", StateUnknown},
	ReasonNotRun:         {"the call was given up before it was sent", StateNotRun},
}

// Error reports why a request got no answer.
type Error struct {
	Reason Reason
	// Owner is the process to send the request to; set only with ReasonNotOwner.
	Owner Peer
	// RetryAfter is the time to wait before a retry; 0 when waiting does not help.
	RetryAfter time.Duration
	// OwnershipUnproven is true when the process could not prove that it still owns
	// the shard. Another process may have executed the request.
	OwnershipUnproven bool
	// Cause is the execution's own report; set only with ReasonNotRun and ReasonOutcomeUnknown.
	Cause []byte
}

// Error implements error.
func (e *Error) Error() string {
	text := reasonDetails[e.Reason].text
	if e.Reason == ReasonNotOwner {
		return fmt.Sprintf("%s: %s at %s", text, e.Owner.Process, e.Owner.Address)
	}
	return text
}

// State returns what is known about the request's execution. It is StateUnknown when
// OwnershipUnproven is set, whatever the reason.
func (e *Error) State() State {
	if e.OwnershipUnproven {
		return StateUnknown
	}
	return reasonDetails[e.Reason].state
}
