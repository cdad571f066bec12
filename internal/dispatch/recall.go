package dispatch

import (
	"errors"
	"sync/atomic"

	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errRecalled ends a run whose content became suspect while it was not marked.
var errRecalled = errors.New("the content became suspect while it ran")

// recall ends a run when a crash elsewhere makes its content suspect, so that it
// goes on as a suspect before it crashes its own engine.
type recall struct {
	done atomic.Bool
	stop func()
}

// watchRun returns the recall of a run on a stream.
func (p *Prompter) watchRun(a *attempt, stream *wire.Stream) *recall {
	r := &recall{stop: func() {}}
	if p.options.Quarantine != nil && !a.request.Suspect {
		r.stop = p.options.Quarantine.Watch(a.request.Digest, func() {
			r.done.Store(true)
			_ = stream.Close()
		})
	}
	return r
}

// explain turns the error of a stream into that of its recall.
func (r *recall) explain(a *attempt, err error, address string) error {
	if !r.done.Load() {
		a.note(lostRefusal(err, address))
		return err
	}
	a.note(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errRecalled.Error(), "run prompt", address))
	return errRecalled
}
