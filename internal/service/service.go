// Package service defines the interface between an agent and the plain service on
// its host. A plain service is an upstream that is not a model engine. Calls and
// answers are held in memory as a whole.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

const (
	// MaxAnswerBytes is the size of the largest answer body that Do returns.
	MaxAnswerBytes = 4 << 20
	// maxHeadBytes is the largest head of an answer.
	maxHeadBytes = 64 << 10

	dialTimeout = 2 * time.Second
	// writeGrace is how long Do waits for the call to be written completely once an answer without
	// a length has ended.
	writeGrace = time.Second
)

var (
	// ErrNotSent reports that no byte of the call reached the service. It corresponds to
	// engine.ErrUnreachable.
	ErrNotSent = errors.New("call not sent")
	// ErrOutcomeUnknown reports that the call may or may not have run, or that it ran
	// and its answer was larger than MaxAnswerBytes or had another request id. It
	// corresponds to engine.ErrIncompleteAnswer.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// RequestIDHeader is the header with the request id, which the service may return
// in its answer. A different id in the answer is an error.
const RequestIDHeader = "X-Request-Id"

// Call is a call to a plain service. Do does not change Header and Body. Path is
// appended to the base URL of the service and may include a query.
type Call struct {
	RequestID string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
}

// Answer is what the service returned.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Driver is a client of one service. Do blocks until the whole answer has arrived
// or ctx ends. Its error wraps ErrNotSent only when no byte can have reached the
// service.
type Driver interface {
	Do(ctx context.Context, call Call) (Answer, error)
}

// HTTP is a Driver for a service with an HTTP interface. Each call uses its own
// connection, so that a late answer cannot be mistaken for the answer to another call.
type HTTP struct {
	baseURL string
	dialer  net.Dialer
}

// NewHTTP returns a driver for the service at baseURL, such as "http://127.0.0.1:8080".
func NewHTTP(baseURL string) *HTTP {
	return &HTTP{baseURL: baseURL, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do implements Driver. It returns an error wrapping ErrOutcomeUnknown when the
// answer is incomplete, is larger than MaxAnswerBytes, has another request id, or a status that
// no final answer can have. An answer without a length is complete only if the call was written
// completely.
func (h *HTTP) Do(ctx context.Context, call Call) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, h.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.Wrap(errors.Join(ErrNotSent, err), "build call", h.baseURL)
	}
	// With GetBody nil and Close set, the transport never retries a call.
	request.GetBody = nil
	request.Close = true
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, call.RequestID)

	written := make(chan error, 1)
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
			}
		},
	}))
	var connected atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := h.dialer.DialContext(ctx, network, address)
			if err == nil {
				connected.Store(true)
			}
			return conn, err
		},
	}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return Answer{}, fault.Wrap(errors.Join(ErrNotSent, err), "dial service", h.baseURL)
	}
	if err != nil {
		return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, err), "call service", h.baseURL)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK {
		return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, errStatus), fmt.Sprintf("read status %q", response.Status), h.baseURL)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil || len(body) > MaxAnswerBytes {
		return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, err), "read answer", h.baseURL)
	}
	if !isDelimited(response) {
		if err := awaitWrite(written); err != nil {
			return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, err), "write call", h.baseURL)
		}
	}
	if echoedID := response.Header.Get(RequestIDHeader); echoedID != "" && echoedID != call.RequestID {
		return Answer{}, fault.Wrap(ErrOutcomeUnknown, "match answer", h.baseURL)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// errStatus means that an answer has a status below 200, which no final answer can have.
var errStatus = errors.New("the status is not that of a final answer")

// isDelimited reports whether the end of an answer shows in the answer itself, and not only in the
// end of its connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// errNotWritten means that the answer ended before the call was written completely.
var errNotWritten = errors.New("the call was not written completely when the answer ended")

// awaitWrite returns nil if the call was written completely. If the connection is reset while the
// call is being written, the write gets the error, and a read of the answer may see a regular end.
func awaitWrite(written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-time.After(writeGrace):
		return errNotWritten
	}
}
