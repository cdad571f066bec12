package router

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// HeaderIdempotencyKey is the request header with the idempotency key. A caller
// that sends it may repeat the call with the same key.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKeyBytes bounds the memory that each stored idempotency key takes.
const maxIdempotencyKeyBytes = 256

// tokensPerCall is the number of tokens that one call of a plain service takes from
// the customer's limit.
const tokensPerCall = 1

// serveCall handles a call of a plain service.
func (s *Server) serveCall(c *gin.Context) {
	set := s.options.Source.Current()
	if set == nil {
		s.writeError(c, noConfigurationError())
		return
	}
	caller := identifyCaller(set, c.Request)
	route, failure := s.resolveCall(set, caller, c.Request.URL.Path)
	if failure != nil {
		s.writeError(c, failure)
		return
	}
	body, failure := s.readBody(c)
	if failure == nil && caller.exposesKey(c.Request, body) {
		failure = keyInContentError()
	}
	if failure == nil && len(c.GetHeader(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		failure = newRefusal(http.StatusBadRequest, "idempotency_key_too_long", "parse header", "the idempotency key is too long")
	}
	if failure != nil {
		s.writeError(c, failure)
		return
	}
	s.forwardCall(c, set, caller, route, body)
}

// resolveCall returns the route for path. It returns an error if the caller has no
// such route, or if the route requires a key and the configuration is stale.
func (s *Server) resolveCall(set *object.Set, caller callerIdentity, path string) (*object.Route, *apiError) {
	route := set.PathRoute(path, caller.customer)
	if route == nil && caller.customer == "" {
		return nil, caller.unauthorizedError()
	}
	if route == nil {
		return nil, newRefusal(http.StatusNotFound, "route_unknown", "find route", "no route for "+path)
	}
	return route, s.checkKeysVerifiable(route)
}

// forwardCall admits the call, forwards it to a plain service and writes the reply.
func (s *Server) forwardCall(c *gin.Context, set *object.Set, caller callerIdentity, route *object.Route, body []byte) {
	started := time.Now()
	customer := billedCustomer(set, route, caller)
	ctx, keyCtx, release := s.callContext(c, route, caller)
	defer release()
	ticket, err := s.admit(keyCtx, customer, tokensPerCall)
	// The key may have been withdrawn while the body was read or while the call
	// waited for admission.
	if failure := keyError(keyCtx, "admit", RunStateNotRun); failure != nil {
		if err == nil {
			ticket.Settle(0)
		}
		s.writeError(c, failure)
		return
	}
	if err != nil {
		s.writeError(c, s.callError(ctx, err, "admit"))
		return
	}
	if failure := s.checkStopping(); failure != nil {
		ticket.Settle(0)
		s.writeError(c, failure)
		return
	}
	defer ticket.Settle(tokensPerCall)
	request := callRequest(c, caller, customer, route, body)
	reply, err := s.options.Caller.Call(ctx, set, route, request)
	if failure := keyError(keyCtx, "call", callRunState(reply, err)); failure != nil {
		s.writeError(c, failure)
		return
	}
	if err != nil {
		s.writeError(c, s.callError(ctx, err, "call"))
		return
	}
	metrics.BoundedHistogram("router.call_us", "customer", request.Customer, "route", route.Name).Update(time.Since(started).Microseconds())
	s.writeReply(c, reply)
}

// callContext returns the contexts of a call and the function that releases them.
// Both contexts end when the call timeout expires. keyCtx also ends, with a cause,
// when the key becomes invalid. For an idempotent route, callCtx is the same as
// keyCtx, and both also end when the caller disconnects. A call on a route that is not
// idempotent must not be repeated. So that its outcome becomes known, neither context
// ends when the caller disconnects, and only keyCtx ends when the key becomes invalid.
func (s *Server) callContext(c *gin.Context, route *object.Route, caller callerIdentity) (callCtx, keyCtx context.Context, release func()) {
	parent := c.Request.Context()
	if !route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	callCtx, cancel := context.WithTimeout(parent, s.options.Limits.CallTimeout)
	keyCtx, stopWatching := s.keyWatcher.watch(callCtx, caller.key, route.Open)
	release = func() {
		stopWatching()
		cancel()
	}
	if route.Idempotent {
		return keyCtx, keyCtx, release
	}
	return callCtx, keyCtx, release
}

// callRunState returns the run state of a call. The error response reports it if the
// key became invalid during the call.
func callRunState(reply *wirepb.CallReply, err error) RunState {
	switch {
	case err != nil:
		return RunStateUnknown
	case reply.Refusal == nil:
		return RunStateRan
	default:
		return runStateFromWire(reply.Refusal.Run)
	}
}

// callError converts an error of a call in the given step to an error response.
func (s *Server) callError(ctx context.Context, err error, step string) *apiError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && step == "call" {
		return &apiError{
			Status: http.StatusGatewayTimeout, Code: "deadline",
			Message: "the call took too long", Step: step, Run: RunStateUnknown,
		}
	}
	return errorFromCause(err, step)
}

// callRequest returns the request for the agents. Its body digest covers the method,
// the path with the query, and the body.
func callRequest(c *gin.Context, caller callerIdentity, customer *object.Customer, route *object.Route, body []byte) *wirepb.CallRequest {
	digest := sha256.Sum256(append([]byte(c.Request.Method+" "+c.Request.URL.RequestURI()+"\n"), body...))
	request := &wirepb.CallRequest{
		RequestId:      requestID(c),
		Method:         c.Request.Method,
		Path:           c.Request.URL.RequestURI(),
		Body:           body,
		Idempotent:     route.Idempotent,
		IdempotencyKey: c.GetHeader(HeaderIdempotencyKey),
		BodyDigest:     digest[:],
		Route:          route.Name,
		Pool:           route.Pool,
	}
	if customer != nil {
		request.Customer = customer.Name
	}
	for name, values := range caller.forwardedHeader(c.Request.Header) {
		for _, value := range values {
			request.Headers = append(request.Headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	return request
}

// writeReply writes the reply of a plain service, or the refusal in its place, to
// the caller.
func (s *Server) writeReply(c *gin.Context, reply *wirepb.CallReply) {
	if reply.Refusal != nil {
		s.writeError(c, errorFromRefusal(reply.Refusal))
		return
	}
	for _, header := range reply.Headers {
		if isForwardedResponseHeader(header.Name) {
			c.Writer.Header().Add(header.Name, header.Value)
		}
	}
	c.Header(HeaderRun, string(RunStateRan))
	if reply.Replayed {
		c.Header("X-Greengage-Replayed", "true")
	}
	c.Writer.WriteHeader(int(reply.Status))
	_, _ = c.Writer.Write(reply.Body)
}

// isForwardedResponseHeader reports whether a header of a plain service's response
// is forwarded to the caller. Hop-by-hop headers and headers that the router sets
// itself are not.
func isForwardedResponseHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade",
		strings.ToLower(HeaderRequestID), strings.ToLower(HeaderRun):
		return false
	default:
		return true
	}
}
