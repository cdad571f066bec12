// Package once runs calls that must not be repeated at most once for each
// idempotency key.
//
// The keys of a pool are hashed into a fixed number of shards. Each shard is
// owned by one process, recorded in the store with an epoch that grows with each
// change of owner. The owner keeps the keys' claims and answers in memory and
// writes each claim to the shard's journal before the call runs. Ownership has
// no term: it moves when the owner hands it over, to a new incarnation of the
// owner, or when the platform has dropped the owner's host for a while.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/digest"
)

// State says whether the operation of a key was executed.
type State uint8

// The states of an operation.
const (
	// StateUnknown means that it may have run.
	StateUnknown State = iota
	// StateNotRun means that it was not run.
	StateNotRun
	// StateRan means that it was run.
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

// ID names an idempotency key of one customer.
type ID [idBytes]byte

// Digest identifies the content of a request.
type Digest [digestBytes]byte

// Request asks for one execution.
type Request struct {
	Customer string
	// Key is the caller's idempotency key, unique within the customer.
	Key string
	// Digest covers all that the execution depends on.
	Digest Digest
}

// ID returns the name of the request's key.
func (r Request) ID() ID {
	hash := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Customer)))
	hash.Write(length[:])
	hash.Write([]byte(r.Customer))
	hash.Write([]byte(r.Key))
	return ID(hash.Sum(nil)[:idBytes])
}

// Sum returns the digest of a content given in parts.
func Sum(parts ...[]byte) Digest {
	sum := digest.Sum(parts...)
	return Digest(sum[:digestBytes])
}

// ShardOf maps a key to one of a number of shards. Callers outside of the pool
// use it as a hint only; the pool's own number is fixed in the store.
func ShardOf(id ID, shards int) int {
	return int(binary.LittleEndian.Uint64(id[:8]) % uint64(shards))
}

// Outcome is what came of an execution.
type Outcome struct {
	State State
	// Answer is kept and given to repeats when State is StateRan.
	Answer []byte
}

// Result is the answer for a request.
type Result struct {
	Answer []byte
	// Replayed says that an earlier request with the key was executed, not this one.
	Replayed bool
}

// Peer is a process that owns shards, or may.
type Peer struct {
	Process string
	Address string
	// Incarnation is higher in each life of the process. It may grow within a life.
	Incarnation uint64
}

// Transport carries messages between owners. Methods block until the peer has
// answered or ctx ends.
type Transport interface {
	// MarkUnjournaled asks a witness to remember an episode of calls without a journal. It
	// returns an error when the witness did not take it.
	MarkUnjournaled(ctx context.Context, witness Peer, mark UnjournaledMark) error
	// QueryUnjournaled asks a witness whether an episode is under way. It returns an error when
	// the witness can't tell, such as one that was started anew.
	QueryUnjournaled(ctx context.Context, witness Peer, ask UnjournaledQuery) (marked bool, err error)
	// Offer asks a peer whether it would own a shard. With closed set the shard's
	// record has no owner any more and the peer may take it at once.
	Offer(ctx context.Context, peer Peer, shard int, closed bool) (accepted bool, err error)
}

// Reason says why a request got no answer.
type Reason uint8

// The reasons of an Error.
const (
	// ReasonNotOwner means that another process arbitrates the key; see Error.Owner.
	ReasonNotOwner Reason = iota
	// ReasonUnavailable means that no arbiter can be named now.
	ReasonUnavailable
	// ReasonConflict means that the key came earlier with another content.
	ReasonConflict
	// ReasonRunning means that the first execution had not ended when the request's time was over.
	ReasonRunning
	// ReasonLost means that an execution was begun and its outcome was lost.
	ReasonLost
	// ReasonAnswerLost means that the execution ended and its answer was not kept.
	ReasonAnswerLost
	// ReasonInDoubt means that a former owner may have run calls without a journal.
	ReasonInDoubt
	// ReasonFull means that the shard remembers as many keys as it may.
	ReasonFull
	// ReasonNotRun means that the execution was given up before it began.
	ReasonNotRun
)

var reasonDetails = map[Reason]struct {
	text  string
	state State
}{
	ReasonNotOwner:    {"another process owns the key's shard", StateUnknown},
	ReasonUnavailable: {"the key's shard has no owner that can be asked", StateUnknown},
	ReasonConflict:    {"the key came earlier with another content", StateNotRun},
	ReasonRunning:     {"the first call with the key is still running", StateUnknown},
	ReasonLost:        {"the outcome of the first call with the key was lost", StateUnknown},
	ReasonAnswerLost:  {"the call with the key ran, its answer was not kept", StateRan},
	ReasonInDoubt:     {"a former owner of the key's shard may have run the call", StateUnknown},
	ReasonFull:        {"the key's shard remembers as many keys as it may", StateUnknown},
	ReasonNotRun:      {"the call was given up before it was sent", StateNotRun},
}

// Error is a request without an answer.
type Error struct {
	Reason Reason
	// Owner is the process to ask instead, with ReasonNotOwner.
	Owner Peer
	// RetryAfter is how long to wait before asking again; 0 when waiting does not help.
	RetryAfter time.Duration
	// OwnershipUnproven says that the owner could not prove that it still owns the shard, so
	// that another may have run the operation.
	OwnershipUnproven bool
	// Cause is the execution's own report, with ReasonNotRun and ReasonLost.
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

// State says what is known of the operation.
func (e *Error) State() State {
	if e.OwnershipUnproven {
		return StateUnknown
	}
	return reasonDetails[e.Reason].state
}
