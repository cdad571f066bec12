package app

import (
	"math"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/wire"
)

const (
	// receivedFraction is the fraction of the memory that peers' streams may take with what they
	// have received and their handlers have not taken.
	receivedFraction = 0.125
	// peerFDFraction is the fraction of the descriptors that connections of peers may take.
	peerFDFraction = 0.125
	// minPeerSessions is the least number of peers' connections.
	minPeerSessions = 16
)

const (
	// smallFDFraction is the fraction of the descriptors that connections to a listener that is not
	// for callers may take; their number is between minSmallConnections and maxSmallConnections.
	smallFDFraction     = 1.0 / 32
	minSmallConnections = 8
	maxSmallConnections = 64
	// smallHeadBytes bounds the heads of all requests to such a listener.
	smallHeadBytes = 1 << 20
	// smallHeaderBytes bounds the head of one request.
	smallHeaderBytes = 16 << 10
	// smallHeaderTimeout bounds the time to read such a head, and of the handshake before it.
	smallHeaderTimeout = 5 * time.Second
	// smallIdleTimeout is how long idle connections of such a listener are kept open.
	smallIdleTimeout = 30 * time.Second
	// operatorBodyTimeout bounds the time to read the body of an operator's request.
	operatorBodyTimeout = 20 * time.Second
	// smallWriteTimeout bounds a response, and so the length of a profile.
	smallWriteTimeout = 3 * time.Minute
)

// newSmallServer returns the server of a listener that is not for callers. bodyTimeout bounds the time
// for which the body of a request is read, also after the response; 0 means that bodies are not read.
// Without it a connection with a body that never ends would be kept without a time limit.
func newSmallServer(handler http.Handler, bodyTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				// The call fails only on a closed connection.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: smallHeaderTimeout,
		IdleTimeout:       smallIdleTimeout,
		WriteTimeout:      smallWriteTimeout,
		MaxHeaderBytes:    smallHeaderBytes,
	}
}

// smallLimits returns the bounds of a listener that is not for callers.
func (m *Memory) smallLimits() intake.Limits {
	connections := int(smallFDFraction * float64(m.maxFDs()))
	return intake.Limits{
		Connections: max(minSmallConnections, min(connections, maxSmallConnections)),
		HeadBytes:   smallHeadBytes,
		BodyBytes:   math.MaxInt64,
	}
}

// peerLimits returns the bounds on what peers may hold.
func (m *Memory) peerLimits(inner node.Inner) wire.Limits {
	limits := wire.DefaultLimits()
	limits.Sessions = max(minPeerSessions, min(limits.Sessions, int(peerFDFraction*float64(m.maxFDs()))))
	if inner.MaxSessions > 0 {
		limits.Sessions = inner.MaxSessions
	}
	if m.LimitMB > 0 {
		limits.ReceivedBytes = int64(receivedFraction * float64(m.LimitMB*megabyte))
	}
	return limits
}
