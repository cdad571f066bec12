package dispatch

import (
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// deliveryThresholdBytes is the size of the pending text from which on it is
// delivered at once. Smaller text may wait for the next event.
const deliveryThresholdBytes = 4 << 10

// maxTokenBytes bounds the text of a run, as a mean over the tokens that it may have. The text is
// kept so that the run can be resumed.
const maxTokenBytes = 512

// noUpstreamRetryAfter is the time after which a caller is asked to try again
// when no upstream was found.
const noUpstreamRetryAfter = time.Second

var (
	// errSink marks an error that the Sink returned. The prompt is not retried.
	errSink = errors.New("caller left")
	// errOffset means that received tokens do not continue the delivered ones.
	errOffset = errors.New("tokens do not continue the stream")
	// errIncomplete means that the end of a run counts other tokens than were received.
	errIncomplete = errors.New("end does not count the received tokens")
	// errTooMuch means that a run goes on beyond its limit of tokens.
	errTooMuch = errors.New("run exceeds its limit of tokens")
	// errRetryBudget means that the upstream's retry budget does not allow a retry.
	errRetryBudget = errors.New("retry budget is spent")
)

// promptRun is the state of one prompt over all of its attempts. The ResumeOffset
// and Generated fields of its request hold the number of tokens and the text that
// were delivered to the caller.
type promptRun struct {
	request *wirepb.RunRequest
	sink    Sink
	// pendingText is the text that was received and is not delivered yet, and
	// pendingTokens the number of its tokens.
	pendingText   []byte
	pendingTokens int64
	runEnd        *wirepb.RunEnd
	lastRefusal   *wirepb.Refusal
	// attempts counts the candidates that were tried, also those whose agent was
	// unreachable.
	attempts int
	// crashes counts the crashes of upstreams that ran the prompt.
	crashes int
	// upstreamCrashed is true if the upstream crashed in the last attempt.
	upstreamCrashed bool
	// refusedAsSuspect is true if the last candidate refused the prompt before it
	// ran, because its content was in flight at an earlier crash.
	refusedAsSuspect bool
	// givenUp is true when no further candidate may be tried.
	givenUp bool
}

// adoptRequest replaces the request by the one of a new placement, which continues
// after the delivered tokens, and reports whether it did so. It keeps the old
// request if there is no new one, or if tokens were delivered and the new request
// has other weights: the answer would come from two models.
func (r *promptRun) adoptRequest(next *wirepb.RunRequest) bool {
	if next == nil || (r.request.ResumeOffset > 0 && next.Weights != r.request.Weights) {
		return false
	}
	next.ResumeOffset = r.request.ResumeOffset
	next.Generated = r.request.Generated
	next.Suspect = r.request.Suspect
	r.request = next
	return true
}

// finalRefusal returns the refusal for a caller whose prompt can't be completed: the
// last recorded one, or NoUpstream if no attempt was refused.
func (r *promptRun) finalRefusal() *wirepb.Refusal {
	if r.lastRefusal != nil {
		return r.lastRefusal
	}
	newRefusal := refusal.New(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can serve the request", "run prompt", "")
	return refusal.WithRetryAfter(newRefusal, noUpstreamRetryAfter)
}

// recordRefusal keeps a refusal as the last one. If an earlier attempt may have run
// and the refusal says "not run", recordRefusal sets the run state of the earlier
// refusal, because "not run" does not hold for the whole request.
func (r *promptRun) recordRefusal(newRefusal *wirepb.Refusal) {
	if r.lastRefusal != nil && r.lastRefusal.Run != wirepb.RunState_RUN_NOT_RUN && newRefusal.Run == wirepb.RunState_RUN_NOT_RUN {
		newRefusal.Run = r.lastRefusal.Run
	}
	r.lastRefusal = newRefusal
}

// giveUp ends the prompt with a refusal.
func (r *promptRun) giveUp(newRefusal *wirepb.Refusal) {
	r.recordRefusal(newRefusal)
	r.givenUp = true
}

// apply applies an event and reports whether the run is complete. If more is
// true, another event has begun to arrive, and received tokens may wait to be
// delivered together with it.
func (r *promptRun) apply(event *wirepb.RunEvent, more bool) (done bool, err error) {
	if tokens := event.GetTokens(); tokens != nil {
		return false, r.addTokens(tokens, more)
	}
	if err := r.deliver(); err != nil {
		return false, err
	}
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_End:
		return true, r.finish(e.End)
	case *wirepb.RunEvent_Refusal:
		// A refusal of a suspect content means a crash in this run if the run has
		// begun, and otherwise an earlier crash.
		r.upstreamCrashed = e.Refusal.Suspect && e.Refusal.Run != wirepb.RunState_RUN_NOT_RUN
		r.refusedAsSuspect = e.Refusal.Suspect && !r.upstreamCrashed
		r.recordRefusal(e.Refusal)
		return false, fault.New(e.Refusal.Message, e.Refusal.Step, e.Refusal.Peer)
	default:
		return false, nil
	}
}

// addTokens appends received tokens and delivers them unless they may wait. It
// returns errOffset if they do not continue those received before, and errTooMuch, without
// delivering them, if they exceed the run's limit.
func (r *promptRun) addTokens(tokens *wirepb.RunTokens, more bool) error {
	if tokens.Offset != r.request.ResumeOffset+r.pendingTokens {
		r.recordRefusal(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errOffset.Error(), "check offset", ""))
		return errors.Join(r.deliver(), fault.Wrap(errOffset, "check offset", ""))
	}
	if r.exceedsLimit(tokens) {
		r.recordRefusal(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errTooMuch.Error(), "check limit", ""))
		return errors.Join(r.deliver(), fault.Wrap(errTooMuch, "check limit", ""))
	}
	r.pendingText = append(r.pendingText, tokens.Text...)
	r.pendingTokens += tokens.Count
	if more && len(r.pendingText) < deliveryThresholdBytes {
		return nil
	}
	return r.deliver()
}

// exceedsLimit reports whether the run would have more tokens than the caller asked for, or more text
// than so many tokens have.
func (r *promptRun) exceedsLimit(tokens *wirepb.RunTokens) bool {
	limit := r.request.MaxTokens
	textBytes := len(r.request.Generated) + len(r.pendingText) + len(tokens.Text)
	return r.request.ResumeOffset+r.pendingTokens+tokens.Count > limit || int64(textBytes) > limit*maxTokenBytes
}

// deliver passes the pending tokens to the caller.
func (r *promptRun) deliver() error {
	if r.pendingTokens == 0 && len(r.pendingText) == 0 {
		return nil
	}
	if err := r.sink.Tokens(r.pendingText, r.pendingTokens); err != nil {
		return errors.Join(errSink, err)
	}
	r.request.ResumeOffset += r.pendingTokens
	r.request.Generated = append(r.request.Generated, r.pendingText...)
	r.pendingText = r.pendingText[:0]
	r.pendingTokens = 0
	return nil
}

// finish keeps the end of the run, or returns errIncomplete if it does not count just the
// tokens that were received: an end without the count does not show that the answer is whole.
// The usage in the end counts each token once, even if the prompt was resumed.
func (r *promptRun) finish(end *wirepb.RunEnd) error {
	delivered := r.request.ResumeOffset
	if end.Usage.GetCompletionTokens() != delivered {
		r.recordRefusal(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errIncomplete.Error(), "check end", ""))
		return fault.Wrap(errIncomplete, "check end", "")
	}
	if end.Usage == nil {
		end.Usage = &wirepb.Usage{PromptTokens: r.request.PromptTokens}
	}
	invariant.Check(delivered <= r.request.MaxTokens, "dispatch.tokens_within_limit", "%d tokens of at most %d", delivered, r.request.MaxTokens)
	r.runEnd = end
	return nil
}
