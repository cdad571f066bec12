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

// cutConn breaks off after a number of bytes, in the middle of whatever they are.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		_ = c.Close()
		return 0, errors.New("cut")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func TestSessionsCutWithinABatchGiveNoGapOrRepeat(t *testing.T) {
	const (
		prompts    = 8
		cuts       = 12
		firstCut   = 1_000
		laterByOdd = 211
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
		return &cutConn{Conn: conn, left: firstCut + n*laterByOdd}, nil
	})
	t.Cleanup(pool.Close)
	p.routers[0] = NewPrompter(Options{Pool: pool, Log: zerolog.Nop()})
	var group sync.WaitGroup
	for i := range prompts {
		group.Go(func() {
			answer, end, err := p.prompt(0, uint64(i), "harmless")
			checkWhole(t, answer, end, err)
		})
	}
	group.Wait()
	if n := dials.Load(); n <= int64(len(p.engines)) {
		t.Fatalf("%d sessions were opened, so none was cut", n)
	}
}
