package calls

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/once"
)

// transport implements once.Transport over streams of KIND_ONCE.
type transport struct {
	pool *wire.Pool
	// name is that of the pool of upstreams.
	name string
}

// MarkUnjournaled implements once.Transport.
func (t *transport) MarkUnjournaled(ctx context.Context, witness once.Peer, mark once.UnjournaledMark) error {
	reply, err := t.ask(ctx, witness.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Mark{Mark: &wirepb.OnceMark{
		Pool: t.name, Shard: int32(mark.Shard), Epoch: mark.Epoch, Episode: mark.Period,
		Ended: mark.Ended, WitnessIncarnation: witness.Incarnation,
	}}})
	if err == nil && !reply.Accepted {
		return once.ErrWitness
	}
	return err
}

// QueryUnjournaled implements once.Transport.
func (t *transport) QueryUnjournaled(ctx context.Context, witness once.Peer, ask once.UnjournaledQuery) (bool, error) {
	reply, err := t.ask(ctx, witness.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Ask{Ask: &wirepb.OnceAsk{
		Pool: t.name, Shard: int32(ask.Shard), Epoch: ask.Epoch, WitnessIncarnation: witness.Incarnation,
	}}})
	if err == nil && !reply.Accepted {
		return false, once.ErrWitness
	}
	return reply.GetMarked(), err
}

// Offer implements once.Transport.
func (t *transport) Offer(ctx context.Context, peer once.Peer, shard int, closed bool) (bool, error) {
	reply, err := t.ask(ctx, peer.Address, &wirepb.OnceRequest{Body: &wirepb.OnceRequest_Offer{Offer: &wirepb.OnceOffer{
		Pool: t.name, Shard: int32(shard), Closed: closed,
	}}})
	return reply.GetAccepted(), err
}

func (t *transport) ask(ctx context.Context, address string, request *wirepb.OnceRequest) (*wirepb.OnceReply, error) {
	reply := new(wirepb.OnceReply)
	if err := t.pool.Ask(ctx, address, wirepb.Kind_KIND_ONCE, "", request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// HandleOnce serves KIND_ONCE: messages of other agents about shards.
func (m *Manager) HandleOnce(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.OnceRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	reply := new(wirepb.OnceReply)
	if keyed := m.keyed.Load(); keyed != nil {
		reply = answerOnce(ctx, keyed, request)
	}
	if err := stream.Send(reply); err != nil {
		m.options.Log.Debug().Err(err).Msg("calls: reply about a shard not sent")
	}
}

func answerOnce(ctx context.Context, keyed *once.Manager, request *wirepb.OnceRequest) *wirepb.OnceReply {
	switch body := request.Body.(type) {
	case *wirepb.OnceRequest_Mark:
		mark := once.UnjournaledMark{
			Shard: int(body.Mark.Shard), Epoch: body.Mark.Epoch,
			Period: body.Mark.Episode, Ended: body.Mark.Ended,
		}
		return &wirepb.OnceReply{Accepted: keyed.HandleMarkUnjournaled(body.Mark.WitnessIncarnation, mark) == nil}
	case *wirepb.OnceRequest_Ask:
		ask := once.UnjournaledQuery{Shard: int(body.Ask.Shard), Epoch: body.Ask.Epoch}
		marked, err := keyed.HandleQueryUnjournaled(body.Ask.WitnessIncarnation, ask)
		return &wirepb.OnceReply{Accepted: err == nil, Marked: marked}
	case *wirepb.OnceRequest_Offer:
		return &wirepb.OnceReply{Accepted: keyed.HandleOffer(ctx, int(body.Offer.Shard), body.Offer.Closed)}
	default:
		return new(wirepb.OnceReply)
	}
}
