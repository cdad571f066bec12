// Package engine describes a model engine to the agent beside it. Drivers speak
// one engine's protocol each.
package engine

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrStaleFence reports an order whose fencing number is older than one already obeyed.
	ErrStaleFence = errors.New("fencing number is stale")
	// ErrNotLoaded reports that the engine has not loaded the asked weights.
	ErrNotLoaded = errors.New("weights not loaded")
	// ErrBusy reports that the engine refused a run before starting it.
	ErrBusy = errors.New("engine busy")
	// ErrUnreachable reports that no byte of the request reached the engine.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrLost reports that the connection ended before the stream's end mark.
	ErrLost = errors.New("stream lost")
	// ErrCrossed reports an answer that belongs to another request.
	ErrCrossed = errors.New("answer of another request")
)

// RunRequest is a prompt to run.
type RunRequest struct {
	RequestID string `json:"request_id"`
	// Salt separates the caches of customers, models and weights.
	Salt      uint64 `json:"salt"`
	Weights   string `json:"weights"`
	Prompt    []byte `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Priority  int32  `json:"priority"`
	// ResumeOffset is the number of tokens generated earlier, elsewhere.
	ResumeOffset int64 `json:"resume_offset,omitempty"`
	// Generated is their text.
	Generated []byte `json:"generated,omitempty"`
}

// EventType tells the events of a run apart.
type EventType string

// The events of a run, in order: one start, tokens, one end.
const (
	EventStart  EventType = "start"
	EventTokens EventType = "tokens"
	EventEnd    EventType = "end"
)

// RunEvent is one step of a running request.
type RunEvent struct {
	Type      EventType `json:"type"`
	RequestID string    `json:"request_id"`
	// Offset is the position of the first token of Text.
	Offset           int64  `json:"offset,omitempty"`
	Count            int64  `json:"count,omitempty"`
	Text             string `json:"text,omitempty"`
	PromptTokens     int64  `json:"prompt_tokens,omitempty"`
	CachedTokens     int64  `json:"cached_tokens,omitempty"`
	CompletionTokens int64  `json:"completion_tokens,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	Incarnation      uint64 `json:"incarnation,omitempty"`
}

// Run is a running request. Next returns io.EOF after the end event, and
// ErrLost when the stream broke off. Close cancels a run that has not ended.
type Run interface {
	Next() (RunEvent, error)
	Close() error
}

// Buffered is implemented by runs that know whether a further event has arrived.
type Buffered interface {
	// Buffered reports whether Next returns without waiting.
	Buffered() bool
}

// Load is the engine's report of itself.
type Load struct {
	Incarnation  uint64   `json:"incarnation"`
	Weights      []string `json:"weights"`
	Loading      string   `json:"loading,omitempty"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	BatchLimit   int      `json:"batch_limit"`
	CachedBlocks int      `json:"cached_blocks"`
	CacheBlocks  int      `json:"cache_blocks"`
	BlockTokens  int      `json:"block_tokens"`
	// BytesPerToken is the engine's own ratio of prompt bytes to tokens.
	BytesPerToken float64 `json:"bytes_per_token"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	// AgeMillis is how old the report is.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEventKind tells the changes of an engine's cache apart.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's cache. Sequence numbers grow by one;
// a jump means that events were lost. They start again at a new incarnation.
type CacheEvent struct {
	Sequence    uint64         `json:"seq"`
	Incarnation uint64         `json:"incarnation"`
	Kind        CacheEventKind `json:"kind"`
	Salt        uint64         `json:"salt,omitempty"`
	Hashes      []uint64       `json:"hashes,omitempty"`
}

// OrderKind tells orders apart.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what an engine serves.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Fence    uint64    `json:"fence"`
	Weights  string    `json:"weights,omitempty"`
	Adapters []string  `json:"adapters,omitempty"`
	Role     string    `json:"role,omitempty"`
}

// Transfer reports a copy of cache blocks from or to the KV store.
type Transfer struct {
	// Blocks is the number of blocks copied, a prefix of those asked for.
	Blocks int `json:"blocks"`
}

// Driver speaks to one engine. Methods are safe for concurrent use and block
// until the engine answers or ctx ends.
type Driver interface {
	// Run starts a request. ErrBusy, ErrNotLoaded and ErrUnreachable mean that it
	// did not start; after any other error it may have.
	Run(ctx context.Context, request RunRequest) (Run, error)
	// Cancel stops a request. Cancelling an unknown request is no error.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the engine's latest report.
	Load(ctx context.Context) (Load, error)
	// Events streams cache events after a sequence number until ctx ends or the stream breaks.
	Events(ctx context.Context, after uint64) (<-chan CacheEvent, error)
	// Import copies blocks from the KV store into the engine's cache.
	Import(ctx context.Context, salt uint64, hashes []uint64) (Transfer, error)
	// Export copies blocks from the engine's cache into the KV store.
	Export(ctx context.Context, salt uint64, hashes []uint64) (Transfer, error)
	// Stored returns how many leading blocks of hashes the KV store holds.
	Stored(ctx context.Context, salt uint64, hashes []uint64) (int, error)
	// Order changes what the engine serves; it returns when the order is accepted.
	Order(ctx context.Context, order Order) error
}

// LoadInterval is how often an agent asks its engine for a report.
const LoadInterval = 250 * time.Millisecond
