package gateway

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

const (
	// sampleEvery is the number of requests served at the first attempt for each
	// that is logged.
	sampleEvery = 16
	// maxLinesPerSecond bounds the lines on other requests.
	maxLinesPerSecond = 100
)

// outcome is how a request ended.
type outcome struct {
	status    int
	reason    string
	firstByte time.Duration
	// events is the last event that was passed on.
	events string
	// excluded says why no upstream could be chosen.
	excluded string
	err      error
}

// recorder writes a line on each request that was not served or took more than one
// attempt, and on a sample of the others, within a bound.
type recorder struct {
	log        zerolog.Logger
	second     atomic.Int64
	lines      atomic.Int64
	suppressed atomic.Int64
}

func newRecorder(log zerolog.Logger) *recorder { return &recorder{log: log} }

// allow reports whether one more line may be written in this second.
func (r *recorder) allow(now time.Time) bool {
	second := now.Unix()
	if former := r.second.Load(); former != second && r.second.CompareAndSwap(former, second) {
		if lost := r.suppressed.Swap(0); lost > 0 {
			r.log.Warn().Int64("lines", lost).Msg("gateway: lines left out")
		}
		r.lines.Store(0)
	}
	if r.lines.Add(1) <= maxLinesPerSecond {
		return true
	}
	r.suppressed.Add(1)
	metrics.Counter("gateway.lines_left_out").Inc(1)
	return false
}

// finish ends a job and writes its line. It runs also when the caller's
// connection is broken off, which is a panic of net/http's own.
func (j *job) finish() {
	j.gateway.buffered.Add(-j.held)
	took := bootclock.Since(j.arrived)
	if j.outcome.reason == "" {
		j.outcome.reason = "caller-left"
	}
	customer := "none"
	if j.customer != nil {
		customer = j.customer.Name
	}
	metrics.Counter("gateway.requests", "outcome", j.outcome.reason, "status", fmt.Sprint(j.outcome.status)).Inc(1)
	metrics.Histogram("gateway.answer_us", "customer", customer).Update(took.Microseconds())
	if j.outcome.firstByte > 0 {
		metrics.Histogram("gateway.first_event_us", "customer", customer).Update(j.outcome.firstByte.Microseconds())
	}
	served := j.outcome.reason == "answered" && j.outcome.status < 500
	ordinary := served && len(j.sends) <= 1
	if ordinary && (j.call == nil || xxhash.Sum64String(j.call.ID)%sampleEvery != 0) {
		return
	}
	if !ordinary && !j.gateway.records.allow(time.Now()) {
		return
	}
	j.writeLine(customer, took, served)
}

func (j *job) writeLine(customer string, took time.Duration, served bool) {
	level := zerolog.InfoLevel
	if !served {
		level = zerolog.WarnLevel
	}
	line := j.gateway.records.log.WithLevel(level).
		Str("outcome", j.outcome.reason).
		Int("status", j.outcome.status).
		Str("customer", customer).
		Dur("took_ms", took)
	if j.call != nil {
		line = line.Str("request", j.call.ID).Dur("patience_ms", j.call.Patience)
	}
	if j.config != nil {
		line = line.Int64("config", j.config.Version).Dur("evidence_ms", j.gateway.Catalog.EvidenceAge(bootclock.Now()))
	}
	if j.route != nil {
		line = line.Str("route", j.route.Name).Str("kind", j.route.Kind.String())
	}
	if j.request.Model != "" {
		line = line.Int64("wanted", j.request.TargetVersion).Int64("version", j.choice.Version).
			Int64("prompt_tokens", j.request.PromptTokens).Int64("missing_tokens", j.choice.MissingTokens).
			Float64("cost_ms", j.choice.ExpectedWaitMS).Str("copied_from", j.choice.CopySource).Str("saved_in", j.choice.SaveStore)
	}
	if j.outcome.firstByte > 0 {
		line = line.Dur("first_ms", j.outcome.firstByte)
	}
	if j.outcome.events != "" {
		line = line.Str("last_event", j.outcome.events)
	}
	if j.outcome.excluded != "" {
		line = line.Str("excluded", j.outcome.excluded)
	}
	if len(j.sends) > 0 {
		line = line.Str("sends", describe(j.sends))
	}
	if j.outcome.err != nil && !errors.Is(j.outcome.err, errGone) {
		line = line.Err(j.outcome.err)
	}
	line.Msg("gateway: request ended")
}

func describe(sends []sendRecord) string {
	var b strings.Builder
	for i, send := range sends {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%s/%dms", send.upstream, send.result, send.took.Milliseconds())
	}
	return b.String()
}
