// Package gateway forwards HTTP requests to upstreams. An upstream gets the caller's
// method, path and body unchanged, and the caller gets the upstream's status and body.
// Headers that concern one connection only are not forwarded. The gateway routes by
// metadata, which a Codec reads from and writes to headers. It parses no bodies except
// event streams: it splits them into events, so that it can resume them at another
// upstream, and the Codec reads the version of the weights from each event.
package gateway

import (
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Call is the metadata that a caller sends with a request.
type Call struct {
	// ID identifies the request. Upstreams repeat it in their responses.
	ID string
	// Key is the secret that identifies the customer. It is not forwarded.
	Key string
	// Timeout is the caller's timeout; 0 if the request specifies none.
	Timeout time.Duration
	Model   string
	// PromptTokens and OutputTokens bound the request's size.
	PromptTokens int64
	OutputTokens int64
	// HasTokenCounts reports whether the request specifies PromptTokens and OutputTokens.
	HasTokenCounts bool
	Parts          []balancer.Part
	// LastEventID is the ID of the event after which a stream resumes; empty for none.
	LastEventID string
	// ResumedID is the ID of the caller's attempt that brought the first event of the stream
	// which this request resumes; empty if it resumes none.
	ResumedID string
}

// ForwardMetadata is the metadata that the gateway sends to an upstream with a request.
type ForwardMetadata struct {
	Upstream string
	Customer string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Priority is the customer's priority, or the route's if the customer has none; 0 is
	// the highest.
	Priority int
	// Salt is the namespace of the request's cached parts; empty for plain services.
	Salt string
	// Version is the weights version that the upstream must have; 0 for any.
	Version int64
	// CopySource is the address of an engine or a cache store that holds parts which the
	// upstream lacks; empty for none.
	CopySource string
	// SaveStore is the address of the cache store in which the upstream should save the
	// parts; empty for none.
	SaveStore string
	// LastEventID is the ID of the event after which the stream resumes; empty for none.
	LastEventID string
}

// ResponseStatus is the information in the header of a response.
type ResponseStatus struct {
	// NotRun is true if the upstream did not and will not run the request.
	NotRun bool
	// Misdirected is true if the upstream that answered is not the addressed one or does
	// not have the weights that the request needs.
	Misdirected bool
	// InstanceID is the ID of the upstream incarnation that answered; empty if the response has
	// none.
	InstanceID string
	// IsComplete is true if the response has all headers that a successful response must have.
	// A successful response without them counts as a failure of the upstream.
	IsComplete bool
	// Version is the version of the weights that the response reports; 0 if it reports
	// none.
	Version int64
	// Notice is what the upstream states about itself.
	Notice catalog.Notice
	// NoticeError describes values of the notice that cannot be read and count as missing;
	// nil if there are none.
	NoticeError error
}

// Codec translates between HTTP headers and metadata. It must be safe for concurrent
// use.
type Codec interface {
	// Describe reads the metadata of a caller's request. A request for which it returns
	// an error is refused with status 400.
	Describe(r *http.Request) (*Call, error)
	// Headers returns the headers that an upstream gets in place of the caller's.
	Headers(in http.Header, call *Call, metadata *ForwardMetadata) http.Header
	// Classify reads the status and header of a response.
	Classify(status int, header http.Header) ResponseStatus
	// ResponseID returns the Call.ID of the request that a response with the given header
	// belongs to.
	ResponseID(header http.Header) string
	// EventVersion returns the version of the weights that an event of a stream reports; 0 if
	// it reports none.
	EventVersion(event []byte) int64
}
