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
	prepareParallel = 32
	prepareAttempts = 4
	prepareInterval = 300 * time.Millisecond
)

// Announcement is the result of announcing a publication to the witnesses.
type Announcement struct {
	// Confirmed is the number of witnesses that noted it, of Witnesses in all.
	Confirmed, Witnesses int
	// Needed is the number of confirmations without which it must not be made.
	Needed int
}

// IsSufficient reports whether the publication may be made.
func (a Announcement) IsSufficient() bool { return a.Confirmed >= a.Needed }

// Announce tells the witnesses of the set in force about a publication on top of
// it. From its confirmation on, a witness makes no statement that the set
// is the newest, until the publication is resolved. The base must be in force here.
func (m *Manager) Announce(ctx context.Context, base *snapshot.Snapshot, nonce string) Announcement {
	current := m.current.Load()
	result := Announcement{Witnesses: len(current.witnesses), Needed: majority(len(current.witnesses))}
	if current.snapshot.Revision() != base.Revision() {
		return result
	}
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Hash: current.hash[:], Prepare: nonce}
	left := current.witnesses
	for attempt := range prepareAttempts {
		if attempt > 0 {
			_ = pause.For(ctx, prepareInterval)
		}
		left = m.announceTo(ctx, left, request)
		result.Confirmed = result.Witnesses - len(left)
		if result.IsSufficient() || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// announceTo asks the witnesses at the addresses and returns those that did not confirm.
func (m *Manager) announceTo(ctx context.Context, addresses []string, request *wirepb.ConfigExchange) []string {
	confirmed := make([]atomic.Bool, len(addresses))
	var group errgroup.Group
	group.SetLimit(prepareParallel)
	for i, address := range addresses {
		group.Go(func() error {
			confirmed[i].Store(m.announceOne(ctx, address, request))
			return nil
		})
	}
	_ = group.Wait()
	var left []string
	for i, address := range addresses {
		if !confirmed[i].Load() {
			left = append(left, address)
		}
	}
	return left
}

// announceOne asks one witness, which may be this process itself.
func (m *Manager) announceOne(ctx context.Context, address string, request *wirepb.ConfigExchange) bool {
	if address == m.options.View.Self().Address {
		return m.HandleExchange("", request).Prepared
	}
	reply, _, err := m.exchange(ctx, address, request)
	return err == nil && reply.Prepared
}

// Abandon tells the witnesses that an announced publication has not taken effect
// and never will. It does not wait.
func (m *Manager) Abandon(base *snapshot.Snapshot, nonce string) {
	current := m.current.Load()
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Prepare: nonce, Abandon: true}
	m.run(func(ctx context.Context) { m.announceTo(ctx, current.witnesses, request) })
}
