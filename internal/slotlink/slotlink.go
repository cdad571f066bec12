// Package slotlink carries witness requests of package lease over the protocol between
// routers and agents, which package wire implements. Routers send the requests. Agents
// are the witnesses: they remember the holders of the slots, so that slots can be
// resumed while the store is unreachable.
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

// Client implements lease.WitnessClient. Its witnesses are agents of the current
// configuration. It is safe for concurrent use.
type Client struct {
	pool   *wire.Pool
	source object.Source
}

// NewClient returns a client that reaches agents through pool.
func NewClient(pool *wire.Pool, source object.Source) *Client {
	return &Client{pool: pool, source: source}
}

// Addresses implements lease.WitnessClient. It returns the agents with the lowest
// address hashes, at most maxWitnesses, so that all processes with the same
// configuration choose the same agents. An upstream's address is that of its agent. It
// returns nil without a configuration.
func (c *Client) Addresses() []string {
	config := c.source.Current()
	if config == nil {
		return nil
	}
	addresses := make([]string, 0, len(config.Upstreams))
	for _, upstream := range config.Upstreams {
		addresses = append(addresses, upstream.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashAddress(a), hashAddress(b)), cmp.Compare(a, b))
	})
	addresses = slices.Compact(addresses)
	return addresses[:min(len(addresses), maxWitnesses)]
}

func hashAddress(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// Query implements lease.WitnessClient.
func (c *Client) Query(ctx context.Context, address string, request lease.WitnessRequest) (lease.WitnessReply, error) {
	message := &wirepb.SlotsRequest{
		Set: request.WitnessSet, Token: request.Token, Claim: request.Claim,
		Records: encodeRecords(request.Records), Released: encodeRecords(request.Released),
	}
	reply := new(wirepb.SlotsReply)
	if err := c.pool.Call(ctx, address, wirepb.Kind_KIND_SLOTS, "", message, reply); err != nil {
		return lease.WitnessReply{}, err
	}
	return lease.WitnessReply{Token: reply.Token, Informed: reply.Informed, Records: decodeRecords(reply.Records)}, nil
}

// Handler returns a handler that applies witness requests to witness and sends its
// replies.
func Handler(witness *lease.Witness) wire.Handler {
	return func(_ context.Context, _ wire.Request, stream *wire.Stream) {
		request := new(wirepb.SlotsRequest)
		if err := stream.Recv(request); err != nil {
			return
		}
		reply := witness.Handle(lease.WitnessRequest{
			WitnessSet: request.Set, Token: request.Token, Claim: request.Claim,
			Records: decodeRecords(request.Records), Released: decodeRecords(request.Released),
		})
		_ = stream.Send(&wirepb.SlotsReply{Token: reply.Token, Informed: reply.Informed, Records: encodeRecords(reply.Records)})
	}
}

func encodeRecords(records []lease.Record) []*wirepb.SlotRecord {
	var encoded []*wirepb.SlotRecord
	for _, r := range records {
		encoded = append(encoded, &wirepb.SlotRecord{
			Index: int32(r.Index), Address: r.Address, Life: r.Incarnation, Epoch: r.Epoch,
			Former: r.PreviousHolder, Past: r.EndedIncarnations, Resumed: r.IsClaim,
		})
	}
	return encoded
}

func decodeRecords(records []*wirepb.SlotRecord) []lease.Record {
	var decoded []lease.Record
	for _, r := range records {
		decoded = append(decoded, lease.Record{
			Index: int(r.Index), Address: r.Address, Incarnation: r.Life, Epoch: r.Epoch,
			PreviousHolder: r.Former, EndedIncarnations: r.Past, IsClaim: r.Resumed,
		})
	}
	return decoded
}
