// Package router serves the HTTP interface for callers. It authenticates callers,
// admits their requests against the limits of their customers, forwards prompts to
// model engines and calls to plain services, and returns the responses. Responses
// to prompts may be streamed for as long as PromptTimeout; each request holds its
// body in memory, and MaxBufferedBytes bounds their sum.
package router

import (
	"cmp"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/bodymem"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/rs/zerolog"
)

// Limits bounds the resources of one request or connection. It is read from the
// settings section [limits].
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `ini:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `ini:"max_header_bytes"`
	// HeaderTimeout bounds the time to read a request header.
	HeaderTimeout time.Duration `ini:"header_timeout"`
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout time.Duration `ini:"body_timeout"`
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration `ini:"idle_timeout"`
	// WriteTimeout is the time after which a stream ends if its caller accepts no
	// bytes.
	WriteTimeout time.Duration `ini:"write_timeout"`
	// PromptTimeout bounds the time from when a prompt has been received to its
	// last token.
	PromptTimeout time.Duration `ini:"prompt_timeout"`
	// CallTimeout bounds the time from when a call of a plain service has been
	// received to its outcome.
	CallTimeout time.Duration `ini:"call_timeout"`
	// DefaultMaxTokens is the limit of new tokens for a request that specifies none.
	DefaultMaxTokens int64 `ini:"default_max_tokens"`
	// MaxTokens is the maximum limit of new tokens that a request may specify.
	MaxTokens int64 `ini:"max_tokens"`
}

// DefaultLimits returns the limits for settings that are absent.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:     4 << 20,
		MaxHeaderBytes:   64 << 10,
		HeaderTimeout:    5 * time.Second,
		BodyTimeout:      20 * time.Second,
		IdleTimeout:      90 * time.Second,
		WriteTimeout:     20 * time.Second,
		PromptTimeout:    120 * time.Second,
		CallTimeout:      20 * time.Second,
		DefaultMaxTokens: 256,
		MaxTokens:        8192,
	}
}

// DefaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
const DefaultMaxBufferedBytes = 1 << 30

// Options holds the dependencies and limits of a Server.
type Options struct {
	Source    object.Source
	Admission admission.Controller
	Picker    picker.Picker
	Prompter  *dispatch.Prompter
	Caller    *dispatch.Caller
	Limits    Limits
	// MaxBufferedBytes bounds the memory of the bodies of all requests. 0 means
	// DefaultMaxBufferedBytes.
	MaxBufferedBytes int64
	Log              zerolog.Logger
}

// Server handles the requests of callers.
type Server struct {
	options    Options
	keyWatcher *keyWatcher
	bodies     *bodymem.Budget
	draining   atomic.Bool
	refusing   atomic.Bool
	// unregisterGauges ends the computation of the gauges.
	unregisterGauges func()
}

// New returns a server and starts its background goroutine. Close must be called to
// stop the goroutine.
func New(options Options) *Server {
	s := &Server{
		options: options, keyWatcher: newKeyWatcher(options.Source),
		bodies: bodymem.NewBudget(cmp.Or(options.MaxBufferedBytes, DefaultMaxBufferedBytes)),
	}
	s.unregisterGauges = metrics.RegisterCollector(func() { metrics.Gauge("router.buffered_bytes").Update(s.bodies.Held()) })
	go s.keyWatcher.run()
	return s
}

// Close stops the server's background goroutine. It must be called once, after the
// last request has ended.
func (s *Server) Close() {
	s.unregisterGauges()
	s.keyWatcher.close()
}

// Drain makes connected callers reconnect elsewhere: from now on, each response has
// the header Connection: close.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse makes the server refuse requests that have not been forwarded, also those that have arrived
// already: their run could outlast the stop.
func (s *Server) Refuse() { s.refusing.Store(true) }

// stoppingRetryAfter is the time after which a caller is asked to try again at another router.
const stoppingRetryAfter = 200 * time.Millisecond

// checkStopping returns an error for a request that has not been forwarded if the server refuses those.
func (s *Server) checkStopping() *apiError {
	if !s.refusing.Load() {
		return nil
	}
	failure := newRefusal(http.StatusServiceUnavailable, "stopping", "admit", "the router is stopping")
	failure.RetryAfter = stoppingRetryAfter
	return failure
}

// Handler returns the HTTP handler for the callers' listener.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = false
	engine.Use(gin.CustomRecoveryWithWriter(nil, s.handlePanic), s.assignRequestID)
	engine.POST("/v1/completions", func(c *gin.Context) { s.servePrompt(c, parseCompletion) })
	engine.POST("/v1/chat/completions", func(c *gin.Context) { s.servePrompt(c, parseChat) })
	engine.GET("/v1/models", s.serveModels)
	engine.NoRoute(s.serveCall)
	return engine
}

// HTTPServer returns an HTTP server for the callers' listener. It has the limits and
// timeouts that apply to a connection; the handlers apply the others.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.options.Limits.HeaderTimeout,
		IdleTimeout:       s.options.Limits.IdleTimeout,
		MaxHeaderBytes:    s.options.Limits.MaxHeaderBytes,
	}
}

// unreadBodyTimeout bounds the time for which net/http reads the body of a request that was refused
// before its body was read.
const unreadBodyTimeout = 500 * time.Millisecond

// assignRequestID is middleware that assigns an id to each request, and gives back the memory
// of its body at the end. While the server
// is draining, it also makes the connection close after the response.
func (s *Server) assignRequestID(c *gin.Context) {
	id := newRequestID()
	c.Set(requestIDContextKey, id)
	c.Header(HeaderRequestID, id)
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	defer releaseBody(c)
	if c.Request.ContentLength != 0 {
		// The call fails only for response writers in tests.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	c.Next()
}

// handlePanic logs the panic of a handler and writes an error response. The run
// state is unknown, since the request may have been forwarded.
func (s *Server) handlePanic(c *gin.Context, cause any) {
	s.options.Log.Error().Interface("cause", cause).Str("request", requestID(c)).Msg("router: request handler panicked; answering with an internal error")
	s.writeError(c, &apiError{
		Status: http.StatusInternalServerError, Code: "internal", Message: "internal error",
		Step: "serve request", Run: RunStateUnknown,
	})
}
