// Package admin provides the HTTP endpoints for the platform and for monitoring:
// health checks, readiness, metrics and profiles. They are served on a separate listener
// that is not meant for callers.
package admin

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

// Readiness holds the readiness of the process, which readiness checks
// report. The zero value is not ready. It is safe for concurrent use.
type Readiness struct {
	ready atomic.Bool
}

// Set marks the process as ready or not ready.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// IsReady reports whether the process is ready.
func (r *Readiness) IsReady() bool { return r.ready.Load() }

// Handle answers a readiness check: 200 if the process is ready, 503 if not.
func (r *Readiness) Handle(c *gin.Context) {
	if !r.IsReady() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// NewRouter returns the handler of the admin listener. Routes may be added to it
// before it is served.
func NewRouter(ready *Readiness) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", ready.Handle)
	router.GET("/metrics", gin.WrapH(metrics.Handler()))
	router.GET("/metrics/text", gin.WrapH(metrics.TextHandler()))
	router.GET("/debug/pprof/*profile", func(c *gin.Context) {
		switch c.Param("profile") {
		case "/profile":
			pprof.Profile(c.Writer, c.Request)
		case "/trace":
			pprof.Trace(c.Writer, c.Request)
		case "/cmdline":
			pprof.Cmdline(c.Writer, c.Request)
		case "/symbol":
			pprof.Symbol(c.Writer, c.Request)
		default:
			pprof.Index(c.Writer, c.Request)
		}
	})
	return router
}
