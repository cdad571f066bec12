// Package platform stands in for the platform's object service and its list of
// hosts, over HTTP, with outages, slowness and lost answers.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/httpstore"
	"github.com/greengagegate/greengagegate/store/memstore"
)

const keepAliveInterval = 5 * time.Second

// Options describes the service.
type Options struct {
	// HostLag is how long a change of the list of hosts stays unseen.
	HostLag time.Duration
	// Hosts is the list at the start.
	Hosts []store.Host
	// Latency delays each call while no faults are set.
	Latency time.Duration
}

// Manager is the service.
type Manager struct {
	options Options
	objects *memstore.Store

	mu     sync.Mutex
	faults memstore.Faults
}

// New returns an empty, healthy service.
func New(options Options) *Manager {
	m := &Manager{options: options, objects: memstore.New()}
	m.objects.SetHosts(options.Hosts)
	m.SetFaults(memstore.Faults{})
	return m
}

// SetFaults replaces the current faults. A latency of 0 stands for the usual one.
func (m *Manager) SetFaults(faults memstore.Faults) {
	if faults.Latency == 0 {
		faults.Latency = m.options.Latency
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.objects.SetFaults(faults)
}

// Counts returns the calls received so far.
func (m *Manager) Counts() memstore.Counts { return m.objects.Counts() }

// SetHosts changes the list of hosts after the lag.
func (m *Manager) SetHosts(hosts []store.Host) {
	time.AfterFunc(m.options.HostLag, func() { m.objects.SetHosts(hosts) })
}

// Handler serves the calls.
func (m *Manager) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.UseRawPath = true
	router.UnescapePathValues = false
	router.GET(httpstore.PathObjects+"*key", m.get)
	router.PUT(httpstore.PathObjects+"*key", m.put)
	router.DELETE(httpstore.PathObjects+"*key", m.remove)
	router.GET(httpstore.PathList, m.list)
	router.GET(httpstore.PathWatch, m.watch)
	router.GET(httpstore.PathHosts, m.hosts)
	return router
}

func (m *Manager) get(c *gin.Context) {
	key, ok := objectKey(c)
	if !ok {
		return
	}
	object, err := m.objects.Get(c.Request.Context(), key)
	reply(c, object, err)
}

func (m *Manager) put(c *gin.Context) {
	key, ok := objectKey(c)
	if !ok {
		return
	}
	expected, ok := expectedVersion(c)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(c.Request.Body, store.MaxValueBytes+1))
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValueBytes {
		c.AbortWithStatus(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := m.objects.Put(c.Request.Context(), key, value, expected)
	reply(c, httpstore.Written{Version: version}, err)
}

func (m *Manager) remove(c *gin.Context) {
	key, ok := objectKey(c)
	if !ok {
		return
	}
	expected, ok := expectedVersion(c)
	if !ok {
		return
	}
	reply(c, httpstore.Written{}, m.objects.Delete(c.Request.Context(), key, expected))
}

func (m *Manager) list(c *gin.Context) {
	objects, version, err := m.objects.List(c.Request.Context(), c.Query(httpstore.ParamPrefix))
	reply(c, httpstore.Listing{Objects: objects, Version: version}, err)
}

func (m *Manager) hosts(c *gin.Context) {
	hosts, err := m.objects.Hosts(c.Request.Context())
	reply(c, hosts, err)
}

// watch streams changes, one a line, until the reader leaves or the watch is cut.
func (m *Manager) watch(c *gin.Context) {
	after, err := strconv.ParseInt(c.DefaultQuery(httpstore.ParamAfter, "0"), 10, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	objects, err := m.objects.Watch(c.Request.Context(), c.Query(httpstore.ParamPrefix), after)
	if err != nil {
		reply(c, nil, err)
		return
	}
	c.Header("Content-Type", "application/x-ndjson")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	stream(c, objects)
}

func stream(c *gin.Context, objects <-chan store.Object) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	encoder := json.NewEncoder(c.Writer)
	for {
		select {
		case object, open := <-objects:
			if !open || encoder.Encode(object) != nil {
				return
			}
		case <-keepAlive.C:
			if _, err := c.Writer.Write([]byte{'\n'}); err != nil {
				return
			}
		}
		c.Writer.Flush()
	}
}

// objectKey returns the key in the path, or answers 400.
func objectKey(c *gin.Context) (string, bool) {
	escaped := strings.TrimPrefix(c.Request.URL.EscapedPath(), httpstore.PathObjects)
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" {
		c.AbortWithStatus(http.StatusBadRequest)
		return "", false
	}
	return key, true
}

// expectedVersion returns the version that a change expects, or answers 400.
func expectedVersion(c *gin.Context) (int64, bool) {
	expected, err := strconv.ParseInt(c.Query(httpstore.ParamExpected), 10, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return 0, false
	}
	return expected, true
}

// reply answers with body, or the refusal that err stands for. A lost answer
// ends the connection without a byte.
func reply(c *gin.Context, body any, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, body)
	case errors.Is(err, store.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		c.JSON(http.StatusNotFound, httpstore.Refusal{Code: httpstore.CodeNotFound})
	case errors.Is(err, store.ErrConflict):
		c.JSON(http.StatusConflict, httpstore.Refusal{Code: httpstore.CodeConflict})
	case errors.Is(err, store.ErrCompacted):
		c.JSON(http.StatusGone, httpstore.Refusal{Code: httpstore.CodeCompacted})
	case errors.Is(err, store.ErrUnavailable):
		c.JSON(http.StatusServiceUnavailable, httpstore.Refusal{Code: httpstore.CodeUnavailable})
	default:
		panic(http.ErrAbortHandler)
	}
}
