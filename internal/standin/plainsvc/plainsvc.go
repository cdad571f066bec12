// Package plainsvc is a stand-in for a plain service that executes charges. Its ledger
// counts how often each charge was executed. The service never deduplicates charges, so
// that the ledger shows every repeated execution.
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

// credentialHeaders are the headers with a caller's credentials, which must not reach
// a service.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie"}

// Options configures one service.
type Options struct {
	Name    string
	Address string
	// Latency is the duration of a charge or balance call.
	Latency time.Duration
	// Restart is how long the service refuses connections after a crash.
	Restart time.Duration
}

// CrashPoint is the point at which the service crashes.
type CrashPoint string

const (
	// CrashNow crashes the service immediately.
	CrashNow CrashPoint = "now"
	// CrashBefore crashes the service during the next charge, before it is executed.
	CrashBefore CrashPoint = "before"
	// CrashAfter crashes the service during the next charge, after it is executed.
	CrashAfter CrashPoint = "after"
)

// ChargeRequest is the request body of a charge.
type ChargeRequest struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Amount  int64  `json:"amount"`
}

// ChargeReply is the response body of a charge. Execution is the number of times that
// the charge with this ID was executed so far.
type ChargeReply struct {
	ID        string `json:"id"`
	Execution int    `json:"execution"`
	Balance   int64  `json:"balance"`
}

// Entry is one charge in the ledger. IdempotencyKey is that of its first execution.
type Entry struct {
	ID             string   `json:"id"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
	RequestIDs     []string `json:"request_ids"`
	Executions     int      `json:"executions"`
}

// Ledger lists the charges that the service executed. It survives crashes.
type Ledger struct {
	Name    string  `json:"name"`
	Entries []Entry `json:"entries"`
	// Credentials is the number of credential headers received in balance calls and
	// well-formed charges, which should be 0.
	Credentials int `json:"credentials"`
}

// Manager is one service. Its ledger and balances survive crashes. It is safe for
// concurrent use.
type Manager struct {
	options Options
	server  *restart.Server

	mu          sync.Mutex
	crashPoint  CrashPoint
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
	startIncarnation := func(ctx context.Context) (http.Handler, func()) { return m.handler(ctx), func() {} }
	m.server = restart.New(restart.Options{Address: options.Address, Downtime: options.Restart, StartIncarnation: startIncarnation})
	return m
}

// Start listens at the address and starts to serve. It returns an error when it cannot
// listen.
func (m *Manager) Start() error { return m.server.Start() }

// Stop stops the service permanently and waits for its tasks.
func (m *Manager) Stop() { m.server.Stop() }

// Crash crashes the service at once for CrashNow, and otherwise during the next charge
// that reaches the point. An empty point cancels a crash that is pending; CrashNow does
// not. A crash closes all connections
// without a response; the service refuses new ones for Options.Restart.
func (m *Manager) Crash(point CrashPoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if point == CrashNow {
		m.server.Crash()
		return
	}
	m.crashPoint = point
}

// SetDelay sets the delay that is added to Options.Latency in each call.
func (m *Manager) SetDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

// Ledger returns a copy of the ledger, with its entries in no particular order.
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

// handler returns the handler of one incarnation of the service, which ends with ctx.
func (m *Manager) handler(ctx context.Context) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST("/charges", func(c *gin.Context) { m.charge(ctx, c) })
	router.GET("/balances/:account", func(c *gin.Context) { m.balance(ctx, c) })
	router.GET("/ledger", func(c *gin.Context) { c.JSON(http.StatusOK, m.Ledger()) })
	return router
}

// charge executes a charge. A crash before or after the execution closes the connection
// without a response.
func (m *Manager) charge(ctx context.Context, c *gin.Context) {
	var request ChargeRequest
	if err := json.NewDecoder(c.Request.Body).Decode(&request); err != nil || request.ID == "" {
		c.JSON(http.StatusBadRequest, gin.H{"error": "malformed charge"})
		return
	}
	if !m.beginCall(ctx, c) || m.crashIfDue(CrashBefore) {
		panic(http.ErrAbortHandler)
	}
	reply := m.execute(request, c.Request.Header)
	if m.crashIfDue(CrashAfter) {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, reply)
}

func (m *Manager) balance(ctx context.Context, c *gin.Context) {
	if !m.beginCall(ctx, c) {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	balance := m.balances[c.Param("account")]
	m.mu.Unlock()
	c.JSON(http.StatusOK, gin.H{"account": c.Param("account"), "balance": balance})
}

// beginCall counts the credential headers, copies the request ID to the response and
// waits for the duration of a call. It returns false when the incarnation, which ends
// with ctx, ended during the wait.
func (m *Manager) beginCall(ctx context.Context, c *gin.Context) bool {
	m.mu.Lock()
	m.countCredentials(c.Request.Header)
	wait := m.options.Latency + m.delay
	m.mu.Unlock()
	c.Header(service.RequestIDHeader, c.GetHeader(service.RequestIDHeader))
	return pause.For(ctx, wait) == nil
}

// countCredentials counts the credential headers in header. It must be called with m.mu
// held.
func (m *Manager) countCredentials(header http.Header) {
	for _, name := range credentialHeaders {
		if header.Get(name) != "" {
			m.credentials++
		}
	}
}

// crashIfDue crashes the service if Crash was called for this point, and reports
// whether it did.
func (m *Manager) crashIfDue(point CrashPoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashPoint != point {
		return false
	}
	m.crashPoint = ""
	m.server.Crash()
	return true
}

// execute records a charge in the ledger and adds its amount to the account's balance.
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
