package configsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/snapshot"
	"golang.org/x/sync/errgroup"
)

const (
	prepareParallel = 32
	prepareAttempts = 4
	prepareInterval = 300 * time.Millisecond
)

// Announcement is the result of announcing a publication to the agents.
type Announcement struct {
	// Confirmed is the number of agents that noted it, of Agents in all.
	Confirmed, Agents int
	// Needed is the number of confirmations without which it must not be made.
	Needed int
}

// Enough reports whether the publication may be made.
func (a Announcement) Enough() bool { return a.Confirmed >= a.Needed }

// Announce tells the agents that the set in force names about a publication on
// top of it. From its confirmation on, an agent makes no statement that the set
// is the newest, until the publication is resolved. The base must be in force here.
func (m *Manager) Announce(ctx context.Context, base *snapshot.Snapshot, nonce string) Announcement {
	current := m.current.Load()
	result := Announcement{Agents: len(current.agents), Needed: majority(len(current.agents))}
	if current.snapshot.Revision() != base.Revision() {
		return result
	}
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Hash: current.hash[:], Prepare: nonce}
	left := current.agents
	for attempt := range prepareAttempts {
		if attempt > 0 {
			pause(ctx, prepareInterval)
		}
		left = m.announceTo(ctx, left, request)
		result.Confirmed = result.Agents - len(left)
		if result.Enough() || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// announceTo asks the agents at the addresses and returns those that did not confirm.
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

// announceOne asks one agent, which may be this process itself.
func (m *Manager) announceOne(ctx context.Context, address string, request *wirepb.ConfigExchange) bool {
	if address == m.options.View.Self().Address {
		return m.Answer("", request).Prepared
	}
	reply, _, err := m.exchange(ctx, address, request)
	return err == nil && reply.Prepared
}

// Abandon tells the agents that an announced publication has not taken effect
// and never will. It does not wait.
func (m *Manager) Abandon(base *snapshot.Snapshot, nonce string) {
	current := m.current.Load()
	request := &wirepb.ConfigExchange{Revision: base.Revision(), Prepare: nonce, Abandon: true}
	m.run(func(ctx context.Context) { m.announceTo(ctx, current.agents, request) })
}
