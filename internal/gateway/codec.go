// Package gateway serves requests that are passed through whole: an upstream gets
// the caller's method, path and body unchanged, and the caller gets the upstream's
// answer unchanged. What a request is about is told by metadata, which a Codec
// reads from and writes to headers.
package gateway

import (
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
)

// Call is what a caller tells of a request beside its bytes.
type Call struct {
	// ID identifies the request; upstreams repeat it in their answers.
	ID string
	// Key is the caller's secret, which goes no further.
	Key string
	// Patience is how long the caller waits; 0 when it does not tell.
	Patience time.Duration
	Model    string
	// PromptTokens and OutputTokens bound the request's size.
	PromptTokens int64
	OutputTokens int64
	// Sized says that the two were told.
	Sized bool
	Parts []balancer.Part
	// LastEvent is the event after which a stream is to go on.
	LastEvent string
}

// ForwardMetadata is what an upstream is told beside the request's bytes.
type ForwardMetadata struct {
	Upstream string
	Customer string
	// Left is the time that is left for the request.
	Left     time.Duration
	Priority int
	// Salt names what cached parts belong to; empty for plain services.
	Salt string
	// Version is the weights version that the upstream must have; 0 for any.
	Version int64
	// Source is the address of an engine or a store that holds parts which the
	// upstream lacks; empty for none.
	Source string
	// Save is the address of the store that the parts should be saved in; empty for none.
	Save string
	// LastEvent is the event after which a stream is to go on.
	LastEvent string
}

// AnswerStatus is what an answer's head says.
type AnswerStatus struct {
	// NotRun says that the upstream did not and will not run the request.
	NotRun bool
	// Misdirected says that the upstream is another one, or has other weights.
	Misdirected bool
	// Life is the upstream that answered; empty when it does not tell.
	Life string
	// Sound says that a success carries all that a caller needs to rely on it.
	Sound bool
	// Version is the weights version that the answer tells; 0 when it tells none.
	Version int64
}

// Codec translates between headers and metadata.
type Codec interface {
	// Describe reads a caller's request. An error makes it a bad request.
	Describe(r *http.Request) (*Call, error)
	// Headers returns what an upstream gets in place of the caller's headers.
	Headers(in http.Header, call *Call, metadata *ForwardMetadata) http.Header
	// Classify reads the head of an answer.
	Classify(status int, header http.Header) AnswerStatus
	// IsAnswerTo reports whether an answer belongs to the call.
	IsAnswerTo(call *Call, header http.Header) bool
	// Version returns the weights version that an event tells; 0 when it tells none.
	Version(event []byte) int64
}
