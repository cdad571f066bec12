// Package admin is the listener for operators and the platform: health,
// readiness, metrics and profiles. It is not meant for callers.
package admin

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

// Readiness is the answer of /readyz. The zero value is not ready.
type Readiness struct {
	ready atomic.Bool
}

// Set changes the answer.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// Ready returns the answer.
func (r *Readiness) Ready() bool { return r.ready.Load() }

// Handle answers whether the process is ready.
func (r *Readiness) Handle(c *gin.Context) {
	if !r.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// NewRouter returns the handler of the admin listener. Callers may add routes.
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
