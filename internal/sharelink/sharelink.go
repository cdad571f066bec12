// Package sharelink requests tokens from the gateway that owns a customer's pool,
// and answers such requests from other gateways. A gateway sends a request only
// when its own share of the customer's limit has too few tokens.
package sharelink

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// requestTimeout bounds one request for tokens. It is short because a caller's
// request is held until the owner replies.
const requestTimeout = 200 * time.Millisecond

// Options configures a Link. All fields are required.
type Options struct {
	// Gateways sends requests to the other gateways.
	Gateways peering.Caller
	Catalog  *catalog.Catalog
	Shares   *share.Manager
	Log      zerolog.Logger
}

// Link sends and answers requests for tokens. It is safe for concurrent use.
type Link struct{ options Options }

// New returns a Link. It answers other gateways only after Register.
func New(options Options) *Link { return &Link{options: options} }

// Register adds the handler for other gateways' requests to a wire server.
func (l *Link) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_SHARE, l.handle)
}

// RequestTokens requests tokens from the owner of a customer's pool. It blocks for
// at most requestTimeout. The decision has no Owner, and RetryAfter is zero if the
// owner does not know the customer. After an error the owner may or may not have
// spent the tokens.
func (l *Link) RequestTokens(ctx context.Context, owner, customer string, tokens float64) (share.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply wirepb.ShareReply
	request := &wirepb.ShareAsk{Customer: customer, Tokens: tokens}
	if err := l.options.Gateways.Call(ctx, owner, wirepb.Kind_KIND_SHARE, request, &reply); err != nil {
		metrics.Counter("sharelink.asks", "result", "no-answer").Inc(1)
		return share.Decision{}, fault.Wrap(err, "ask for tokens", owner)
	}
	metrics.Counter("sharelink.asks", "result", "answered").Inc(1)
	return share.Decision{Admitted: reply.Granted, RetryAfter: time.Duration(reply.RetryMs) * time.Millisecond}, nil
}

// handle answers one request of another gateway. It refuses negative amounts and
// customers that are not in this gateway's configuration.
func (l *Link) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var request wirepb.ShareAsk
	if err := stream.Recv(&request); err != nil {
		l.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("sharelink: could not read a token request; dropping it")
		return
	}
	reply := &wirepb.ShareReply{}
	if limit, known := l.limit(request.Customer); known && request.Tokens >= 0 {
		decision := l.options.Shares.GrantFromPool(request.Customer, limit, request.Tokens)
		reply.Granted, reply.RetryMs = decision.Admitted, decision.RetryAfter.Milliseconds()
	}
	if err := stream.Send(reply); err != nil {
		l.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("sharelink: could not send a token reply; granted tokens stay spent and the peer's request fails")
	}
}

// limit returns a customer's limit in the current configuration, and whether the
// customer is known.
func (l *Link) limit(customer string) (share.Limit, bool) {
	config := l.options.Catalog.Config()
	if config == nil || config.Customers[customer] == nil {
		return share.Limit{}, false
	}
	c := config.Customers[customer]
	return share.Limit{Rate: c.Rate, Burst: c.Burst}, true
}
