package peering

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// SilentAfter is the silence from which a gateway counts as out of contact.
const SilentAfter = 1200 * time.Millisecond

// InContact returns the gateways that have been silent for no longer than SilentAfter, of a
// map from their names to their silences.
func InContact(silences map[string]time.Duration) []string {
	var names []string
	for name, silence := range silences {
		if silence <= SilentAfter {
			names = append(names, name)
		}
	}
	return names
}

// Caller sends requests to other gateways by name.
type Caller interface {
	// Call sends a request and decodes the answer into reply. It blocks until the answer has
	// arrived or ctx ends. After an error the gateway may or may not have handled the request.
	Call(ctx context.Context, peer string, kind wirepb.Kind, request, reply proto.Message) error
}

var _ Caller = (*Manager)(nil)

// Call implements Caller for the peers of SetPeers.
func (m *Manager) Call(ctx context.Context, peer string, kind wirepb.Kind, request, reply proto.Message) error {
	address := m.address(peer)
	if address == "" {
		return fault.New("address is not known", "call gateway", peer)
	}
	return fault.Wrap(m.options.Pool.Call(ctx, address, kind, "", request, reply), "call gateway", peer)
}
