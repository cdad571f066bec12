package picker

import (
	"context"
	"flag"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
)

var slopes = flag.Bool("slopes", false, "print what placing costs at several sizes")

// countedConn counts the bytes that its side sends and receives.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestSlopes prints the bytes above TCP and the processor time of router and
// agents together for one request placed a second, by the agents asked.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("needs -slopes")
	}
	for _, asked := range []int{1, 2, 4} {
		if err := slope.Print(os.Stdout, measure(t, asked)); err != nil {
			t.Fatal(err)
		}
	}
}

func measure(t *testing.T, asked int) slope.Point {
	const requests, blocks = 2_000, 16
	set := agents(t, asked, func(int) *wirepb.ProbeReply {
		return &wirepb.ProbeReply{
			CachedTokens: 24_000, Incarnation: 1 << 50, QueuedTokens: 9_000, Running: 3, PrefillTokensPerSecond: 24_123.5,
			ExpectedWaitUs: 123_456, ConfigRevision: 400, LoadedWeights: []string{"v1"},
		}
	})
	var bytes atomic.Int64
	dial := wire.NewDialer("")
	pool := wire.NewPool(&wirepb.Hello{}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return countedConn{conn, &bytes}, err
	})
	defer pool.Close()
	m, err := New(Options{Policy: PolicyProbeAll, Pool: pool})
	if err != nil {
		t.Fatal(err)
	}
	p := prompt(7)
	p.RequestID, p.Customer, p.Model = "0190c0de-0000-7000-8000-000000000000", "customer-0001", "assistant"
	p.Hashes = placement.Chain(1, make([]byte, blocks), 1)
	pick := func() {
		if _, err := m.Pick(t.Context(), set, p); err != nil {
			t.Fatal(err)
		}
	}
	pick()
	sent, before := bytes.Load(), slope.Read()
	for range requests {
		pick()
	}
	after := slope.Read()
	return slope.Point{
		Name:               "placement.pick",
		Size:               float64(asked),
		Unit:               "agents asked, for one request a second of 16 blocks",
		BytesPerSecond:     float64(bytes.Load()-sent) / requests,
		CPUMicrosPerSecond: float64((after.CPU - before.CPU).Microseconds()) / requests,
	}
}
