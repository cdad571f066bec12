package rollout

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/placement"
)

const (
	// coordinatorKey is hashed to choose the coordinator.
	coordinatorKey = "weight loads"
	// coordinators is how many agents are asked in turn.
	coordinators = 3
)

// Handle serves a stream of wirepb.KIND_ORDER: another agent asks for a place
// to load, or gives it back.
func (m *Manager) Handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.LoadRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	_ = stream.Send(m.answer(request))
}

func (m *Manager) answer(request *wirepb.LoadRequest) *wirepb.LoadReply {
	if request.Done {
		m.slots.give(request.Upstream)
		return &wirepb.LoadReply{}
	}
	set := m.options.Source.Current()
	if set == nil || request.Revision < set.Revision {
		// The asker is behind; it asks again once it has the newer configuration.
		return &wirepb.LoadReply{Revision: revision(set)}
	}
	granted := m.slots.take(request.Upstream, max(1, set.Fleet.MaxLoads))
	return &wirepb.LoadReply{Granted: granted, Revision: set.Revision}
}

func revision(set *object.Set) uint64 {
	if set == nil {
		return 0
	}
	return set.Revision
}

// mayLoad asks the coordinator for a place. Without any coordinator the answer
// becomes yes after a while.
func (m *Manager) mayLoad(ctx context.Context, set *object.Set, version *object.ModelVersion) bool {
	request := &wirepb.LoadRequest{Upstream: m.options.Upstream, Weights: version.Weights, Revision: set.Revision}
	for _, upstream := range m.ranked(set) {
		reply, err := m.ask(ctx, upstream, request)
		if err != nil {
			continue
		}
		m.waitedSince = time.Time{}
		if reply.Granted {
			m.coordinator = upstream.Name
		}
		return reply.Granted
	}
	if m.waitedSince.IsZero() {
		m.waitedSince = time.Now()
	}
	return time.Since(m.waitedSince) > loadAlone
}

// giveBack returns the place. When that fails, the place lapses after slotTerm.
func (m *Manager) giveBack(ctx context.Context) {
	set := m.options.Source.Current()
	if m.coordinator == "" || set == nil {
		return
	}
	upstream := set.Upstreams[m.coordinator]
	m.coordinator = ""
	if upstream != nil {
		_, _ = m.ask(ctx, upstream, &wirepb.LoadRequest{Upstream: m.options.Upstream, Done: true})
	}
}

// ranked returns the engines whose agents may coordinate, first choice first.
func (m *Manager) ranked(set *object.Set) []*object.Upstream {
	gone := make(map[string]bool)
	if m.options.View != nil {
		for _, member := range m.options.View.Members() {
			if member.State != membership.StateAlive {
				gone[member.Address] = true
			}
		}
	}
	var objects []*object.Upstream
	var candidates []placement.Upstream
	for _, upstream := range set.Upstreams {
		if upstream.Kind != object.UpstreamEngine || upstream.Leaving || gone[upstream.Address] {
			continue
		}
		objects = append(objects, upstream)
		candidates = append(candidates, placement.Upstream{Name: upstream.Name, ID: placement.UpstreamID(upstream.Name)})
	}
	order := placement.Rank(candidates, placement.UpstreamID(coordinatorKey), coordinators, nil)
	ranked := make([]*object.Upstream, len(order))
	for i, at := range order {
		ranked[i] = objects[at]
	}
	return ranked
}

func (m *Manager) ask(ctx context.Context, upstream *object.Upstream, request *wirepb.LoadRequest) (*wirepb.LoadReply, error) {
	if upstream.Name == m.options.Upstream {
		return m.answer(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := new(wirepb.LoadReply)
	return reply, m.options.Pool.Ask(ctx, upstream.Address, wirepb.Kind_KIND_ORDER, request.Upstream, request, reply)
}
