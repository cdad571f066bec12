package runner

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// crashCheckTimeout bounds the question whether the engine still lives.
const crashCheckTimeout = 300 * time.Millisecond

// Suspects is told of contents that were in flight at crashes of the engine.
type Suspects interface {
	// Recent returns what routers may not know of a content yet.
	Recent(digest uint64) quarantine.Permit
	// Suspect notes a content that was in flight at a crash, after some tokens of its answer.
	Suspect(digest uint64, tokens int64)
	// Convict notes a content that crashed upstreams and returns for how long it is refused.
	Convict(digest uint64) time.Duration
}

// nearTokens is how far two crashes under one content may lie apart in its answer.
// Tokens on their way are lost in a crash, so that the place is not exact.
const nearTokens = 8

// lost explains a run that broke off. When the engine crashed, the request
// becomes suspect, whether or not it had given tokens. A suspect that crashed
// while it was alone, or at the place of its first crash, is convicted.
func (x *running) lost(ctx context.Context, err error) *wirepb.RunEvent {
	event := x.runner.refuse(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, err.Error())
	if ctx.Err() != nil || !x.runner.crashed(ctx, x.prefix.incarnation) {
		return event
	}
	x.runner.engineDown()
	told := event.GetRefusal()
	told.Suspect = true
	told.CrashTokens = x.request.ResumeOffset + x.generated
	if x.request.Suspect && x.crashedAgain() {
		x.convict(told)
		return event
	}
	if x.runner.options.Suspects != nil {
		x.runner.options.Suspects.Suspect(x.request.Digest, told.CrashTokens)
	}
	return event
}

// crashedAgain reports whether nothing but the suspect explains the crash: it was
// alone, having given no token, or had come to the place of its first crash,
// counted from the start of the answer or of the run. Else what ran beside it may
// have crashed the engine.
func (x *running) crashedAgain() bool {
	return x.generated == 0 ||
		near(x.request.ResumeOffset+x.generated, x.request.CrashTokens) ||
		near(x.generated, x.request.CrashTokens)
}

func near(a, b int64) bool { return a-b <= nearTokens && b-a <= nearTokens }

// unwarned returns a refusal for a request whose content has become suspect, or
// was convicted, after its router sent it; nil when there is no such news.
func (x *running) unwarned() *wirepb.RunEvent {
	known := x.runner.options.Suspects
	if known == nil {
		return nil
	}
	news := known.Recent(x.request.Digest)
	if news.State == quarantine.StateConvicted {
		event := x.runner.refuse(refusal.Quarantined, wirepb.RunState_RUN_NOT_RUN, "the request's content crashed upstreams")
		refusal.After(event.GetRefusal(), news.Remaining)
		return event
	}
	if news.State != quarantine.StateSuspect || x.request.Suspect {
		return nil
	}
	event := x.runner.refuse(refusal.QueueFull, wirepb.RunState_RUN_NOT_RUN, "the request's content was in flight at a crash")
	event.GetRefusal().Suspect = true
	event.GetRefusal().CrashTokens = news.CrashTokens
	return event
}

func (x *running) convict(told *wirepb.Refusal) {
	told.Code = string(refusal.Poisonous)
	told.Message = "the request was in flight at two crashes of upstreams"
	if x.runner.options.Suspects == nil {
		return
	}
	refusal.After(told, x.runner.options.Suspects.Convict(x.request.Digest))
}

// crashed reports whether the engine is down, or another incarnation than the
// one that the run began on.
func (r *Runner) crashed(ctx context.Context, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	load, err := r.options.Driver.Load(ctx)
	if err != nil {
		return true
	}
	return incarnation != 0 && load.Incarnation != incarnation
}
