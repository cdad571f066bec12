package dispatch

import (
	"errors"
	"sync/atomic"

	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errBecameSuspect ends a run that was not marked as suspect when it began.
var errBecameSuspect = errors.New("the content became suspect while it ran")

// suspicionWatch closes the stream of a run when a crash elsewhere makes the run's
// content suspect or convicted. The run then ends before it can crash its engine.
// The prompt continues as a suspect, or is given up if it is convicted.
type suspicionWatch struct {
	// streamClosed is set just before the watch closes the stream.
	streamClosed atomic.Bool
	// stop ends the watch. It must be called when the run ends.
	stop func()
}

// watchSuspicion starts the watch of a run on a stream; the watch's stop must be
// called when the run ends. A run that is already marked as suspect is not watched.
func (p *Prompter) watchSuspicion(run *promptRun, stream *wire.Stream) *suspicionWatch {
	w := &suspicionWatch{stop: func() {}}
	if p.options.Quarantine != nil && !run.request.Suspect {
		w.stop = p.options.Quarantine.Watch(run.request.Digest, func() {
			w.streamClosed.Store(true)
			_ = stream.Close()
		})
	}
	return w
}

// recordStreamError records the refusal for an error of the stream. It returns
// errBecameSuspect if the watch closed the stream, and err otherwise.
func (w *suspicionWatch) recordStreamError(run *promptRun, err error, address string) error {
	if !w.streamClosed.Load() {
		run.recordRefusal(agentLostRefusal(err, address))
		return err
	}
	run.recordRefusal(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errBecameSuspect.Error(), "run prompt", address))
	return errBecameSuspect
}
