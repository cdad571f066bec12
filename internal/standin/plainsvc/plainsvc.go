// Package plainsvc stands in for a plain service that takes charges. Its ledger
// counts how often each charge was executed; it never deduplicates.
package plainsvc

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/standin/restart"
)

const (
	idempotencyHeader = "Idempotency-Key"
)

// credentialHeaders must not reach a service.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie"}

// Options describes one service.
type Options struct {
	Name    string
	Address string
	// Latency is how long a call takes.
	Latency time.Duration
	// Restart is how long a crashed service refuses connections.
	Restart time.Duration
}

// CrashPoint says when the service crashes.
type CrashPoint string

// The points of a crash: at once, or at the next charge before or after it is executed.
const (
	CrashNow    CrashPoint = "now"
	CrashBefore CrashPoint = "before"
	CrashAfter  CrashPoint = "after"
)

// ChargeRequest is the body of a charge.
type ChargeRequest struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Amount  int64  `json:"amount"`
}

// ChargeReply answers a charge. Execution counts the executions of the same charge.
type ChargeReply struct {
	ID        string `json:"id"`
	Execution int    `json:"execution"`
	Balance   int64  `json:"balance"`
}

// Entry is a charge in the ledger.
type Entry struct {
	ID             string   `json:"id"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
	RequestIDs     []string `json:"request_ids"`
	Executions     int      `json:"executions"`
}

// Ledger is what the service executed. It outlives crashes.
type Ledger struct {
	Name    string  `json:"name"`
	Entries []Entry `json:"entries"`
	// Credentials counts the calls that carried a caller's credentials.
	Credentials int `json:"credentials"`
}

// Manager is one service. It lives through crashes.
type Manager struct {
	options Options
	server  *restart.Manager

	mu          sync.Mutex
	crashAt     CrashPoint
	delay       time.Duration
	entries     map[string]*Entry
	balances    map[string]int64
	credentials int
}

// New returns a service that is not started.
func New(options Options) *Manager {
	m := &Manager{
		options:  options,
		entries:  make(map[string]*Entry),
		balances: make(map[string]int64),
	}
	begin := func(ctx context.Context) (http.Handler, func()) { return m.handler(ctx), func() {} }
	m.server = restart.New(restart.Options{Address: options.Address, Restart: options.Restart, Begin: begin})
	return m
}

// Start listens and serves. An error means that the address could not be used.
func (m *Manager) Start() error { return m.server.Start() }

// Stop ends the service for good and waits for its tasks.
func (m *Manager) Stop() { m.server.Stop() }

// Crash makes the service crash at a point: all connections end without an
// answer, new ones are refused for the restart time.
func (m *Manager) Crash(at CrashPoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at == CrashNow {
		m.server.Crash()
		return
	}
	m.crashAt = at
}

// SetDelay adds to the time that calls take.
func (m *Manager) SetDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

// Ledger returns what was executed so far.
func (m *Manager) Ledger() Ledger {
	m.mu.Lock()
	defer m.mu.Unlock()
	ledger := Ledger{Name: m.options.Name, Credentials: m.credentials}
	for _, entry := range m.entries {
		copied := *entry
		copied.RequestIDs = append([]string(nil), entry.RequestIDs...)
		ledger.Entries = append(ledger.Entries, copied)
	}
	return ledger
}

// handler serves one life of the service, which ends with ctx.
func (m *Manager) handler(ctx context.Context) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST("/charges", func(c *gin.Context) { m.charge(ctx, c) })
	router.GET("/balances/:account", func(c *gin.Context) { m.balance(ctx, c) })
	router.GET("/ledger", func(c *gin.Context) { c.JSON(http.StatusOK, m.Ledger()) })
	return router
}

// charge executes a charge. A crash before or after it ends the connection without an answer.
func (m *Manager) charge(ctx context.Context, c *gin.Context) {
	var request ChargeRequest
	if err := json.NewDecoder(c.Request.Body).Decode(&request); err != nil || request.ID == "" {
		c.JSON(http.StatusBadRequest, gin.H{"error": "malformed charge"})
		return
	}
	if !m.work(ctx, c) || m.crashes(CrashBefore) {
		panic(http.ErrAbortHandler)
	}
	reply := m.execute(request, c.Request.Header)
	if m.crashes(CrashAfter) {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, reply)
}

func (m *Manager) balance(ctx context.Context, c *gin.Context) {
	if !m.work(ctx, c) {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	balance := m.balances[c.Param("account")]
	m.mu.Unlock()
	c.JSON(http.StatusOK, gin.H{"account": c.Param("account"), "balance": balance})
}

// work passes the time that a call takes and reports whether the service is still alive.
func (m *Manager) work(ctx context.Context, c *gin.Context) bool {
	m.mu.Lock()
	m.countCredentials(c.Request.Header)
	wait := m.options.Latency + m.delay
	m.mu.Unlock()
	c.Header(service.RequestIDHeader, c.GetHeader(service.RequestIDHeader))
	return pause.For(ctx, wait) == nil
}

// countCredentials notes credentials that should not have come here; m.mu is held.
func (m *Manager) countCredentials(header http.Header) {
	for _, name := range credentialHeaders {
		if header.Get(name) != "" {
			m.credentials++
		}
	}
}

// crashes crashes the service when it is to do so at this point.
func (m *Manager) crashes(at CrashPoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashAt != at {
		return false
	}
	m.crashAt = ""
	m.server.Crash()
	return true
}

func (m *Manager) execute(request ChargeRequest, header http.Header) ChargeReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.entries[request.ID]
	if entry == nil {
		entry = &Entry{ID: request.ID, IdempotencyKey: header.Get(idempotencyHeader)}
		m.entries[request.ID] = entry
	}
	entry.Executions++
	entry.RequestIDs = append(entry.RequestIDs, header.Get(service.RequestIDHeader))
	m.balances[request.Account] += request.Amount
	return ChargeReply{ID: request.ID, Execution: entry.Executions, Balance: m.balances[request.Account]}
}
