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
	// permitTTL is the time after which a permit that was not returned expires, for
	// instance because its router stopped.
	permitTTL           = suspicionTTL
	permitPollInterval  = 30 * time.Millisecond
	arbiterReplyTimeout = 300 * time.Millisecond
)

// Permit is the state of a content. If Admit returns it for a suspect, it also
// permits one run of it. One run in the fleet has such a permit at a time, as long
// as the content's arbiter answers.
type Permit struct {
	// State is the state of the content.
	State State
	// Remaining is how long the state still lasts.
	Remaining time.Duration
	// CrashTokens is the number of tokens of a suspect's answer that were generated
	// before its last crash.
	CrashTokens int64

	release func()
}

// Release returns the permit, so that the next run of the content may start. It
// does nothing for a content that needs no permit.
func (p Permit) Release() {
	if p.release != nil {
		p.release()
	}
}

// Admit blocks until the content may run or is convicted. It returns an error
// only if ctx ends first. Repeats of a suspect run one at a time, whichever
// routers receive them, as long as the content's arbiter answers. The caller must
// release the permit after the run.
func (m *Manager) Admit(ctx context.Context, digest uint64) (Permit, error) {
	// holder identifies this run to the arbiter.
	holder := rand.Uint64()
	for {
		state, remaining := m.Lookup(digest)
		if state != StateSuspect {
			return Permit{State: state, Remaining: remaining}, nil
		}
		request := &wirepb.QuarantineTrial{Digest: digest, Holder: holder}
		if m.requestPermit(ctx, request) {
			tokens := m.table.crashTokens(digest)
			return Permit{State: state, Remaining: remaining, CrashTokens: tokens, release: func() { m.returnPermit(ctx, request) }}, nil
		}
		if err := pause.For(ctx, permitPollInterval); err != nil {
			return Permit{}, err
		}
	}
}

// requestPermit asks the content's arbiter for a permit and reports whether the
// content may run. It blocks for at most arbiterReplyTimeout. If the arbiter
// answers that the content is convicted, requestPermit applies the conviction.
// The content may also run if the arbiter does not answer, because an unreachable
// router must not stop requests that caused no crash.
func (m *Manager) requestPermit(ctx context.Context, request *wirepb.QuarantineTrial) bool {
	arbiter := m.arbiter(request.Digest)
	if arbiter.Process == m.options.View.Self().Process {
		return m.arbitrate(request).Granted
	}
	ctx, cancel := context.WithTimeout(ctx, arbiterReplyTimeout)
	defer cancel()
	reply, err := m.exchange(ctx, arbiter.Address, &wirepb.QuarantineUpdate{Trial: request})
	if err != nil {
		metrics.Counter("quarantine.trials_unarbitrated").Inc(1)
		m.options.Log.Debug().Err(err).Str("peer", arbiter.Process).Msg("quarantine: arbiter did not answer a permit request; running the suspect without a permit")
		return true
	}
	m.applyAll(reply.Entries)
	return reply.Granted
}

// returnPermit returns the permit that was granted for a request to the content's
// arbiter, also when ctx has ended. If the content is convicted, the message
// carries the conviction too, so that the arbiter applies it before it can grant
// another permit.
func (m *Manager) returnPermit(ctx context.Context, granted *wirepb.QuarantineTrial) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), arbiterReplyTimeout)
	defer cancel()
	release := &wirepb.QuarantineTrial{Digest: granted.Digest, Holder: granted.Holder, Release: true}
	arbiter := m.arbiter(granted.Digest)
	if arbiter.Process == m.options.View.Self().Process {
		m.arbitrate(release)
		return
	}
	update := &wirepb.QuarantineUpdate{Trial: release, Entries: m.convictionEntries(granted.Digest)}
	if _, err := m.exchange(ctx, arbiter.Address, update); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", arbiter.Process).Msg("quarantine: arbiter did not answer the return of a permit; other runs of the content may have to wait until it expires")
	}
}

// convictionEntries returns the entry of a convicted content, or nil if the
// content is not convicted.
func (m *Manager) convictionEntries(digest uint64) []*wirepb.QuarantineEntry {
	state, remaining := m.Lookup(digest)
	if state != StateConvicted {
		return nil
	}
	return []*wirepb.QuarantineEntry{{Digest: digest, State: wireState(state), RemainingMs: remaining.Milliseconds()}}
}

// arbiter returns the router that grants the permits for a content. It is chosen
// by rendezvous hashing, so that all routers with the same view choose the same one.
func (m *Manager) arbiter(digest uint64) membership.Member {
	best := m.options.View.Self()
	var bestWeight uint64
	for _, member := range m.options.View.Members() {
		if member.Role != membership.RoleRouter || member.State != membership.StateAlive {
			continue
		}
		if weight := Digest(binary.LittleEndian.AppendUint64(nil, digest), []byte(member.Process)); weight >= bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best
}

// arbitrate handles a message to the arbiter of a content: the request of a
// permit or, if Release is set, its return. The reply to a request for a
// convicted content holds the conviction and grants no permit.
func (m *Manager) arbitrate(message *wirepb.QuarantineTrial) *wirepb.QuarantineUpdate {
	if message.Release {
		m.permits.release(message.Digest, message.Holder)
		return &wirepb.QuarantineUpdate{}
	}
	if convicted := m.convictionEntries(message.Digest); convicted != nil {
		return &wirepb.QuarantineUpdate{Entries: convicted}
	}
	return &wirepb.QuarantineUpdate{Granted: m.permits.grant(message.Digest, message.Holder)}
}

// permitTable holds the permits that this process has granted as an arbiter, by
// the digest of the content.
type permitTable struct {
	mu      sync.Mutex
	holders map[uint64]heldPermit
}

// heldPermit is a permit that the run identified by holder has until it returns
// the permit or the permit expires.
type heldPermit struct {
	holder uint64
	until  time.Time
}

// grant grants or renews the permit for permitTTL and reports whether the holder
// has it. It returns false while another run holds the permit.
func (t *permitTable) grant(digest, holder uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for heldDigest, permit := range t.holders {
		if now.After(permit.until) {
			delete(t.holders, heldDigest)
		}
	}
	if permit, ok := t.holders[digest]; ok && permit.holder != holder {
		return false
	}
	t.holders[digest] = heldPermit{holder: holder, until: now.Add(permitTTL)}
	return true
}

// release takes the permit back if the holder has it.
func (t *permitTable) release(digest, holder uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[digest].holder == holder {
		delete(t.holders, digest)
	}
}
