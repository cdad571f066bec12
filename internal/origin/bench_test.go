package origin

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// meteredConn counts the bytes of a connection in both directions.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// session calls one gateway, whatever its name, over a session.
type session struct {
	pool    *wire.Pool
	address string
}

// Call implements peering.Caller.
func (s session) Call(ctx context.Context, _ string, kind wirepb.Kind, request, reply proto.Message) error {
	return s.pool.Call(ctx, s.address, kind, "", request, reply)
}

// BenchmarkBegan measures a stream that begins. cpu-us/stream is the processor time of both
// gateways, bytes/stream what their session carries in both directions, without IP and TCP
// headers. With two versions, one copy of each record is sent, in a message of its own.
func BenchmarkBegan(b *testing.B) {
	b.Run("one-version", func(b *testing.B) { benchmarkBegan(b, "v1") })
	b.Run("two-versions", func(b *testing.B) { benchmarkBegan(b, "v1", "v2") })
}

func benchmarkBegan(b *testing.B, versions ...string) {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		b.Fatal(err)
	}
	list := catalog.New()
	upstreams := upstreamsOf(versions...)
	list.SetUpstreams(upstreams)
	keeper := New(Options{Catalog: list, FirstStart: true, Log: zerolog.Nop()})
	defer keeper.Close()
	server := wire.NewServer(&wirepb.Hello{Process: "keeper"}, zerolog.Nop())
	keeper.Register(server)
	go func() { _ = server.Serve(listener) }()
	defer func() {
		_ = listener.Close()
		_ = server.Shutdown(b.Context())
	}()
	var bytes atomic.Int64
	dial := wire.NewDialer("")
	pool := wire.NewPool(&wirepb.Hello{Process: "teller"}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return meteredConn{Conn: conn, bytes: &bytes}, err
	})
	defer pool.Close()
	teller := New(Options{
		Gateways: session{pool: pool, address: listener.Addr().String()}, Catalog: list, FirstStart: true, Log: zerolog.Nop(),
		Silences: func() map[string]time.Duration { return map[string]time.Duration{"keeper": 0} },
	})
	defer teller.Close()
	keeper.Observe(list.Upstreams())
	teller.Observe(list.Upstreams())
	before, i := slope.Read(), 0
	for b.Loop() {
		teller.Began(keyOf(i), upstreams[0])
		teller.sender.wg.Wait()
		i++
	}
	spent := slope.Read().CPU - before.CPU
	b.ReportMetric(float64(spent.Nanoseconds())/1000/float64(b.N), "cpu-us/stream")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/stream")
}
