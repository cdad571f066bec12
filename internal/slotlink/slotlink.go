// Package slotlink carries what witnesses remember of the entry slots over the
// inner protocol: routers ask, agents are the witnesses.
package slotlink

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/lease"
)

// maxWitnesses bounds the number of agents that remember the slots.
const maxWitnesses = 7

// Client implements lease.Witnesses over the agents of the configuration in force.
type Client struct {
	pool   *wire.Pool
	source object.Source
}

// NewClient returns a client that reaches agents through pool.
func NewClient(pool *wire.Pool, source object.Source) *Client {
	return &Client{pool: pool, source: source}
}

// Addresses implements lease.Witnesses. All processes with the same
// configuration choose the same agents.
func (c *Client) Addresses() []string {
	set := c.source.Current()
	if set == nil {
		return nil
	}
	addresses := make([]string, 0, len(set.Upstreams))
	for _, upstream := range set.Upstreams {
		addresses = append(addresses, upstream.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	addresses = slices.Compact(addresses)
	return addresses[:min(len(addresses), maxWitnesses)]
}

func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// Query implements lease.Witnesses.
func (c *Client) Query(ctx context.Context, address string, request lease.WitnessRequest) (lease.WitnessReply, error) {
	message := &wirepb.SlotsRequest{
		Set: request.Set, Token: request.Token, Claim: request.Claim,
		Records: encode(request.Records), Released: encode(request.Released),
	}
	reply := new(wirepb.SlotsReply)
	if err := c.pool.Ask(ctx, address, wirepb.Kind_KIND_SLOTS, "", message, reply); err != nil {
		return lease.WitnessReply{}, err
	}
	return lease.WitnessReply{Token: reply.Token, Informed: reply.Informed, Records: decode(reply.Records)}, nil
}

// Handler returns the handler of a witness.
func Handler(witness *lease.Witness) wire.Handler {
	return func(_ context.Context, _ wire.Request, stream *wire.Stream) {
		request := new(wirepb.SlotsRequest)
		if err := stream.Recv(request); err != nil {
			return
		}
		reply := witness.Handle(lease.WitnessRequest{
			Set: request.Set, Token: request.Token, Claim: request.Claim,
			Records: decode(request.Records), Released: decode(request.Released),
		})
		_ = stream.Send(&wirepb.SlotsReply{Token: reply.Token, Informed: reply.Informed, Records: encode(reply.Records)})
	}
}

func encode(records []lease.Record) []*wirepb.SlotRecord {
	var encoded []*wirepb.SlotRecord
	for _, r := range records {
		encoded = append(encoded, &wirepb.SlotRecord{
			Index: int32(r.Index), Address: r.Address, Life: r.Incarnation, Epoch: r.Epoch,
			Former: r.PreviousHolder, Past: r.EndedIncarnations, Resumed: r.Resumed,
		})
	}
	return encoded
}

func decode(records []*wirepb.SlotRecord) []lease.Record {
	var decoded []lease.Record
	for _, r := range records {
		decoded = append(decoded, lease.Record{
			Index: int(r.Index), Address: r.Address, Incarnation: r.Life, Epoch: r.Epoch,
			PreviousHolder: r.Former, EndedIncarnations: r.Past, Resumed: r.Resumed,
		})
	}
	return decoded
}
