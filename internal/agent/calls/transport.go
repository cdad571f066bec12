package calls

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/once"
)

// transport implements once.Transport over KIND_ONCE streams.
type transport struct {
	sessions *wire.Pool
	// poolName is the name of the pool of upstreams.
	poolName string
}

// MarkUnjournaled implements once.Transport.
func (t *transport) MarkUnjournaled(ctx context.Context, witness once.Peer, mark once.UnjournaledMark) error {
	reply, err := t.call(ctx, witness.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Mark{Mark: &wirepb.OnceMark{
		Pool: t.poolName, Shard: int32(mark.Shard), Epoch: mark.Epoch, Episode: mark.Period,
		Ended: mark.Ended, WitnessIncarnation: witness.Incarnation,
	}}})
	if err == nil && !reply.Accepted {
		return once.ErrWitnessRefused
	}
	return err
}

// QueryUnjournaled implements once.Transport.
func (t *transport) QueryUnjournaled(ctx context.Context, witness once.Peer, query once.UnjournaledQuery) (bool, error) {
	reply, err := t.call(ctx, witness.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Ask{Ask: &wirepb.OnceAsk{
		Pool: t.poolName, Shard: int32(query.Shard), Epoch: query.Epoch, WitnessIncarnation: witness.Incarnation,
	}}})
	if err == nil && !reply.Accepted {
		return false, once.ErrWitnessRefused
	}
	return reply.GetMarked(), err
}

// Offer implements once.Transport.
func (t *transport) Offer(ctx context.Context, peer once.Peer, shard int, closed bool) (bool, error) {
	reply, err := t.call(ctx, peer.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Offer{Offer: &wirepb.OnceOffer{
		Pool: t.poolName, Shard: int32(shard), Closed: closed,
	}}})
	return reply.GetAccepted(), err
}

// call sends a request to the agent at an address and returns its reply. The reply
// is nil on error.
func (t *transport) call(ctx context.Context, address string, request *wirepb.OnceRequest) (*wirepb.OnceReply, error) {
	reply := new(wirepb.OnceReply)
	if err := t.sessions.Call(ctx, address, wirepb.Kind_KIND_ONCE, "", request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// HandleOnce serves a KIND_ONCE stream: a request of another agent about a shard.
// Until the upstream is in the configuration, no request is accepted.
func (m *Manager) HandleOnce(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.OnceRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	reply := new(wirepb.OnceReply)
	if idempotency := m.idempotency.Load(); idempotency != nil {
		reply = handleOnceRequest(ctx, idempotency, request)
	}
	if err := stream.Send(reply); err != nil {
		m.options.Log.Debug().Err(err).Msg("calls: reply about a shard could not be sent; dropping it")
	}
}

// handleOnceRequest passes a request of another agent to the manager of idempotency
// keys. Requests of unknown types are not accepted.
func handleOnceRequest(ctx context.Context, idempotency *once.Manager, request *wirepb.OnceRequest) *wirepb.OnceReply {
	switch body := request.Body.(type) {
	case *wirepb.OnceRequest_Mark:
		mark := once.UnjournaledMark{
			Shard: int(body.Mark.Shard), Epoch: body.Mark.Epoch,
			Period: body.Mark.Episode, Ended: body.Mark.Ended,
		}
		return &wirepb.OnceReply{Accepted: idempotency.HandleMarkUnjournaled(body.Mark.WitnessIncarnation, mark) == nil}
	case *wirepb.OnceRequest_Ask:
		query := once.UnjournaledQuery{Shard: int(body.Ask.Shard), Epoch: body.Ask.Epoch}
		marked, err := idempotency.HandleQueryUnjournaled(body.Ask.WitnessIncarnation, query)
		return &wirepb.OnceReply{Accepted: err == nil, Marked: marked}
	case *wirepb.OnceRequest_Offer:
		return &wirepb.OnceReply{Accepted: idempotency.HandleOffer(ctx, int(body.Offer.Shard), body.Offer.Closed)}
	default:
		return new(wirepb.OnceReply)
	}
}
