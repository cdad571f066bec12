package gateway

import (
	"sync"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/rs/zerolog"
)

// Notices applies what upstreams state about themselves, in responses to callers' requests
// and to the gateway's own calls. It is safe for concurrent use.
type Notices struct {
	Balancer *balancer.Balancer
	Limits   *ratelimit.Tracker
	Log      zerolog.Logger

	mu sync.Mutex
	// loggedErrors holds the last logged error by upstream ID, so that an upstream whose
	// responses are all malformed alike is logged once.
	loggedErrors map[string]string
}

// maxLoggedErrors bounds Notices.loggedErrors. Beyond it, all are forgotten.
const maxLoggedErrors = 1024

// Apply applies a notice of an upstream in the response to a request that was sent at sentAt.
// err describes values that could not be read; it is logged.
func (n *Notices) Apply(upstream *catalog.Upstream, notice catalog.Notice, err error, sentAt bootclock.Instant) {
	if err != nil {
		n.logError(upstream.ID, err)
	}
	leaves, pauses := n.Balancer.ApplyNotice(upstream, notice)
	if leaves {
		metrics.Counter("upstreams.leaving_stated").Inc(1)
		n.Log.Info().Str("upstream", upstream.ID).Int64("born", upstream.StartedMillis).Msg("gateway: upstream states that it is leaving; this incarnation gets no more requests")
	}
	if pauses {
		n.Log.Info().Str("upstream", upstream.ID).Dur("retry_after_ms", notice.RetryAfter).Msg("gateway: upstream wants no requests for a time; it gets none until then")
	}
	if n.Balancer.ApplyLoad(upstream, notice.Load) {
		n.Log.Info().Str("upstream", upstream.ID).Str("pool", upstream.Pool).Msg("gateway: upstream reports how long work takes; prefill rates of its pool are learned from now on")
	}
	if !notice.Limit.Unknown {
		n.applyLimit(upstream, notice.Limit, sentAt)
	}
}

// applyLimit records the limit that a response states, or that it states none.
func (n *Notices) applyLimit(upstream *catalog.Upstream, limit catalog.RateLimit, sentAt bootclock.Instant) {
	statement := ratelimit.Statement{
		Incarnation: ratelimit.Incarnation{Upstream: upstream.ID, StartedMillis: upstream.StartedMillis},
		Limited:     limit.Stated,
		PerSecond:   limit.PerSecond,
	}
	n.Limits.Record(statement, sentAt)
}

// logError logs values that could not be read, unless they are those of the last time.
func (n *Notices) logError(id string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loggedErrors[id] == err.Error() {
		return
	}
	if n.loggedErrors == nil || len(n.loggedErrors) >= maxLoggedErrors {
		n.loggedErrors = make(map[string]string)
	}
	n.loggedErrors[id] = err.Error()
	n.Log.Warn().Err(err).Str("upstream", id).Msg("gateway: a value in the header of the upstream's response cannot be read; it counts as missing")
}

// applyNotice applies the notice in the header of a response. A misdirected request may
// have been answered by another upstream than the addressed one; the notice is about the
// upstream that answered.
func (j *job) applyNotice(s *send, responseStatus *ResponseStatus) {
	addressed := s.choice.Upstream
	answered := addressed
	if id := responseStatus.InstanceID; id != "" && id != addressed.ID {
		if answered = j.gateway.Catalog.Upstreams().ByID[id]; answered == nil {
			answered = &catalog.Upstream{ID: id}
		}
	}
	j.gateway.Notices.Apply(answered, responseStatus.Notice, responseStatus.NoticeError, s.startedAt)
}
