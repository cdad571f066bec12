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

// HeaderIdempotencyKey names a call that its caller may repeat.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKeyBytes bounds what is remembered for each key.
const maxIdempotencyKeyBytes = 256

// callTokens is what a call of a plain service counts against the limit.
const callTokens = 1

// serveCall forwards a request to a plain service.
func (s *Server) serveCall(c *gin.Context) {
	set := s.options.Source.Current()
	if set == nil {
		s.fail(c, noConfiguration())
		return
	}
	who := identify(set, c.Request)
	route, failure := s.resolveCall(set, who, c.Request.URL.Path)
	if failure != nil {
		s.fail(c, failure)
		return
	}
	body, failure := s.readBody(c)
	if failure == nil && who.leaksKey(c.Request, body) {
		failure = keyInContent()
	}
	if failure == nil && len(c.GetHeader(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		failure = refuse(http.StatusBadRequest, "idempotency_key_too_long", "parse header", "the idempotency key is too long")
	}
	if failure != nil {
		s.fail(c, failure)
		return
	}
	s.forwardCall(c, set, who, route, body)
}

func (s *Server) resolveCall(set *object.Set, who caller, path string) (*object.Route, *apiError) {
	route := set.PathRoute(path, who.customer)
	if route == nil && who.customer == "" {
		return nil, who.unauthorized()
	}
	if route == nil {
		return nil, refuse(http.StatusNotFound, "route_unknown", "find route", "no route for "+path)
	}
	return route, s.checkFresh(route)
}

func (s *Server) forwardCall(c *gin.Context, set *object.Set, who caller, route *object.Route, body []byte) {
	started := time.Now()
	customer := billedCustomer(set, route, who)
	ctx, watched, ended := s.callContext(c, route, who)
	defer ended()
	ticket, err := s.admit(watched, customer, callTokens)
	// The key may have been withdrawn while the body arrived or the call waited.
	if failure := keyFailure(watched, "admit", RunNot); failure != nil {
		if err == nil {
			ticket.Settle(0)
		}
		s.fail(c, failure)
		return
	}
	if err != nil {
		s.fail(c, s.callError(ctx, err, "admit"))
		return
	}
	defer ticket.Settle(callTokens)
	request := callRequest(c, who, customer, route, body)
	reply, err := s.options.Caller.Call(ctx, set, route, request)
	if failure := keyFailure(watched, "call", outcomeOf(reply, err)); failure != nil {
		s.fail(c, failure)
		return
	}
	if err != nil {
		s.fail(c, s.callError(ctx, err, "call"))
		return
	}
	metrics.Histogram("router.call_us", "customer", request.Customer, "route", route.Name).Update(time.Since(started).Microseconds())
	s.writeReply(c, reply)
}

// callContext bounds a call. The first context is the call's own, the second
// tells whether the key was withdrawn. A call that may not be repeated goes on
// when its caller leaves or its key is withdrawn, so that its outcome gets known.
func (s *Server) callContext(c *gin.Context, route *object.Route, who caller) (call, watched context.Context, ended func()) {
	parent := c.Request.Context()
	if !route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	call, cancel := context.WithTimeout(parent, s.options.Limits.CallTimeout)
	watched, unwatch := s.keys.watch(call, who.key, route.Open)
	ended = func() {
		unwatch()
		cancel()
	}
	if route.Idempotent {
		return watched, watched, ended
	}
	return call, watched, ended
}

// outcomeOf says what became of a call whose answer is withheld, since the key
// was withdrawn meanwhile.
func outcomeOf(reply *wirepb.CallReply, err error) RunState {
	switch {
	case err != nil:
		return RunUnknown
	case reply.Refusal == nil:
		return RunDone
	default:
		return runState(reply.Refusal.Run)
	}
}

func (s *Server) callError(ctx context.Context, err error, step string) *apiError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && step == "call" {
		return &apiError{
			Status: http.StatusGatewayTimeout, Code: "deadline",
			Message: "the call took too long", Step: step, Run: RunUnknown,
		}
	}
	return fromError(err, step)
}

func callRequest(c *gin.Context, who caller, customer *object.Customer, route *object.Route, body []byte) *wirepb.CallRequest {
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
	for name, values := range who.forwardHeader(c.Request.Header) {
		for _, value := range values {
			request.Headers = append(request.Headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	return request
}

// writeReply passes a service's answer on.
func (s *Server) writeReply(c *gin.Context, reply *wirepb.CallReply) {
	if reply.Refusal != nil {
		s.fail(c, fromRefusal(reply.Refusal))
		return
	}
	for _, header := range reply.Headers {
		if isAnswerHeader(header.Name) {
			c.Writer.Header().Add(header.Name, header.Value)
		}
	}
	c.Header(HeaderRun, string(RunDone))
	if reply.Replayed {
		c.Header("X-Greengage-Replayed", "true")
	}
	c.Writer.WriteHeader(int(reply.Status))
	_, _ = c.Writer.Write(reply.Body)
}

// isAnswerHeader reports whether a service's header line goes to the caller.
func isAnswerHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade",
		strings.ToLower(HeaderRequestID), strings.ToLower(HeaderRun):
		return false
	default:
		return true
	}
}
