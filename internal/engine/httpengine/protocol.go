// Package httpengine drives a model engine that speaks HTTP with one JSON
// object a line.
package httpengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// The engine's paths.
const (
	PathRun    = "/v1/run"
	PathCancel = "/v1/cancel"
	PathLoad   = "/v1/load"
	PathEvents = "/v1/events"
	PathImport = "/v1/import"
	PathExport = "/v1/export"
	PathStored = "/v1/stored"
	PathOrder  = "/v1/order"
)

// Codes of refusals, sent in the field "code" of a JSON body.
const (
	CodeBusy       = "busy"
	CodeNotLoaded  = "not_loaded"
	CodeStaleFence = "stale_fence"
	CodeBadRequest = "bad_request"
)

const (
	// MaxRunBytes is the largest prompt with generated text that is accepted.
	MaxRunBytes = 16 << 20

	maxHeadBytes = 64 << 10
)

// ErrBadRequest reports a request that does not follow the protocol.
var ErrBadRequest = errors.New("bad request")

// Refusal is the body of each answer that is not 200.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// BlocksRequest asks for cache blocks to be imported, exported or looked up.
type BlocksRequest struct {
	Salt   uint64   `json:"salt"`
	Hashes []uint64 `json:"hashes"`
}

// CancelRequest names a run to cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// runHead is the first line of a run's body. The prompt and the generated text
// follow it as they are, so that large prompts need no escaping.
type runHead struct {
	RequestID      string `json:"request_id"`
	Salt           uint64 `json:"salt"`
	Weights        string `json:"weights"`
	MaxTokens      int64  `json:"max_tokens"`
	Priority       int32  `json:"priority,omitempty"`
	ResumeOffset   int64  `json:"resume_offset,omitempty"`
	PromptBytes    int    `json:"prompt_bytes"`
	GeneratedBytes int    `json:"generated_bytes,omitempty"`
}

// encodeHead returns the first line of a run's body.
func encodeHead(r engine.RunRequest) ([]byte, error) {
	line, err := json.Marshal(runHead{
		RequestID:      r.RequestID,
		Salt:           r.Salt,
		Weights:        r.Weights,
		MaxTokens:      r.MaxTokens,
		Priority:       r.Priority,
		ResumeOffset:   r.ResumeOffset,
		PromptBytes:    len(r.Prompt),
		GeneratedBytes: len(r.Generated),
	})
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// ReadRun reads the body of a run request. Engines call it.
func ReadRun(body io.Reader) (engine.RunRequest, error) {
	reader := bufio.NewReaderSize(body, maxHeadBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: head: %w", ErrBadRequest, err)
	}
	var head runHead
	if err := json.Unmarshal(line, &head); err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: head: %w", ErrBadRequest, err)
	}
	if head.PromptBytes < 0 || head.GeneratedBytes < 0 || head.PromptBytes+head.GeneratedBytes > MaxRunBytes {
		return engine.RunRequest{}, fmt.Errorf("%w: size out of range", ErrBadRequest)
	}
	text := make([]byte, head.PromptBytes+head.GeneratedBytes)
	if _, err := io.ReadFull(reader, text); err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: text: %w", ErrBadRequest, err)
	}
	return engine.RunRequest{
		RequestID:    head.RequestID,
		Salt:         head.Salt,
		Weights:      head.Weights,
		Prompt:       text[:head.PromptBytes:head.PromptBytes],
		MaxTokens:    head.MaxTokens,
		Priority:     head.Priority,
		ResumeOffset: head.ResumeOffset,
		Generated:    text[head.PromptBytes:],
	}, nil
}
