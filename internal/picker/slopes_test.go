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

var slopes = flag.Bool("slopes", false, "print the cost of placing a request for several numbers of probed agents")

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestSlopes prints the cost of one request per second, which is the slope of the cost
// over the request rate, for several numbers of probed agents: the bytes above TCP, and
// the processor time of the router and all agents together. It runs only with -slopes.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("runs only with -slopes")
	}
	for _, agentCount := range []int{1, 2, 4} {
		if err := slope.Print(os.Stdout, measurePick(t, agentCount)); err != nil {
			t.Fatal(err)
		}
	}
}

// measurePick returns the cost of one request per second that probes agentCount agents.
func measurePick(t *testing.T, agentCount int) slope.Point {
	const requests, blocks = 2_000, 16
	set := startAgents(t, agentCount, func(int) *wirepb.ProbeReply {
		return &wirepb.ProbeReply{
			CachedTokens: 24_000, Incarnation: 1 << 50, QueuedTokens: 9_000, Running: 3, PrefillTokensPerSecond: 24_123.5,
			ExpectedWaitUs: 123_456, ConfigRevision: 400, LoadedWeights: []string{"v1"},
		}
	})
	var bytes atomic.Int64
	dial := wire.NewDialer("")
	pool := wire.NewPool(&wirepb.Hello{}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return countingConn{conn, &bytes}, err
	})
	defer pool.Close()
	m, err := New(Options{Policy: PolicyProbeAll, Pool: pool})
	if err != nil {
		t.Fatal(err)
	}
	p := testPrompt(7)
	p.RequestID, p.Customer, p.Model = "0190c0de-0000-7000-8000-000000000000", "customer-0001", "assistant"
	p.Hashes = placement.BlockHashes(1, make([]byte, blocks), 1)
	pick := func() {
		if _, err := m.Pick(t.Context(), set, p); err != nil {
			t.Fatal(err)
		}
	}
	pick() // opens the probe streams, which is not measured
	bytesBefore, usageBefore := bytes.Load(), slope.Read()
	for range requests {
		pick()
	}
	usageAfter := slope.Read()
	return slope.Point{
		Name:               "placement.pick",
		Size:               float64(agentCount),
		Unit:               "agents asked, for one request a second of 16 blocks",
		BytesPerSecond:     float64(bytes.Load()-bytesBefore) / requests,
		CPUMicrosPerSecond: float64((usageAfter.CPU - usageBefore.CPU).Microseconds()) / requests,
	}
}
