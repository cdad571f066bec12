package configsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/snapshot"
	"golang.org/x/sync/errgroup"
)

const (
	// maxParallelAnnouncements is the number of witnesses asked at once.
	maxParallelAnnouncements = 32
	// announceAttempts is the number of rounds of requests to the witnesses that have
	// not confirmed yet, and announceInterval is the pause between rounds.
	announceAttempts = 4
	announceInterval = 300 * time.Millisecond
)

// Announcement is the result of announcing a publication to the witnesses.
type Announcement struct {
	// Confirmed is the number of witnesses that confirmed the announcement, and
	// Witnesses the number of all witnesses.
	Confirmed, Witnesses int
	// Needed is the number of confirmations that the publication requires.
	Needed int
}

// IsSufficient reports whether enough witnesses confirmed for the publication to be committed.
func (a Announcement) IsSufficient() bool { return a.Confirmed >= a.Needed }

// Announce announces a publication on top of base to the witnesses of the current
// set. A witness that has confirmed makes no statement that the current revision is
// the newest until the publication is resolved. Announce asks no witness when base is
// not the current snapshot. It blocks until enough witnesses have confirmed, all
// attempts are made, or ctx ends.
func (m *Manager) Announce(ctx context.Context, base *snapshot.Snapshot, nonce string) Announcement {
	current := m.current.Load()
	result := Announcement{Witnesses: len(current.witnesses), Needed: majority(len(current.witnesses))}
	if current.snapshot.Revision() != base.Revision() {
		return result
	}
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Hash: current.hash[:], Prepare: nonce}
	unconfirmed := current.witnesses
	for attempt := range announceAttempts {
		if attempt > 0 {
			_ = pause.For(ctx, announceInterval)
		}
		unconfirmed = m.announceTo(ctx, unconfirmed, request)
		result.Confirmed = result.Witnesses - len(unconfirmed)
		if result.IsSufficient() || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// announceTo sends the request to the witnesses and returns the addresses of those that did not confirm it.
func (m *Manager) announceTo(ctx context.Context, addresses []string, request *wirepb.ConfigExchange) []string {
	confirmed := make([]atomic.Bool, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallelAnnouncements)
	for i, address := range addresses {
		group.Go(func() error {
			confirmed[i].Store(m.announceOne(ctx, address, request))
			return nil
		})
	}
	_ = group.Wait()
	var unconfirmed []string
	for i, address := range addresses {
		if !confirmed[i].Load() {
			unconfirmed = append(unconfirmed, address)
		}
	}
	return unconfirmed
}

// announceOne sends the request to one witness, which may be this process, and reports
// whether the witness confirmed it.
func (m *Manager) announceOne(ctx context.Context, address string, request *wirepb.ConfigExchange) bool {
	if address == m.options.View.Self().Address {
		return m.HandleExchange("", request).Prepared
	}
	reply, _, err := m.exchange(ctx, address, request)
	return err == nil && reply.Prepared
}

// Abandon reports to the witnesses in the background that an announced publication has not
// taken effect and never will.
func (m *Manager) Abandon(base *snapshot.Snapshot, nonce string) {
	current := m.current.Load()
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Prepare: nonce, Abandon: true}
	m.run(func(ctx context.Context) { m.announceTo(ctx, current.witnesses, request) })
}
