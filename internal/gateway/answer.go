package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
)

// cacheSalt keeps cached parts of other weights, and of other customers where
// one is isolated, apart.
func cacheSalt(version int64, customer *catalog.Customer) string {
	salt := "w" + strconv.FormatInt(version, 10)
	if customer != nil && customer.Isolated {
		salt += "." + customer.Name
	}
	return salt
}

// answer decides on an answer by its head, and passes it on.
func (j *job) answer(ctx context.Context, choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, started bootclock.Instant) (bool, *refusal) {
	answerStatus := j.gateway.Codec.Classify(response.Status, response.Header)
	if answerStatus.Version > 0 {
		j.gateway.Balancer.RecordVersion(choice.Upstream.ID, j.call.Model, answerStatus.Version)
	}
	if answerStatus.NotRun {
		return j.rejected(choice, attempt, response, &answerStatus, started)
	}
	j.runs++
	if response.Status < http.StatusMultipleChoices && !answerStatus.Sound {
		attempt.RecordFailure()
		j.note(choice.Upstream, "unsound", started)
		return false, j.again(true)
	}
	if j.route.Kind == catalog.Stream && isEventStream(response) {
		return j.stream(ctx, choice, attempt, response, started)
	}
	return j.whole(choice, attempt, response, started)
}

func isEventStream(response *exchange.Response) bool {
	if response.Status != http.StatusOK {
		return false
	}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// rejected handles an answer that says that the request has not run.
func (j *job) rejected(choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, answerStatus *AnswerStatus, started bootclock.Instant) (bool, *refusal) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err == nil {
		response.Finished()
	}
	switch {
	case answerStatus.Misdirected && answerStatus.Life != "" && answerStatus.Life != choice.Upstream.ID:
		j.note(choice.Upstream, "ended", started)
		j.gateway.ended(choice.Upstream, attempt, answerStatus.Life)
	case answerStatus.Misdirected:
		j.note(choice.Upstream, "misdirected", started)
		attempt.RecordRefusal(misdirectedPause)
	default:
		j.note(choice.Upstream, "rejected-"+strconv.Itoa(response.Status), started)
		attempt.RecordRefusal(fullPause)
	}
	return false, j.again(false)
}

// whole passes on an answer that is complete before its first byte is sent.
func (j *job) whole(choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, started bootclock.Instant) (bool, *refusal) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("answer is too large")
	}
	if err != nil {
		j.outcome.err = err
		attempt.RecordFailure()
		j.note(choice.Upstream, "broken-off", started)
		if j.gone() {
			return true, nil
		}
		if j.left() < minLeft {
			return false, failedTimeout
		}
		return false, j.again(true)
	}
	response.Finished()
	if response.Status >= http.StatusInternalServerError {
		attempt.RecordFailure()
		j.note(choice.Upstream, "status-"+strconv.Itoa(response.Status), started)
		if j.repeatable() && j.again(true) == nil {
			return false, nil
		}
	} else {
		attempt.RecordSuccess()
		j.note(choice.Upstream, "answered", started)
	}
	copyHeaders(j.w.Header(), response.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(response.Status)
	if _, err := j.w.Write(body); err != nil {
		j.outcome.err = err
	}
	j.outcome.status = response.Status
	j.outcome.reason = "answered"
	return true, nil
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// ConnectionHeader reports whether a header concerns one connection only and is
// not passed on.
func ConnectionHeader(name string) bool { return connectionHeaders[name] }

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}

// refuse answers by the gateway itself.
func (j *job) refuse(refused *refusal) {
	if j.gone() {
		j.outcome.reason = "caller-left"
		j.refund()
		return
	}
	j.outcome.status = refused.status
	j.outcome.reason = refused.reason
	j.refund()
	header := j.w.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", seconds(refused.retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := refused.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	j.w.WriteHeader(refused.status)
	if _, err := io.WriteString(j.w, text); err != nil {
		j.outcome.err = err
	}
}

// seconds formats a duration for Retry-After.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
