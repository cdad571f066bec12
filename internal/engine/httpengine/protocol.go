// Package httpengine implements the driver of model engines with an HTTP interface.
// Events of a run and of the cache are streamed as one JSON object per line.
//
// A line carries a few tokens, so lines in the usual layout are encoded and decoded
// without reflection.
package httpengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// Paths of the engine's HTTP interface.
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

// Codes of refusals, in the field "code" of the JSON body.
const (
	CodeBusy       = "busy"
	CodeNotLoaded  = "not_loaded"
	CodeStaleFence = "stale_fence"
	CodeBadRequest = "bad_request"
)

const (
	// MaxRunBytes bounds the sum of prompt and generated text of an accepted run.
	MaxRunBytes = 16 << 20

	maxRunHeaderBytes = 64 << 10
)

// ErrBadRequest reports a request that violates the protocol.
var ErrBadRequest = errors.New("bad request")

// Refusal is the body of an answer with a status other than 200.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// BlocksRequest asks for cache blocks to be imported, exported or looked up.
type BlocksRequest struct {
	Salt   uint64   `json:"salt"`
	Hashes []uint64 `json:"hashes"`
}

// CancelRequest specifies the run to cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// runHeader is the first line of a run's body. The prompt and the generated text
// follow it unencoded, so that large prompts need no escaping.
type runHeader struct {
	RequestID      string `json:"request_id"`
	Salt           uint64 `json:"salt"`
	Weights        string `json:"weights"`
	MaxTokens      int64  `json:"max_tokens"`
	Priority       int32  `json:"priority,omitempty"`
	ResumeOffset   int64  `json:"resume_offset,omitempty"`
	PromptBytes    int    `json:"prompt_bytes"`
	GeneratedBytes int    `json:"generated_bytes,omitempty"`
}

// encodeRunHeader returns the first line of a run's body.
func encodeRunHeader(r engine.RunRequest) ([]byte, error) {
	line, err := json.Marshal(runHeader{
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

// ReadRun decodes the body of a run request, on the engine's side. It returns an
// error wrapping ErrBadRequest when the body is malformed, incomplete or larger than
// MaxRunBytes.
func ReadRun(body io.Reader) (engine.RunRequest, error) {
	reader := bufio.NewReaderSize(body, maxRunHeaderBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: head: %w", ErrBadRequest, err)
	}
	var header runHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: head: %w", ErrBadRequest, err)
	}
	if header.PromptBytes < 0 || header.GeneratedBytes < 0 || header.PromptBytes+header.GeneratedBytes > MaxRunBytes {
		return engine.RunRequest{}, fmt.Errorf("%w: size out of range", ErrBadRequest)
	}
	text := make([]byte, header.PromptBytes+header.GeneratedBytes)
	if _, err := io.ReadFull(reader, text); err != nil {
		return engine.RunRequest{}, fmt.Errorf("%w: text: %w", ErrBadRequest, err)
	}
	return engine.RunRequest{
		RequestID:    header.RequestID,
		Salt:         header.Salt,
		Weights:      header.Weights,
		Prompt:       text[:header.PromptBytes:header.PromptBytes],
		MaxTokens:    header.MaxTokens,
		Priority:     header.Priority,
		ResumeOffset: header.ResumeOffset,
		Generated:    text[header.PromptBytes:],
	}, nil
}
