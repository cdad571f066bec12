package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
)

// handleResponse classifies a response by its status and header and forwards it to the
// caller, or decides whether another attempt may follow. The results are those of tryUpstream.
func (j *job) handleResponse(ctx context.Context, s *send) (bool, *refusal) {
	response := s.response
	responseStatus := j.classify(s)
	if responseStatus.NotRun {
		return j.handleUpstreamRefusal(s, &responseStatus)
	}
	j.possibleRuns++
	if response.Status < http.StatusMultipleChoices && !responseStatus.IsComplete || promisesNoRun(response.Status) {
		s.attempt.RecordFailure()
		j.recordAttempt(s, "unsound")
		return false, j.prepareRetry(true)
	}
	if j.route.Kind == catalog.Stream && isEventStream(response) {
		return j.forwardStream(ctx, s)
	}
	return j.forwardBuffered(s)
}

// promisesNoRun reports whether a caller takes a status for the promise that its request did
// not and will not run. An upstream's response with such a status that does not state this
// itself must not reach the caller.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// classify reads the header of the response to a send and records what it states about the
// upstream.
func (j *job) classify(s *send) ResponseStatus {
	responseStatus := j.gateway.Codec.Classify(s.response.Status, s.response.Header)
	j.applyNotice(s, &responseStatus)
	if responseStatus.Version > 0 {
		j.gateway.Balancer.RecordVersion(s.choice.Upstream.ID, j.call.Model, responseStatus.Version)
	}
	return responseStatus
}

func isEventStream(response *exchange.Response) bool {
	if response.Status != http.StatusOK {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// handleUpstreamRefusal handles a response which states that the upstream did not and will
// not run the request. It discards the body. The results are those of tryUpstream.
func (j *job) handleUpstreamRefusal(s *send, responseStatus *ResponseStatus) (bool, *refusal) {
	response, upstream := s.response, s.choice.Upstream
	response.Discard()
	switch {
	case responseStatus.Misdirected && responseStatus.InstanceID != "" && responseStatus.InstanceID != upstream.ID:
		// Another incarnation answers at the upstream's address.
		j.recordAttempt(s, "ended")
		j.gateway.markReplaced(upstream, s.attempt, responseStatus.InstanceID)
	case responseStatus.Misdirected:
		j.recordAttempt(s, "misdirected")
		s.attempt.RecordRefusal(misdirectedPause)
	default:
		j.recordAttempt(s, "rejected-"+strconv.Itoa(response.Status))
		s.attempt.RecordRefusal(refusalPause)
	}
	return false, j.prepareRetry(false)
}

// forwardBuffered reads the whole response before it sends the first byte to the
// caller, so that another attempt remains possible if reading fails. The results are
// those of tryUpstream.
func (j *job) forwardBuffered(s *send) (bool, *refusal) {
	response := s.response
	body, err := j.bufferBody(response.Body, maxResponseBytes)
	if err != nil {
		return j.handleUnreadBody(s, err)
	}
	response.MarkBodyRead()
	if response.Status >= http.StatusInternalServerError {
		s.attempt.RecordFailure()
		j.recordAttempt(s, "status-"+strconv.Itoa(response.Status))
		// If no retry is allowed, the caller gets the upstream's response.
		if j.mayRunAgain() && j.prepareRetry(true) == nil {
			j.releaseBody(body)
			return false, nil
		}
	} else {
		j.recordCompletion(s)
		s.report.recordBegin()
		j.recordAttempt(s, "answered")
	}
	j.writeBuffered(response, body)
	return true, nil
}

// handleUnreadBody handles a response whose body could not be read completely. The results
// are those of tryUpstream.
func (j *job) handleUnreadBody(s *send, cause error) (bool, *refusal) {
	result := "broken-off"
	if errors.Is(cause, errBodyMemory) {
		result = "no-memory"
	}
	j.outcome.err = cause
	j.recordLoss(s, cause)
	s.attempt.RecordFailure()
	j.recordAttempt(s, result)
	if j.callerLeft() {
		return true, nil
	}
	if j.timeLeft() < minTimeLeft {
		return false, failedTimeout
	}
	return false, j.prepareRetry(true)
}

// writeBuffered sends a response to the caller whose body has been read.
func (j *job) writeBuffered(response *exchange.Response, body *bufferedBody) {
	copyHeaders(j.w.Header(), response.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(body.length))
	j.w.WriteHeader(response.Status)
	if err := body.write(j.w); err != nil {
		j.outcome.err = err
	}
	j.outcome.status = response.Status
	j.outcome.reason = "answered"
}

// connectionHeaders are the headers that concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// ConnectionHeader reports whether the header with the given canonical name concerns
// one connection only and must not be forwarded.
func ConnectionHeader(name string) bool { return connectionHeaders[name] }

func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		if !connectionHeaders[name] {
			dst[name] = values
		}
	}
}

// writeRefusal sends the gateway's own response to the caller, unless the caller has
// disconnected. It refunds the customer's tokens if the request certainly did not run.
func (j *job) writeRefusal(refused *refusal) {
	if j.callerLeft() {
		j.outcome.reason = "caller-left"
		j.refund()
		return
	}
	j.outcome.status = refused.status
	j.outcome.reason = refused.reason
	j.refund()
	j.boundUnreadBody()
	header := j.w.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", formatSeconds(refused.retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := refused.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(refused.status)
	if _, err := io.WriteString(j.w, body); err != nil {
		j.outcome.err = err
	}
}

// formatSeconds formats a duration for the Retry-After header, in seconds with three
// decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
