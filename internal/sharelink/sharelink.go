// Package sharelink asks the owner of a customer's pool for tokens, and answers
// such questions of other gateways.
package sharelink

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// askTimeout bounds a question. The request that needs the tokens waits for it.
const askTimeout = 200 * time.Millisecond

// Options configures a Link. All fields are required.
type Options struct {
	Pool    *wire.Pool
	Catalog *catalog.Catalog
	Shares  *share.Manager
	// Address returns the inner address of a gateway, or "".
	Address func(name string) string
	Log     zerolog.Logger
}

// Link carries questions for tokens.
type Link struct{ options Options }

// New returns a link.
func New(options Options) *Link { return &Link{options: options} }

// Register makes the server answer other gateways.
func (l *Link) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_SHARE, l.handle)
}

// RequestTokens asks the owner for tokens. After an error they may have been spent.
func (l *Link) RequestTokens(ctx context.Context, owner, customer string, tokens float64) (share.Decision, error) {
	address := l.options.Address(owner)
	if address == "" {
		return share.Decision{}, fault.New("address is not known", "ask for tokens", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply wirepb.ShareReply
	ask := &wirepb.ShareAsk{Customer: customer, Tokens: tokens}
	if err := l.options.Pool.Ask(ctx, address, wirepb.Kind_KIND_SHARE, "", ask, &reply); err != nil {
		metrics.Counter("sharelink.asks", "result", "no-answer").Inc(1)
		return share.Decision{}, fault.Wrap(err, "ask for tokens", owner)
	}
	metrics.Counter("sharelink.asks", "result", "answered").Inc(1)
	return share.Decision{Admitted: reply.Granted, RetryAfter: time.Duration(reply.RetryMs) * time.Millisecond}, nil
}

func (l *Link) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var ask wirepb.ShareAsk
	if err := stream.Recv(&ask); err != nil {
		l.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("sharelink: question not read")
		return
	}
	reply := &wirepb.ShareReply{}
	if limit, known := l.limit(ask.Customer); known && ask.Tokens >= 0 {
		answer := l.options.Shares.GrantFromPool(ask.Customer, limit, ask.Tokens)
		reply.Granted, reply.RetryMs = answer.Admitted, answer.RetryAfter.Milliseconds()
	}
	if err := stream.Send(reply); err != nil {
		l.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("sharelink: question not answered")
	}
}

// limit returns a customer's limit in the configuration in force.
func (l *Link) limit(customer string) (share.Limit, bool) {
	config := l.options.Catalog.Config()
	if config == nil || config.Customers[customer] == nil {
		return share.Limit{}, false
	}
	c := config.Customers[customer]
	return share.Limit{Rate: c.Rate, Burst: c.Burst}, true
}
