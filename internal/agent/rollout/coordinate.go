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
	// coordinatorKey is hashed to choose the coordinator. All agents must use the same key.
	coordinatorKey = "weight loads"
	// coordinatorCandidates is how many agents are asked, in rendezvous order, until one answers.
	coordinatorCandidates = 3
)

// Handle serves a stream of wirepb.KIND_ORDER, on which another agent requests a
// load slot or returns it. Despite its name the kind carries no orders to engines.
func (m *Manager) Handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.LoadRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	_ = stream.Send(m.handleLoadRequest(request))
}

// handleLoadRequest grants, refuses or releases a load slot as the coordinator.
func (m *Manager) handleLoadRequest(request *wirepb.LoadRequest) *wirepb.LoadReply {
	if request.Done {
		m.slots.release(request.Upstream)
		return &wirepb.LoadReply{}
	}
	set := m.options.Source.Current()
	if set == nil || request.Revision < set.Revision {
		// This agent has no configuration yet, or the requester has an older one. The
		// requester asks again at its next check.
		return &wirepb.LoadReply{Revision: revisionOf(set)}
	}
	granted := m.slots.acquire(request.Upstream, max(1, set.Fleet.MaxLoads))
	return &wirepb.LoadReply{Granted: granted, Revision: set.Revision}
}

// revisionOf returns the revision of the set, or 0 for nil.
func revisionOf(set *object.Set) uint64 {
	if set == nil {
		return 0
	}
	return set.Revision
}

// acquireSlot asks the candidates for a load slot, in order, until one answers;
// that one is the coordinator. It reports whether the load may start. When no
// candidate has answered for longer than uncoordinatedLoadDelay, the load may start
// without a slot. It blocks for up to coordinatorTimeout per candidate.
func (m *Manager) acquireSlot(ctx context.Context, set *object.Set, version *object.ModelVersion) bool {
	request := &wirepb.LoadRequest{Upstream: m.options.Upstream, Weights: version.Weights, Revision: set.Revision}
	for _, upstream := range m.rankCoordinators(set) {
		reply, err := m.sendLoadRequest(ctx, upstream, request)
		if err != nil {
			continue
		}
		m.noCoordinatorSince = time.Time{}
		if reply.Granted {
			m.coordinator = upstream.Name
		}
		return reply.Granted
	}
	if m.noCoordinatorSince.IsZero() {
		m.noCoordinatorSince = time.Now()
	}
	return time.Since(m.noCoordinatorSince) > uncoordinatedLoadDelay
}

// releaseSlot returns the slot, if any, to the coordinator that granted it. When that
// fails, the slot expires after slotExpiry.
func (m *Manager) releaseSlot(ctx context.Context) {
	set := m.options.Source.Current()
	if m.coordinator == "" || set == nil {
		return
	}
	upstream := set.Upstreams[m.coordinator]
	m.coordinator = ""
	if upstream != nil {
		_, _ = m.sendLoadRequest(ctx, upstream, &wirepb.LoadRequest{Upstream: m.options.Upstream, Done: true})
	}
}

// rankCoordinators returns the engines whose agents may coordinate, first choice
// first. Engines that are leaving, or whose agent the membership lists in another
// state than alive, are omitted. The membership lists no dead agents, so the
// engine of a dead agent stays a candidate.
func (m *Manager) rankCoordinators(set *object.Set) []*object.Upstream {
	notAlive := make(map[string]bool)
	if m.options.View != nil {
		for _, member := range m.options.View.Members() {
			if member.State != membership.StateAlive {
				notAlive[member.Address] = true
			}
		}
	}
	var objects []*object.Upstream
	var candidates []placement.Upstream
	for _, upstream := range set.Upstreams {
		if upstream.Kind != object.UpstreamEngine || upstream.Leaving || notAlive[upstream.Address] {
			continue
		}
		objects = append(objects, upstream)
		candidates = append(candidates, placement.Upstream{Name: upstream.Name, ID: placement.UpstreamID(upstream.Name)})
	}
	order := placement.Rank(candidates, placement.UpstreamID(coordinatorKey), coordinatorCandidates, nil)
	ranked := make([]*object.Upstream, len(order))
	for i, index := range order {
		ranked[i] = objects[index]
	}
	return ranked
}

// sendLoadRequest sends the request to the agent of an upstream and returns its
// reply. It makes no call over the network when that is this agent.
func (m *Manager) sendLoadRequest(ctx context.Context, upstream *object.Upstream, request *wirepb.LoadRequest) (*wirepb.LoadReply, error) {
	if upstream.Name == m.options.Upstream {
		return m.handleLoadRequest(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	reply := new(wirepb.LoadReply)
	return reply, m.options.Pool.Call(ctx, upstream.Address, wirepb.Kind_KIND_ORDER, request.Upstream, request, reply)
}
