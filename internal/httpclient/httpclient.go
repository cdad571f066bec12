// Package httpclient has code that the clients of HTTP services share: transports
// with a dial timeout, and requests that report whether the service can have received
// them.
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
	// maxHeadBytes is the largest size of the head of a response, together with those of
	// the 1xx responses before it.
	maxHeadBytes = 64 << 10
)

// NewTransport returns a transport with a dial timeout of 2 s. It keeps at most
// maxIdle idle connections to each host, and closes them after 30 s. A request whose
// response has a head larger than maxHeadBytes fails.
func NewTransport(maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdle,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Do sends a request and blocks until the header of the response has arrived. connected
// reports whether there was a connection for the request. When err is not nil and
// connected is false, the service cannot have received the request.
func Do(client *http.Client, request *http.Request) (response *http.Response, connected bool, err error) {
	var gotConn atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	response, err = client.Do(request.WithContext(ctx))
	return response, gotConn.Load(), err
}
