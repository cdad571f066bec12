package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// cutConn closes the connection after a number of received bytes, also in the
// middle of a message.
type cutConn struct {
	net.Conn
	remainingBytes int
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.remainingBytes == 0 {
		_ = c.Close()
		return 0, errors.New("cut")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remainingBytes)])
	c.remainingBytes -= n
	return n, err
}

// TestSessionsCutWithinABatchGiveNoGapOrRepeat guards against tokens that are lost
// or delivered twice when a session breaks in the middle of a batch of events.
// The first sessions break after different numbers of received bytes, and their
// prompts are resumed.
func TestSessionsCutWithinABatchGiveNoGapOrRepeat(t *testing.T) {
	const (
		prompts      = 8
		cuts         = 12
		baseCutBytes = 1_000
		cutStepBytes = 211
	)
	p := newPromptFleet(t, 3, 1)
	var dials atomic.Int64
	dial := wire.NewDialer("")
	pool := wire.NewPool(&wirepb.Hello{}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		n := int(dials.Add(1))
		if err != nil || n > cuts {
			return conn, err
		}
		return &cutConn{Conn: conn, remainingBytes: baseCutBytes + n*cutStepBytes}, nil
	})
	t.Cleanup(pool.Close)
	p.routers[0] = NewPrompter(PrompterOptions{Pool: pool, Log: zerolog.Nop()})
	var group sync.WaitGroup
	for i := range prompts {
		group.Go(func() {
			got, end, err := p.prompt(0, uint64(i), "harmless")
			checkComplete(t, got, end, err)
		})
	}
	group.Wait()
	if n := dials.Load(); n <= int64(len(p.engines)) {
		t.Fatalf("%d sessions were opened, which shows that none was cut", n)
	}
}
