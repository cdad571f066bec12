// Package service describes a plain service to the agent beside it.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

const (
	// MaxAnswerBytes is the largest answer that is passed on.
	MaxAnswerBytes = 4 << 20

	dialTimeout = 2 * time.Second
)

var (
	// ErrNotSent reports that no byte of the call reached the service.
	ErrNotSent = errors.New("call not sent")
	// ErrOutcomeUnknown reports that the call may have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// RequestIDHeader carries the request's id to the service and back.
const RequestIDHeader = "X-Request-Id"

// Call is one call of a plain service.
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

// Driver makes calls on one service. Do returns an error wrapping ErrNotSent
// only when no byte can have reached the service.
type Driver interface {
	Do(ctx context.Context, call Call) (Answer, error)
}

// HTTP is a Driver for a service that speaks HTTP. Each call uses a connection
// of its own, so that no late answer can be taken for another's.
type HTTP struct {
	base   string
	dialer net.Dialer
}

// NewHTTP returns a driver for the service at base, such as "http://127.0.0.1:8080".
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do implements Driver.
func (h *HTTP) Do(ctx context.Context, call Call) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, h.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.Wrap(errors.Join(ErrNotSent, err), "build call", h.base)
	}
	// Without GetBody and with Close set, the transport never sends a call twice.
	request.GetBody = nil
	request.Close = true
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, call.RequestID)

	var connected atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
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
		return Answer{}, fault.Wrap(errors.Join(ErrNotSent, err), "dial service", h.base)
	}
	if err != nil {
		return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, err), "call service", h.base)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil || len(body) > MaxAnswerBytes {
		return Answer{}, fault.Wrap(errors.Join(ErrOutcomeUnknown, err), "read answer", h.base)
	}
	if echoed := response.Header.Get(RequestIDHeader); echoed != "" && echoed != call.RequestID {
		return Answer{}, fault.Wrap(ErrOutcomeUnknown, "match answer", h.base)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
