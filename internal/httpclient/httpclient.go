// Package httpclient has what the clients of HTTP services share: bounded dials,
// and the knowledge whether a service can have seen a request that failed.
package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
)

// NewTransport returns a transport that dials within a bounded time and keeps at
// most maxIdle unused connections to a host.
func NewTransport(maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdle,
	}
}

// Do sends a request. When it fails and sent is false there was no connection,
// so that the service cannot have seen the request.
func Do(client *http.Client, request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err = client.Do(request.WithContext(ctx))
	return response, connected.Load(), err
}
