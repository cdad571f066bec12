package quarantine

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
)

const (
	// trialFor is how long a trial is held without news, as when its router is lost.
	trialFor     = suspectFor
	trialPoll    = 30 * time.Millisecond
	trialTimeout = 300 * time.Millisecond
)

// Permit is what is known of a content, and the leave to run it, which one run in
// the fleet has for a suspect.
type Permit struct {
	State State
	// Remaining is how long the state lasts.
	Remaining time.Duration
	// CrashTokens of a suspect's answer were given before its last crash.
	CrashTokens int64

	release func()
}

// Release ends a trial, so that repeats of the content may go on.
func (p Permit) Release() {
	if p.release != nil {
		p.release()
	}
}

// Admit blocks until a content may run, is convicted, or ctx ends. Repeats of a
// suspect run one after the other, through whatever routers they come.
func (m *Manager) Admit(ctx context.Context, digest uint64) (Permit, error) {
	holder := rand.Uint64()
	for {
		state, left := m.Lookup(digest)
		if state != StateSuspect {
			return Permit{State: state, Remaining: left}, nil
		}
		ask := &wirepb.QuarantineTrial{Digest: digest, Holder: holder}
		if m.askTrial(ctx, ask) {
			tokens := m.table.crashTokens(digest)
			return Permit{State: state, Remaining: left, CrashTokens: tokens, release: func() { m.endTrial(ctx, ask) }}, nil
		}
		if err := pause.For(ctx, trialPoll); err != nil {
			return Permit{}, err
		}
	}
}

// askTrial asks the router that arbitrates the content. When it can't be asked the
// content may run: a lost router must not stop innocents.
func (m *Manager) askTrial(ctx context.Context, ask *wirepb.QuarantineTrial) bool {
	arbiter := m.arbiter(ask.Digest)
	if arbiter.Process == m.options.View.Self().Process {
		return m.judgeTrial(ask).Granted
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := m.exchange(ctx, arbiter.Address, &wirepb.QuarantineUpdate{Trial: ask})
	if err != nil {
		metrics.Counter("quarantine.trials_unarbitrated").Inc(1)
		m.options.Log.Debug().Err(err).Str("peer", arbiter.Process).Msg("quarantine: trial not arbitrated")
		return true
	}
	m.applyAll(reply.Entries)
	return reply.Granted
}

// endTrial gives a trial back, also when the request's own time is over. The
// arbiter learns of a conviction with it, before it can grant another trial.
func (m *Manager) endTrial(ctx context.Context, ask *wirepb.QuarantineTrial) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
	defer cancel()
	end := &wirepb.QuarantineTrial{Digest: ask.Digest, Holder: ask.Holder, Release: true}
	arbiter := m.arbiter(ask.Digest)
	if arbiter.Process == m.options.View.Self().Process {
		m.judgeTrial(end)
		return
	}
	update := &wirepb.QuarantineUpdate{Trial: end, Entries: m.conviction(ask.Digest)}
	if _, err := m.exchange(ctx, arbiter.Address, update); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", arbiter.Process).Msg("quarantine: trial not given back")
	}
}

// conviction returns the entry of a convicted content, if it is one.
func (m *Manager) conviction(digest uint64) []*wirepb.QuarantineEntry {
	state, left := m.Lookup(digest)
	if state != StateConvicted {
		return nil
	}
	return []*wirepb.QuarantineEntry{{Digest: digest, State: wireState(state), RemainingMs: left.Milliseconds()}}
}

// arbiter returns the router that all routers ask about a content.
func (m *Manager) arbiter(digest uint64) membership.Member {
	best := m.options.View.Self()
	var top uint64
	for _, member := range m.options.View.Members() {
		if member.Role != membership.RoleRouter || member.State != membership.StateAlive {
			continue
		}
		if weight := Digest(binary.LittleEndian.AppendUint64(nil, digest), []byte(member.Process)); weight >= top {
			best, top = member, weight
		}
	}
	return best
}

// judgeTrial answers as the arbiter of a content, with what is known of it.
func (m *Manager) judgeTrial(ask *wirepb.QuarantineTrial) *wirepb.QuarantineUpdate {
	if ask.Release {
		m.trials.release(ask.Digest, ask.Holder)
		return &wirepb.QuarantineUpdate{}
	}
	if convicted := m.conviction(ask.Digest); convicted != nil {
		return &wirepb.QuarantineUpdate{Entries: convicted}
	}
	return &wirepb.QuarantineUpdate{Granted: m.trials.take(ask.Digest, ask.Holder)}
}

// trials are the runs of suspects that this process arbitrates.
type trials struct {
	mu   sync.Mutex
	held map[uint64]holding
}

type holding struct {
	holder uint64
	until  time.Time
}

// take grants a trial unless another run holds it.
func (t *trials) take(digest, holder uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for other, held := range t.held {
		if now.After(held.until) {
			delete(t.held, other)
		}
	}
	if held, ok := t.held[digest]; ok && held.holder != holder {
		return false
	}
	t.held[digest] = holding{holder: holder, until: now.Add(trialFor)}
	return true
}

func (t *trials) release(digest, holder uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[digest].holder == holder {
		delete(t.held, digest)
	}
}
