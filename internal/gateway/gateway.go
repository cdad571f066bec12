package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/rs/zerolog"
)

const (
	// defaultTimeout bounds requests whose route tells none.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
	// shortRetry is told to callers whose request was refused for a passing reason.
	shortRetry = 200 * time.Millisecond
	// stateRetry is told to callers while the configuration is unknown or stale.
	stateRetry = 400 * time.Millisecond
)

// Bounds are the limits that the operator sets.
type Bounds struct {
	// KeyStaleness is how old the evidence for the configuration may be when a
	// request with a key is accepted.
	KeyStaleness time.Duration
	// WeightsGrace is how long older weights serve without harm after newer ones are named.
	WeightsGrace time.Duration
	// WeightsLimit is how long older weights may be used after newer ones were named.
	WeightsLimit time.Duration
	// MaxBuffered is the number of bytes of bodies that may be held at once.
	MaxBuffered int64
}

// PoolOwners asks other gateways for tokens of the customers whose pools they keep.
type PoolOwners interface {
	RequestTokens(ctx context.Context, owner, customer string, tokens float64) (share.Decision, error)
}

// Options configures a Gateway. All fields are required.
type Options struct {
	Catalog      *catalog.Catalog
	Codec        Codec
	Pool         *exchange.Pool
	Balancer     *balancer.Balancer
	Shares       *share.Manager
	Owners       PoolOwners
	SharedBudget *retry.SharedBudget
	Bounds       Bounds
	Log          zerolog.Logger
}

// Gateway answers callers. It implements http.Handler.
type Gateway struct {
	Options
	records  *recorder
	draining atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64
	waiting  atomic.Int64
	buffered atomic.Int64
}

// New returns a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, records: newRecorder(options.Log)}
}

// Drain makes callers use other gateways for what follows.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Close refuses what still arrives.
func (g *Gateway) Close() { g.closed.Store(true) }

// Active returns the number of requests that have no final answer yet.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Waiting returns the number of requests that wait for a usable upstream.
func (g *Gateway) Waiting() int64 { return g.waiting.Load() }

// Buffered returns the number of bytes of bodies that are held.
func (g *Gateway) Buffered() int64 { return g.buffered.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	newJob(g, w, r).serve()
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retryAfter is told when it is above 0.
	retryAfter time.Duration
}

var (
	refusedNoConfig   = &refusal{http.StatusServiceUnavailable, "no-configuration", stateRetry}
	refusedStale      = &refusal{http.StatusServiceUnavailable, "configuration-stale", stateRetry}
	refusedMalformed  = &refusal{http.StatusBadRequest, "malformed", 0}
	refusedStopping   = &refusal{http.StatusServiceUnavailable, "stopping", shortRetry}
	refusedNoRoute    = &refusal{http.StatusNotFound, "no-route", 0}
	refusedKey        = &refusal{http.StatusUnauthorized, "unknown-key", 0}
	refusedTooLarge   = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	refusedMemory     = &refusal{http.StatusServiceUnavailable, "memory", shortRetry}
	refusedNoUpstream = &refusal{http.StatusServiceUnavailable, "no-upstream", shortRetry}
	refusedFull       = &refusal{http.StatusServiceUnavailable, "upstreams-full", shortRetry}
	refusedNotRun     = &refusal{http.StatusServiceUnavailable, "not-run", shortRetry}
	failedUnknown     = &refusal{http.StatusBadGateway, "answer-lost", 0}
	failedTimeout     = &refusal{http.StatusGatewayTimeout, "timeout", 0}
	failedLate        = &refusal{http.StatusServiceUnavailable, "timeout-not-run", shortRetry}
)

// job is one request of a caller.
type job struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	arrived  bootclock.Instant
	config   *catalog.Config
	call     *Call
	route    *catalog.Route
	customer *catalog.Customer
	pool     *catalog.Pool
	body     []byte
	held     int64
	cost     float64
	deadline bootclock.Instant
	request  balancer.Request
	sends    []sendRecord
	// choice is the last choice of an upstream.
	choice balancer.Choice
	// runs counts the sends that an upstream may have run.
	runs    int
	outcome outcome
}

func newJob(g *Gateway, w http.ResponseWriter, r *http.Request) *job {
	return &job{gateway: g, w: w, r: r, arrived: bootclock.Now()}
}

// serve answers the request, and writes its line.
func (j *job) serve() {
	defer j.finish()
	if refused := j.admit(); refused != nil {
		j.refuse(refused)
		return
	}
	j.run()
}

// admit reads the request and decides whether it may run at all.
func (j *job) admit() *refusal {
	g := j.gateway
	if g.closed.Load() {
		return refusedStopping
	}
	call, err := g.Codec.Describe(j.r)
	if err != nil {
		j.outcome.err = err
		return refusedMalformed
	}
	j.call = call
	if j.config = g.Catalog.Config(); j.config == nil {
		return refusedNoConfig
	}
	if j.route = j.config.Route(hostOf(j.r.Host), j.r.URL.EscapedPath()); j.route == nil {
		return refusedNoRoute
	}
	if refused := j.authorize(); refused != nil {
		return refused
	}
	if refused := j.readBody(); refused != nil {
		return refused
	}
	j.pool = j.config.Pools[j.pickPool()]
	if j.pool == nil {
		return refusedNoUpstream
	}
	j.deadline = j.arrived.Add(j.timeout())
	return j.charge()
}

// hostOf returns a Host header's name without its port.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

func (j *job) authorize() *refusal {
	if j.route.Open || !j.config.KeysRequired {
		return nil
	}
	if j.gateway.Catalog.EvidenceAge(bootclock.Now()) > j.gateway.Bounds.KeyStaleness {
		return refusedStale
	}
	if j.call.Key == "" {
		return refusedKey
	}
	j.customer = j.config.Keys[catalog.HashKey(j.call.Key)]
	if j.customer == nil {
		return refusedKey
	}
	return nil
}

func (j *job) readBody() *refusal {
	if j.r.ContentLength == 0 {
		return nil
	}
	limit := j.config.Limits.MaxBodyBytes
	if j.r.ContentLength > limit {
		return refusedTooLarge
	}
	if !j.hold(max(j.r.ContentLength, 0)) {
		return refusedMemory
	}
	// A listener without deadlines is one of a test; the read is then bounded by the caller.
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(io.LimitReader(j.r.Body, limit+1), j.r.ContentLength)
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	if err != nil {
		j.outcome.err = err
		return refusedMalformed
	}
	if int64(len(body)) > limit {
		return refusedTooLarge
	}
	if j.r.ContentLength < 0 && !j.hold(int64(len(body))) {
		return refusedMemory
	}
	j.body = body
	return nil
}

// readAll reads a body of a length, or until its end when the length is unknown.
func readAll(source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(source)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(source, body)
	return body, err
}

// hold counts bytes that are kept in memory until the job's end.
func (j *job) hold(bytes int64) bool {
	j.held += bytes
	return j.gateway.buffered.Add(bytes) <= j.gateway.Bounds.MaxBuffered
}

// pickPool splits a route's requests by weight. The request's id decides, so that
// a repeat of the same attempt goes the same way.
func (j *job) pickPool() string {
	total := 0.0
	for _, part := range j.route.Pools {
		total += part.Weight
	}
	point := float64(xxhash.Sum64String(j.call.ID)%10_000) / 10_000 * total
	for _, part := range j.route.Pools {
		if point < part.Weight {
			return part.Pool
		}
		point -= part.Weight
	}
	if len(j.route.Pools) == 0 {
		return ""
	}
	return j.route.Pools[len(j.route.Pools)-1].Pool
}

// timeout is the time that a request may take, counted from its arrival.
func (j *job) timeout() time.Duration {
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if j.call.Patience > 0 {
		timeout = min(timeout, j.call.Patience)
	}
	return timeout
}

// charge spends the customer's tokens.
func (j *job) charge() *refusal {
	if j.customer == nil || j.customer.Rate <= 0 {
		return nil
	}
	switch {
	case j.customer.PerRequest:
		j.cost = 1
	case j.call.Sized:
		j.cost = float64(j.call.PromptTokens + j.call.OutputTokens)
	default:
		j.cost = float64(j.customer.DefaultCost)
	}
	limit := share.Limit{Rate: j.customer.Rate, Burst: j.customer.Burst}
	answer := j.gateway.Shares.Admit(j.customer.Name, limit, j.cost)
	if answer.Owner != "" {
		answer = j.askOwner(answer)
	}
	if answer.Admitted {
		return nil
	}
	j.cost = 0
	return &refusal{http.StatusTooManyRequests, "customer-limit", answer.RetryAfter}
}

// askOwner asks the owner of the customer's pool. Without an answer the request
// is refused, as if the pool were empty.
func (j *job) askOwner(short share.Decision) share.Decision {
	answer, err := j.gateway.Owners.RequestTokens(j.r.Context(), short.Owner, j.customer.Name, j.cost)
	if err != nil {
		j.outcome.err = err
		return share.Decision{RetryAfter: short.RetryAfter}
	}
	if answer.Admitted {
		metrics.Counter("share.borrowed_tokens", "customer", j.customer.Name).Inc(int64(j.cost))
	}
	return answer
}

// refund gives back the tokens of a request that certainly did not run.
func (j *job) refund() {
	if j.cost > 0 && j.runs == 0 {
		j.gateway.Shares.Refund(j.customer.Name, j.cost)
	}
}

// left returns the time until the job's deadline.
func (j *job) left() time.Duration { return j.deadline.Sub(bootclock.Now()) }

// repeatable reports whether the request may run more than once.
func (j *job) repeatable() bool {
	return j.route.Kind == catalog.Idempotent || j.route.Kind == catalog.Stream && j.route.Resumable
}

// gone reports whether the caller has left.
func (j *job) gone() bool { return j.r.Context().Err() != nil }

// errGone is the outcome of a request whose caller left.
var errGone = errors.New("caller left")
