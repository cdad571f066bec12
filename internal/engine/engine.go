// Package engine defines the interface between an agent and the model engine on its
// host. Each driver implements the protocol of one kind of engine.
//
// An engine serves many runs at a time and streams the tokens of each. The agent
// also reads its load four times a second and follows the events of its cache.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrStaleFence reports an order whose fencing token is older than that of an
	// order which the engine has accepted.
	ErrStaleFence = errors.New("fencing number is stale")
	// ErrNotLoaded reports that the engine has not loaded the requested weights.
	ErrNotLoaded = errors.New("weights not loaded")
	// ErrBusy reports that the engine refused a run before starting it.
	ErrBusy = errors.New("engine busy")
	// ErrUnreachable reports that no byte of the request reached the engine. It also
	// covers a request that could not be encoded and a ctx that ended before the
	// connection was open. It corresponds to service.ErrNotSent.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrIncompleteAnswer reports that the engine may have received the request, but that its
	// answer did not arrive, ended before the end event or could not be decoded. It corresponds
	// to service.ErrOutcomeUnknown.
	ErrIncompleteAnswer = errors.New("stream lost")
	// ErrWrongRequest reports an answer that belongs to another request.
	ErrWrongRequest = errors.New("answer of another request")
)

// RunRequest is a prompt to run.
type RunRequest struct {
	RequestID string `json:"request_id"`
	// Salt separates the cached blocks of customers, models and weights.
	Salt      uint64 `json:"salt"`
	Weights   string `json:"weights"`
	Prompt    []byte `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Priority  int32  `json:"priority"`
	// ResumeOffset is the number of tokens that an earlier run, on any engine, has
	// generated. The run continues after them.
	ResumeOffset int64 `json:"resume_offset,omitempty"`
	// Generated is the text of the tokens before ResumeOffset.
	Generated []byte `json:"generated,omitempty"`
}

// EventType is the type of an event of a run.
type EventType string

// The events of a run in their order: one start, any number of tokens, one end.
const (
	EventStart  EventType = "start"
	EventTokens EventType = "tokens"
	EventEnd    EventType = "end"
)

// Check returns an error that wraps ErrIncompleteAnswer if the type is none of these: an engine
// that fails may say so in an event, which must not be taken for the end of its run.
func (t EventType) Check() error {
	switch t {
	case EventStart, EventTokens, EventEnd:
		return nil
	default:
		return fmt.Errorf("%w: event of type %q", ErrIncompleteAnswer, string(t))
	}
}

// RunEvent is an event of a running request.
type RunEvent struct {
	Type      EventType `json:"type"`
	RequestID string    `json:"request_id"`
	// Offset is the position in the answer of the first token of Text, in tokens.
	Offset int64 `json:"offset,omitempty"`
	// Count is the number of generated tokens in Text.
	Count        int64  `json:"count,omitempty"`
	Text         string `json:"text,omitempty"`
	PromptTokens int64  `json:"prompt_tokens,omitempty"`
	CachedTokens int64  `json:"cached_tokens,omitempty"`
	// CompletionTokens is the number of generated tokens of the whole answer,
	// including those before ResumeOffset.
	CompletionTokens int64  `json:"completion_tokens,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	Incarnation      uint64 `json:"incarnation,omitempty"`
}

// Run is a running request. Next blocks until the next event, and returns io.EOF after the end
// event and an error wrapping ErrIncompleteAnswer when the stream ends before it or has an event of
// another type.
// Close cancels a run that has not ended. Next must be called by one goroutine at a
// time; Close is safe for concurrent use.
type Run interface {
	Next() (RunEvent, error)
	Close() error
}

// BufferedRun is implemented by runs that can report whether another event has arrived.
type BufferedRun interface {
	// Buffered reports whether an event has arrived that Next has not returned. Next
	// then does not block. It is false after the end event.
	Buffered() bool
}

// Load is the engine's report of its loaded weights, requests and cache.
type Load struct {
	// Incarnation identifies the incarnation of the engine: one run of its process. It
	// increases with each restart.
	Incarnation uint64   `json:"incarnation"`
	Weights     []string `json:"weights"`
	Loading     string   `json:"loading,omitempty"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	BatchLimit  int      `json:"batch_limit"`
	// CachedBlocks is the number of blocks in the cache.
	CachedBlocks int `json:"cached_blocks"`
	// CacheBlocks is the number of blocks that fit in the cache.
	CacheBlocks int `json:"cache_blocks"`
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is the ratio of prompt bytes to tokens that the engine measures.
	BytesPerToken float64 `json:"bytes_per_token"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	// AgeMillis is the age of the report in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEventKind is the kind of a change of an engine's cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's cache. Sequence increases by one with each
// event; a gap means that events were lost. In each incarnation of the engine it
// starts again.
type CacheEvent struct {
	Sequence    uint64         `json:"seq"`
	Incarnation uint64         `json:"incarnation"`
	Kind        CacheEventKind `json:"kind"`
	Salt        uint64         `json:"salt,omitempty"`
	Hashes      []uint64       `json:"hashes,omitempty"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is a command to an engine that changes what it serves. Fence is its fencing
// token: the engine refuses an order whose token is older than one it has accepted.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Fence    uint64    `json:"fence"`
	Weights  string    `json:"weights,omitempty"`
	Adapters []string  `json:"adapters,omitempty"`
	Role     string    `json:"role,omitempty"`
}

// Transfer is the result of copying cache blocks from or to the cache store, or of a
// lookup there.
type Transfer struct {
	// Blocks is the number of leading requested blocks that the destination of the
	// copy then holds, including those that it held before. For a lookup it is the
	// number that the cache store holds.
	Blocks int `json:"blocks"`
}

// Driver is a client of one engine. Methods are safe for concurrent use and block
// until the engine answers or ctx ends.
type Driver interface {
	// Run starts a request. After ErrBusy, ErrNotLoaded and ErrUnreachable the request
	// has not started; after any other error it may have.
	Run(ctx context.Context, request RunRequest) (Run, error)
	// Cancel stops a request. It returns nil when the engine does not know the request.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the engine's latest report.
	Load(ctx context.Context) (Load, error)
	// Events streams the cache events of the current incarnation with a sequence number
	// above after. With 0 it streams all that the engine still has. The channel is
	// closed when ctx ends or the stream breaks.
	Events(ctx context.Context, after uint64) (<-chan CacheEvent, error)
	// Import copies blocks from the cache store into the engine's cache.
	Import(ctx context.Context, salt uint64, hashes []uint64) (Transfer, error)
	// Export copies blocks from the engine's cache into the cache store.
	Export(ctx context.Context, salt uint64, hashes []uint64) (Transfer, error)
	// Stored returns how many leading blocks of hashes the cache store holds.
	Stored(ctx context.Context, salt uint64, hashes []uint64) (int, error)
	// Order sends an order. It returns when the engine has accepted it, which may be
	// before the order is carried out.
	Order(ctx context.Context, order Order) error
}

// LoadInterval is the interval at which an agent requests the load of its engine.
const LoadInterval = 250 * time.Millisecond
