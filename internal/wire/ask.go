package wire

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// Call opens a stream, sends request and decodes the peer's answer into reply. It
// blocks until the answer has arrived or ctx ends. After an error the peer may or
// may not have handled the request.
func (p *Pool) Call(ctx context.Context, address string, kind wirepb.Kind, requestID string, request, reply proto.Message) error {
	stream, err := p.Open(ctx, address, kind, requestID)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Recv(reply)
}
