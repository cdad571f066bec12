package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/loglimit"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/rs/zerolog"
)

const (
	// maxResponseBytes bounds a response that is buffered in memory.
	maxResponseBytes = 8 << 20
	// transientRetryAfter is the retry time for requests that were refused because
	// memory, upstreams or time were lacking, because the caller left or because the
	// process is stopping.
	transientRetryAfter = 200 * time.Millisecond
	// configRetryAfter is the retry time while the configuration is unknown or stale.
	configRetryAfter = 400 * time.Millisecond
)

// Bounds are the limits that the operator sets.
type Bounds struct {
	// MaxKeyEvidenceAge bounds the evidence age, which is the time since the configuration
	// was last known to be the newest. Above it, requests that need a key are refused.
	MaxKeyEvidenceAge time.Duration
	// WeightsGrace is the time after a new target version becomes known during which
	// upstreams with older weights are picked like others, because older weights do no
	// harm yet.
	WeightsGrace time.Duration
	// StalenessLimit is the time after a new target version becomes known within which a
	// request may begin to run on older weights.
	StalenessLimit time.Duration
	// MaxBufferedBytes bounds the bodies of requests and responses and the large events that
	// are buffered at once, in bytes. The first chunk of each response may exceed it.
	MaxBufferedBytes int64
	// Queue makes requests to engine pools wait in a queue while all engines are busy, and
	// decides there which of them are refused. Otherwise each is sent or refused at once.
	Queue bool
}

// TokenOwners requests tokens from the gateways that own the token pools of customers.
type TokenOwners interface {
	RequestTokens(ctx context.Context, owner, customer string, tokens float64) (share.Decision, error)
}

// Options configures a Gateway. All fields are required.
type Options struct {
	Catalog      *catalog.Catalog
	Codec        Codec
	Pool         *exchange.Pool
	Balancer     *balancer.Balancer
	Notices      *Notices
	Shares       *share.Manager
	Owners       TokenOwners
	SharedBudget *retry.SharedBudget
	Poison       *poison.Tracker
	Permits      Permits
	Origins      Origins
	Rollouts     Rollouts
	Engines      weights.Engines
	// Announce makes the gateway tell the others what it knows without waiting for the next
	// regular exchange. It must not block.
	Announce func()
	Bounds   Bounds
	Log      zerolog.Logger
}

// Gateway serves the requests of callers. It implements http.Handler and is safe for
// concurrent use.
type Gateway struct {
	Options
	// requestLines and weightsLines bound the lines of requests that failed or were tried again, and
	// of those that were sent to older weights.
	requestLines  *loglimit.Limiter
	weightsLines  *loglimit.Limiter
	crashChecks   crashChecks
	confirmations confirmations
	queues        poolQueues
	stop          stop
	active        atomic.Int64
	waiting       atomic.Int64
	buffered      atomic.Int64
}

// New returns a gateway.
func New(options Options) *Gateway {
	g := &Gateway{
		Options:      options,
		requestLines: loglimit.New(options.Log, "gateway", maxLinesPerSecond),
		weightsLines: loglimit.New(options.Log, "gateway", maxLinesPerSecond),
	}
	g.stop.ended, g.stop.endSends = context.WithCancel(context.Background())
	return g
}

// Active returns the number of requests that are still being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Waiting returns the number of requests that are waiting for a usable upstream.
func (g *Gateway) Waiting() int64 { return g.waiting.Load() }

// Buffered returns the number of bytes of memory for buffered bodies of requests and
// responses and for large events.
func (g *Gateway) Buffered() int64 { return g.buffered.Load() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to close the
// connection of a caller that must not take its response for complete.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stop.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	j := newJob(g, w, r)
	j.serve()
	if j.outcome.status == 0 {
		// The caller counts as gone, but may still read. The server would complete the
		// response, as an empty one if nothing was written.
		panic(http.ErrAbortHandler)
	}
}

// refusal is a response that the gateway generates in place of an upstream's. It is
// unrelated to package refusal, whose codes routers and agents use.
type refusal struct {
	status int
	reason string
	// retryAfter is sent in the Retry-After header if it is above 0.
	retryAfter time.Duration
}

// The refused variables are for requests that were not sent or that no upstream ran.
// The failed variables are for requests that an upstream may have run. A refusal has a
// retryAfter only if the request has certainly not run and may be retried.
var (
	refusedNoConfig      = &refusal{http.StatusServiceUnavailable, "no-configuration", configRetryAfter}
	refusedStale         = &refusal{http.StatusServiceUnavailable, "configuration-stale", configRetryAfter}
	refusedMalformed     = &refusal{http.StatusBadRequest, "malformed", 0}
	refusedStopping      = &refusal{http.StatusServiceUnavailable, "stopping", transientRetryAfter}
	refusedNoRoute       = &refusal{http.StatusNotFound, "no-route", 0}
	refusedUnknownKey    = &refusal{http.StatusUnauthorized, "unknown-key", 0}
	refusedTooLarge      = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	refusedMemory        = &refusal{http.StatusServiceUnavailable, "memory", transientRetryAfter}
	refusedNoUpstream    = &refusal{http.StatusServiceUnavailable, "no-upstream", transientRetryAfter}
	refusedAfterAttempts = &refusal{http.StatusServiceUnavailable, "upstreams-full", transientRetryAfter}
	refusedCallerLeft    = &refusal{http.StatusServiceUnavailable, "not-run", transientRetryAfter}
	failedAnswerLost     = &refusal{http.StatusBadGateway, "answer-lost", 0}
	failedTimeout        = &refusal{http.StatusGatewayTimeout, "timeout", 0}
	refusedTimeout       = &refusal{http.StatusServiceUnavailable, "timeout-not-run", transientRetryAfter}
)

// job is one request of a caller.
type job struct {
	gateway   *Gateway
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt bootclock.Instant
	// configVersion is that of the configuration in force at the arrival, 0 if there was none. The
	// configuration itself is not kept: many newer ones may follow while the request is served.
	configVersion int64
	// maxBodyBytes is the configuration's limit, and pools are the pools of the route.
	maxBodyBytes int64
	pools        map[string]*catalog.Pool
	call         *Call
	route        *catalog.Route
	customer     *catalog.Customer
	pool         *catalog.Pool
	body         *bufferedBody
	// upload is the caller's connection while the body is read from it; nil otherwise.
	upload        *intake.Conn
	bufferedBytes int64
	// cost is the number of tokens charged to the customer; 0 if none were charged.
	cost     float64
	deadline bootclock.Instant
	// pickRequest holds the properties of the request from which the balancer picks an
	// upstream.
	pickRequest balancer.Request
	attempts    []attemptRecord
	// sendCount counts the sends.
	sendCount int
	// choice is the balancer's last choice of an upstream.
	choice balancer.Choice
	// possibleRuns counts the attempts that an upstream may have run.
	possibleRuns int
	// losses counts the sends whose connection was lost.
	losses int
	// onTrial is true if the last send was a trial; see mayTry. No trial is asked for before
	// nextTrialAt.
	onTrial     bool
	nextTrialAt bootclock.Instant
	// contentKeys is the result of poisonKeys; nil before its first call.
	contentKeys []poison.Key
	// turn is the request's turn in the queue of its pool, from its grant to the send; nil
	// otherwise. mayPass is true once the request has had a turn.
	turn    *poolQueue
	mayPass bool
	// beyondShare is true if the request is beyond its customer's fair share; see
	// waitqueue.Queue.Arrive.
	beyondShare bool
	// outliveStop lets the request's sends go on at the end of a stop.
	outliveStop func() bool
	outcome     outcome
}

func newJob(g *Gateway, w http.ResponseWriter, r *http.Request) *job {
	return &job{gateway: g, w: w, r: r, arrivedAt: bootclock.Now()}
}

// serve answers the request and writes its log line.
func (j *job) serve() {
	defer j.finish()
	if refused := j.admit(); refused != nil {
		j.writeRefusal(refused)
		return
	}
	j.run()
}

// admit reads the request, authorizes it and charges its customer. It returns nil if
// the request may be sent to an upstream.
func (j *job) admit() *refusal {
	g := j.gateway
	if refused := j.checkStopping(); refused != nil {
		return refused
	}
	call, err := g.Codec.Describe(j.r)
	if err != nil {
		j.outcome.err = err
		return refusedMalformed
	}
	j.call = call
	if refused := j.applyConfig(); refused != nil {
		return refused
	}
	if refused := j.readBody(); refused != nil {
		return refused
	}
	j.pool = j.pools[j.pickPool()]
	if j.pool == nil {
		return refusedNoUpstream
	}
	j.deadline = j.arrivedAt.Add(j.timeout())
	// A caller that reads slowly but steadily gets its answer for as long as it waits for one.
	intake.FromContext(j.r.Context()).ExtendWrites(time.Now().Add(j.deadline.Sub(bootclock.Now())))
	if refused := j.pinOrigin(); refused != nil {
		return refused
	}
	if refused := j.checkConviction(); refused != nil {
		return refused
	}
	return j.charge()
}

// hostWithoutPort returns the value of a Host header without its port.
func hostWithoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// applyConfig finds the route of the request and authorizes it, by the configuration in force now.
func (j *job) applyConfig() *refusal {
	config := j.gateway.Catalog.Config()
	if config == nil {
		return refusedNoConfig
	}
	j.configVersion, j.maxBodyBytes = config.Version, config.Limits.MaxBodyBytes
	if j.route = config.Route(hostWithoutPort(j.r.Host), j.r.URL.EscapedPath()); j.route == nil {
		return refusedNoRoute
	}
	j.pools = config.PoolsOf(j.route)
	return j.authorize(config)
}

func (j *job) authorize(config *catalog.Config) *refusal {
	if j.route.Open || !config.KeysRequired {
		return nil
	}
	if j.gateway.Catalog.ConfigEvidenceAge(bootclock.Now()) > j.gateway.Bounds.MaxKeyEvidenceAge {
		return refusedStale
	}
	if j.call.Key == "" {
		return refusedUnknownKey
	}
	j.customer = config.Keys[catalog.HashKey(j.call.Key)]
	if j.customer == nil {
		return refusedUnknownKey
	}
	return nil
}

// pickPool splits a route's requests among its pools by weight. A hash of the stream's or
// request's ID selects one of 10,000 steps of the total weight, so that a repeated request
// with the same ID, or a stream that is resumed, gets the same pool.
func (j *job) pickPool() string {
	total := 0.0
	for _, weightedPool := range j.route.Pools {
		total += weightedPool.Weight
	}
	position := float64(xxhash.Sum64String(j.streamID())%10_000) / 10_000 * total
	for _, weightedPool := range j.route.Pools {
		if position < weightedPool.Weight {
			return weightedPool.Pool
		}
		position -= weightedPool.Weight
	}
	if len(j.route.Pools) == 0 {
		return ""
	}
	return j.route.Pools[len(j.route.Pools)-1].Pool
}

// timeout returns the time that the request may take, counted from its arrival.
func (j *job) timeout() time.Duration {
	timeout := j.route.LongestWait()
	if j.call.Timeout > 0 {
		timeout = min(timeout, j.call.Timeout)
	}
	return timeout
}

// charge spends the customer's tokens for the request. It returns a refusal if neither
// this gateway nor the owner of the customer's pool can grant them.
func (j *job) charge() *refusal {
	if j.customer == nil || j.customer.Rate <= 0 {
		return nil
	}
	switch {
	case j.customer.PerRequest:
		j.cost = 1
	case j.call.HasTokenCounts:
		j.cost = float64(j.call.PromptTokens + j.call.OutputTokens)
	default:
		j.cost = float64(j.customer.DefaultCost)
	}
	limit := share.Limit{Rate: j.customer.Rate, Burst: j.customer.Burst}
	decision := j.gateway.Shares.Admit(j.customer.Name, limit, j.cost)
	if decision.Owner != "" {
		decision = j.requestFromOwner(decision)
	}
	if decision.Admitted {
		return nil
	}
	j.cost = 0
	return &refusal{http.StatusTooManyRequests, "customer-limit", decision.RetryAfter}
}

// requestFromOwner requests the tokens from the owner of the customer's pool. If the
// owner does not answer, the request is refused as if the pool were empty.
func (j *job) requestFromOwner(localDecision share.Decision) share.Decision {
	decision, err := j.gateway.Owners.RequestTokens(j.r.Context(), localDecision.Owner, j.customer.Name, j.cost)
	if err != nil {
		j.outcome.err = err
		return share.Decision{RetryAfter: localDecision.RetryAfter}
	}
	if decision.Admitted {
		metrics.Counter("share.borrowed_tokens", "customer", j.customer.Name).Inc(int64(j.cost))
	}
	return decision
}

// refund gives the charged tokens back to the customer if the request certainly did not
// run.
func (j *job) refund() {
	if j.cost > 0 && j.possibleRuns == 0 {
		j.gateway.Shares.Refund(j.customer.Name, j.cost)
	}
}

// mayRunAgain reports whether the request may be sent again after an attempt that may
// have run it. This holds for idempotent requests and for resumable streams.
func (j *job) mayRunAgain() bool {
	return j.route.Kind == catalog.Idempotent || j.route.Kind == catalog.Stream && j.route.Resumable
}

// callerLeft reports whether the caller has disconnected.
func (j *job) callerLeft() bool { return j.r.Context().Err() != nil }

// errCallerLeft marks a request whose caller disconnected while it waited for an
// upstream. It is not logged.
var errCallerLeft = errors.New("caller disconnected")
