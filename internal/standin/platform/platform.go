// Package platform is a stand-in for the platform store. It serves the objects and the
// platform's list of hosts over HTTP. It can inject outages, latency and lost responses.
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

// keepAliveInterval is the interval of the empty lines that keep a watch's connection
// open.
const keepAliveInterval = 5 * time.Second

// Options configures the platform stand-in.
type Options struct {
	// HostLag is the delay until a change of the list of hosts becomes visible.
	HostLag time.Duration
	// Hosts is the initial list of hosts.
	Hosts []store.Host
	// Latency is the delay of each call unless the faults set another one.
	Latency time.Duration
}

// Manager is the platform stand-in. It is safe for concurrent use.
type Manager struct {
	options Options
	objects *memstore.Store

	mu     sync.Mutex
	faults memstore.Faults
}

// New returns a platform stand-in without objects and without faults.
func New(options Options) *Manager {
	m := &Manager{options: options, objects: memstore.New()}
	m.objects.SetHosts(options.Hosts)
	m.SetFaults(memstore.Faults{})
	return m
}

// SetFaults replaces the current faults. A latency of 0 means Options.Latency.
func (m *Manager) SetFaults(faults memstore.Faults) {
	if faults.Latency == 0 {
		faults.Latency = m.options.Latency
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.objects.SetFaults(faults)
}

// Counts returns the numbers of calls received so far.
func (m *Manager) Counts() memstore.Counts { return m.objects.Counts() }

// SetHosts replaces the list of hosts. It does not block: each call takes effect after
// Options.HostLag.
func (m *Manager) SetHosts(hosts []store.Host) {
	time.AfterFunc(m.options.HostLag, func() { m.objects.SetHosts(hosts) })
}

// Handler returns the handler that serves the platform store's HTTP interface.
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
	respond(c, object, err)
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
	respond(c, httpstore.Written{Version: version}, err)
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
	respond(c, httpstore.Written{}, m.objects.Delete(c.Request.Context(), key, expected))
}

func (m *Manager) list(c *gin.Context) {
	objects, version, err := m.objects.List(c.Request.Context(), c.Query(httpstore.ParamPrefix))
	respond(c, httpstore.Listing{Objects: objects, Version: version}, err)
}

func (m *Manager) hosts(c *gin.Context) {
	hosts, err := m.objects.Hosts(c.Request.Context())
	respond(c, hosts, err)
}

// watch streams changes as one JSON object per line until the client disconnects or
// the store closes the watch.
func (m *Manager) watch(c *gin.Context) {
	after, err := strconv.ParseInt(c.DefaultQuery(httpstore.ParamAfter, "0"), 10, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	objects, err := m.objects.Watch(c.Request.Context(), c.Query(httpstore.ParamPrefix), after)
	if err != nil {
		respond(c, nil, err)
		return
	}
	c.Header("Content-Type", "application/x-ndjson")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	stream(c, objects)
}

// stream writes objects as lines of JSON until the channel is closed or a write fails.
// It writes empty lines to keep the connection open.
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

// objectKey returns the key in the path. It responds with status 400 and returns false
// when the path has no valid key.
func objectKey(c *gin.Context) (string, bool) {
	escaped := strings.TrimPrefix(c.Request.URL.EscapedPath(), httpstore.PathObjects)
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" {
		c.AbortWithStatus(http.StatusBadRequest)
		return "", false
	}
	return key, true
}

// expectedVersion returns the expected version in the query. It responds with status
// 400 and returns false when there is no valid one.
func expectedVersion(c *gin.Context) (int64, bool) {
	expected, err := strconv.ParseInt(c.Query(httpstore.ParamExpected), 10, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return 0, false
	}
	return expected, true
}

// respond responds with body, or with the refusal for err. For a lost response or an
// unknown error it closes the connection without a response.
func respond(c *gin.Context, body any, err error) {
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
