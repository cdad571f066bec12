// Package router is the callers' side of the system: it authenticates callers,
// admits their requests against limits, and streams answers back.
package router

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/rs/zerolog"
)

// Limits bounds what one request may use. It is read from the section [callers].
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64 `ini:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes int `ini:"max_header_bytes"`
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration `ini:"header_timeout"`
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout time.Duration `ini:"body_timeout"`
	// IdleTimeout closes idle connections.
	IdleTimeout time.Duration `ini:"idle_timeout"`
	// WriteTimeout ends a stream whose caller accepts no bytes for this long.
	WriteTimeout time.Duration `ini:"write_timeout"`
	// PromptTimeout bounds a prompt from its arrival to the last token.
	PromptTimeout time.Duration `ini:"prompt_timeout"`
	// CallTimeout bounds a call of a plain service.
	CallTimeout time.Duration `ini:"call_timeout"`
	// DefaultMaxTokens is used when a request names no limit of new tokens.
	DefaultMaxTokens int64 `ini:"default_max_tokens"`
	// MaxTokens is the largest number of new tokens that may be asked for.
	MaxTokens int64 `ini:"max_tokens"`
}

// DefaultLimits returns the limits that apply where the settings say nothing.
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

// Options holds what a Server works with.
type Options struct {
	Source    object.Source
	Admission admission.Controller
	Picker    picker.Picker
	Prompter  *dispatch.Prompter
	Caller    *dispatch.Caller
	Limits    Limits
	Log       zerolog.Logger
}

// Server answers callers.
type Server struct {
	options  Options
	keys     *keyWatcher
	draining atomic.Bool
}

// New returns a server. Close ends its background work.
func New(options Options) *Server {
	s := &Server{options: options, keys: newKeyWatcher(options.Source)}
	go s.keys.run()
	return s
}

// Close ends the server's background work. It is called after the last request has ended.
func (s *Server) Close() { s.keys.close() }

// Drain asks connected callers to reconnect elsewhere: each further answer
// carries Connection: close.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = false
	engine.Use(gin.CustomRecoveryWithWriter(nil, s.recovered), s.prepare)
	engine.POST("/v1/completions", func(c *gin.Context) { s.servePrompt(c, parseCompletion) })
	engine.POST("/v1/chat/completions", func(c *gin.Context) { s.servePrompt(c, parseChat) })
	engine.GET("/v1/models", s.serveModels)
	engine.NoRoute(s.serveCall)
	return engine
}

// HTTPServer returns a server for the callers' listener with all timeouts set.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.options.Limits.HeaderTimeout,
		IdleTimeout:       s.options.Limits.IdleTimeout,
		MaxHeaderBytes:    s.options.Limits.MaxHeaderBytes,
	}
}

// prepare gives each request an id and, while draining, closes its connection.
func (s *Server) prepare(c *gin.Context) {
	id := newRequestID()
	c.Set(requestIDKey, id)
	c.Header(HeaderRequestID, id)
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	c.Next()
}

func (s *Server) recovered(c *gin.Context, cause any) {
	s.options.Log.Error().Interface("cause", cause).Str("request", requestID(c)).Msg("router: request panicked")
	s.fail(c, &apiError{
		Status: http.StatusInternalServerError, Code: "internal", Message: "internal error",
		Step: "serve request", Run: RunUnknown,
	})
}
