package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/origin"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/rs/zerolog"
)

const (
	// sampleInterval sets the sample of log lines: of the requests that were served by
	// their first attempt, about one in sampleInterval is logged.
	sampleInterval = 16
	// maxLinesPerSecond bounds the log lines that one gateway writes for requests that were not
	// served or took more than one attempt, and again for those that were sent to older weights.
	maxLinesPerSecond = 100
)

// outcome is how a request ended.
type outcome struct {
	status int
	reason string
	// timeToFirstEvent is the time from the request's arrival to the header of a stream,
	// which is sent with the first event, or at the end of a stream without events. It is
	// 0 for other responses.
	timeToFirstEvent time.Duration
	// lastEventID is the ID of the last event that was forwarded.
	lastEventID string
	// excluded states why no upstream could be picked.
	excluded string
	// weights is the decision on the weights of the last send; nil if it was not to an engine.
	weights *weightsRecord
	// wait is the request's wait in a queue or its refusal there; nil if there was neither.
	wait *waitRecord
	// convictedKey is the content because of which the request was not sent, or not again.
	convictedKey poison.Key
	// suspectKey is the content because of which a send was a trial, or was held back.
	suspectKey poison.Key
	// origin is where the stream began that the caller resumes.
	origin origin.Origin
	err    error
}

// finish subtracts the job's bodies from the buffered total and records the job's metrics
// and log line. It is deferred because it must also run when abortResponse panics with
// http.ErrAbortHandler.
func (j *job) finish() {
	j.gateway.buffered.Add(-j.bufferedBytes)
	duration := bootclock.Since(j.arrivedAt)
	// Only a caller that disconnected, or an unexpected panic, leaves the reason empty.
	if j.outcome.reason == "" {
		j.outcome.reason = "caller-left"
	}
	customer := j.customerName()
	metrics.Counter("gateway.requests", "outcome", j.outcome.reason, "status", fmt.Sprint(j.outcome.status)).Inc(1)
	metrics.BoundedHistogram("gateway.answer_us", "customer", customer).Update(duration.Microseconds())
	if j.outcome.timeToFirstEvent > 0 {
		metrics.BoundedHistogram("gateway.first_event_us", "customer", customer).Update(j.outcome.timeToFirstEvent.Microseconds())
	}
	// A response with status 5xx of an upstream is an answer but does not serve the
	// request.
	served := j.outcome.reason == "answered" && j.outcome.status < 500
	servedByFirstAttempt := served && len(j.attempts) <= 1
	if j.mayLog(servedByFirstAttempt) {
		j.writeLogLine(customer, duration, served)
	}
}

// mayLog reports whether the request gets a log line: each one that was not served, took more than
// one attempt or was sent to older weights than the newest, up to maxLinesPerSecond, and a sample
// of the others. Requests to older weights have a bound of their own, so that they, which are many
// while new weights are rolled out, leave room for the failures.
func (j *job) mayLog(servedByFirstAttempt bool) bool {
	switch {
	case !servedByFirstAttempt:
		return j.gateway.requestLines.Reserve(time.Now())
	case j.call == nil:
		return false
	case xxhash.Sum64String(j.call.ID)%sampleInterval == 0:
		return true
	default:
		return j.outcome.weights.isOlder() && j.gateway.weightsLines.Reserve(time.Now())
	}
}

// customerName returns the customer's name in metrics and logs.
func (j *job) customerName() string {
	if j.customer == nil {
		return "none"
	}
	return j.customer.Name
}

func (j *job) writeLogLine(customer string, duration time.Duration, served bool) {
	level := zerolog.InfoLevel
	if !served {
		level = zerolog.WarnLevel
	}
	line := j.gateway.Log.WithLevel(level).
		Str("outcome", j.outcome.reason).
		Int("status", j.outcome.status).
		Str("customer", customer).
		Dur("took_ms", duration)
	if j.call != nil {
		line = line.Str("request", j.call.ID).Dur("patience_ms", j.call.Timeout)
	}
	if j.configVersion != 0 {
		line = line.Int64("config", j.configVersion).Dur("evidence_ms", j.gateway.Catalog.ConfigEvidenceAge(bootclock.Now()))
	}
	if j.route != nil {
		line = line.Str("route", j.route.Name).Str("kind", j.route.Kind.String())
	}
	line = j.logChoice(line)
	line = j.logFindings(line)
	if !served && j.possibleRuns > 0 && len(j.pickRequest.Parts) > 0 {
		line = line.Strs("parts", partIDs(j.pickRequest.Parts))
	}
	if len(j.attempts) > 0 {
		line = line.Str("sends", formatAttempts(j.attempts)).Dur("list_ms", j.gateway.Catalog.UpstreamsEvidenceAge(bootclock.Now()))
	}
	if j.outcome.err != nil && !errors.Is(j.outcome.err, errCallerLeft) {
		line = line.Err(j.outcome.err)
	}
	line.Msg("gateway: request ended")
}

// logChoice adds the fields about the chosen upstream to a log line.
func (j *job) logChoice(line *zerolog.Event) *zerolog.Event {
	if j.pickRequest.Model != "" {
		line = line.Int64("wanted", j.pickRequest.TargetVersion).Int64("version", j.choice.Version).
			Int64("prompt_tokens", j.pickRequest.PromptTokens).Int64("missing_tokens", j.choice.MissingTokens).
			Float64("cost_ms", j.choice.ExpectedWaitMS).Str("copied_from", j.choice.CopySource).Str("saved_in", j.choice.SaveStore)
	}
	if j.outcome.weights != nil {
		line = j.outcome.weights.logFields(line)
	}
	if j.outcome.timeToFirstEvent > 0 {
		line = line.Dur("first_ms", j.outcome.timeToFirstEvent)
	}
	if j.choice.Upstream != nil && j.route.Kind == catalog.Stream {
		line = line.Str("software", j.choice.Upstream.Software)
	}
	return line
}

// logFindings adds the fields that only some requests have: about a resumed stream, contents
// that crash upstreams, excluded upstreams and a wait in a queue.
func (j *job) logFindings(line *zerolog.Event) *zerolog.Event {
	if j.call != nil && j.call.ResumedID != "" {
		line = line.Str("resumes", j.call.ResumedID)
	}
	if j.outcome.origin.Finding != "" {
		line = line.Str("origin", string(j.outcome.origin.Finding)).Str("began_at", j.outcome.origin.Software)
	}
	if j.outcome.lastEventID != "" {
		line = line.Str("last_event", j.outcome.lastEventID)
	}
	if j.outcome.convictedKey != "" {
		line = line.Str("convicted", string(j.outcome.convictedKey))
	}
	if j.outcome.suspectKey != "" {
		line = line.Str("suspect", string(j.outcome.suspectKey)).Bool("on_trial", j.onTrial)
	}
	if j.outcome.excluded != "" {
		line = line.Str("excluded", j.outcome.excluded)
	}
	if j.outcome.wait != nil {
		line = j.outcome.wait.logFields(line)
	}
	return line
}

func partIDs(parts []balancer.Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

func formatAttempts(attempts []attemptRecord) string {
	var b strings.Builder
	for i, attempt := range attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%s/%dms", attempt.upstream, attempt.result, attempt.duration.Milliseconds())
	}
	return b.String()
}
