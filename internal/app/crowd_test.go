package app

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

const (
	// crowdMemoryMB is the memory of a machine.
	crowdMemoryMB = 134
	// crowdDescriptors is the number of descriptors of a process; the crowd has twice as many
	// connections.
	crowdDescriptors = 200
	crowdChunkBytes  = 64 << 10
	// crowdStay is how long a crowd stays after each of its members has sent all or was refused.
	crowdStay = time.Second
	// memberTimeout bounds what one member sends.
	memberTimeout = 10 * time.Second
)

// crowd is a number of connections, each opened again when it is closed.
type crowd struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// gather opens a crowd at address. Each member calls send on its connection and then waits until
// that is closed. gather returns crowdStay after each member has done so once.
func gather(t *testing.T, size int, address string, send func(conn net.Conn) error) *crowd {
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{cancel: cancel}
	var settled sync.WaitGroup
	for range size {
		settled.Add(1)
		isSettled := sync.OnceFunc(settled.Done)
		c.done.Go(func() {
			defer isSettled()
			for ctx.Err() == nil {
				stayOnce(ctx, address, send, isSettled)
				time.Sleep(retryInterval)
			}
		})
	}
	settled.Wait()
	time.Sleep(crowdStay)
	return c
}

// stayOnce opens a connection, sends and waits until the connection is closed or ctx ends.
func stayOnce(ctx context.Context, address string, send func(conn net.Conn) error, sent func()) {
	defer sent()
	conn, err := net.DialTimeout("tcp", address, memberTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetWriteDeadline(time.Now().Add(memberTimeout))
	if send(conn) != nil {
		return
	}
	sent()
	_, _ = io.Copy(io.Discard, conn)
}

// leave closes the connections of the crowd.
func (c *crowd) leave() {
	c.cancel()
	c.done.Wait()
}

// sendNothing is the send function of members that only connect.
func sendNothing(net.Conn) error { return nil }

// sendUnreadBody sends a request without a route, whose body never comes.
func sendUnreadBody(conn net.Conn) error {
	_, err := io.WriteString(conn, "POST /none HTTP/1.1\r\nHost: calls\r\nContent-Length: 100\r\n\r\n")
	return err
}

// sendUnfinishedBody returns the send function of members whose request to path has a chunked
// body of size bytes, the beginning of a JSON object, and stops one chunk short of its end.
func sendUnfinishedBody(path string, size int) func(conn net.Conn) error {
	const start = `{"author":"`
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", crowdChunkBytes, bytes.Repeat([]byte("a"), crowdChunkBytes))
	return func(conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: calls\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", path, len(start), start)
		for range size/crowdChunkBytes - 1 {
			if err != nil {
				return err
			}
			_, err = conn.Write(chunk)
		}
		return err
	}
}

// sendUnfinishedFrame writes a frame of the largest size that stops short of its end.
func sendUnfinishedFrame(conn net.Conn) error {
	_, err := conn.Write(binary.AppendUvarint(nil, wire.MaxFrameBytes))
	chunk := make([]byte, crowdChunkBytes)
	for range wire.MaxFrameBytes/crowdChunkBytes - 1 {
		if err != nil {
			return err
		}
		_, err = conn.Write(chunk)
	}
	return err
}

// sendUnfinishedStreams says Hello and opens streams, each with an unfinished frame.
func sendUnfinishedStreams(streams int) func(conn net.Conn) error {
	return func(conn net.Conn) error {
		hello, err := proto.Marshal(&wirepb.Hello{Version: wire.Version, Process: "crowd", Role: "router"})
		if err != nil {
			return err
		}
		if _, err := conn.Write(append(binary.AppendUvarint(nil, uint64(len(hello))), hello...)); err != nil {
			return err
		}
		if err := skipHello(conn); err != nil {
			return err
		}
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			return err
		}
		var sending sync.WaitGroup
		for range streams {
			sending.Go(func() {
				if stream, err := session.Open(); err == nil {
					_ = stream.SetWriteDeadline(time.Now().Add(memberTimeout))
					_ = sendUnfinishedFrame(stream)
				}
			})
		}
		sending.Wait()
		return nil
	}
}

// skipHello reads the Hello of the other side, whose length fits in one byte.
func skipHello(conn net.Conn) error {
	var size [1]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, conn, int64(size[0]))
	return err
}

// requireMemory fails the test if the process took more memory than its machine has.
func (p *childProcess) requireMemory() {
	p.t.Helper()
	peak := p.peakMemory()
	p.t.Logf("peak memory %d MB", peak/megabyte)
	if peak > crowdMemoryMB*megabyte {
		p.t.Errorf("peak memory %d MB, want at most %d", peak/megabyte, crowdMemoryMB)
	}
}

// requireDescriptors fails the test unless a tenth of the descriptors is free.
func (p *childProcess) requireDescriptors() {
	p.t.Helper()
	const bound = crowdDescriptors * 9 / 10
	if open := p.openDescriptors(); open > bound {
		p.t.Errorf("%d open descriptors, want at most %d", open, bound)
	}
}

// A crowd of callers whose bodies stop just short of their end fills the memory of the router.
func TestRouterOutlivesUnfinishedBodiesOfCallers(t *testing.T) {
	f := newCrowdFleet(t, processLimits{memoryMB: crowdMemoryMB})
	c := gather(t, 120, f.settings.CallersListen.Listen, sendUnfinishedBody("/v1/completions", 4<<20))
	f.requireReady(f.settings.Admin.Listen)
	c.leave()
	f.router.requireMemory()
	f.requireServed()
}

// A crowd whose publications or drains stop just short of their end fills the memory of the router.
func TestRouterOutlivesUnfinishedBodiesOfOperators(t *testing.T) {
	for name, path := range map[string]string{"publish": "/operator/v1/publish", "drain": "/operator/v1/upstreams/billing-1/drain"} {
		t.Run(name, func(t *testing.T) {
			f := newCrowdFleet(t, processLimits{memoryMB: crowdMemoryMB})
			c := gather(t, 30, f.settings.Operators.Listen, sendUnfinishedBody(path, 16<<20))
			f.requireReady(f.settings.Admin.Listen)
			c.leave()
			f.router.requireMemory()
			f.requireServed()
		})
	}
}

// A crowd whose Hellos stop just short of their end fills the memory of the router.
func TestRouterOutlivesUnfinishedHellos(t *testing.T) {
	f := newCrowdFleet(t, processLimits{memoryMB: crowdMemoryMB})
	c := gather(t, 100, f.settings.Inner.Listen, sendUnfinishedFrame)
	f.requireReady(f.settings.Admin.Listen)
	c.leave()
	f.router.requireMemory()
	f.requireServed()
}

// A session with many streams, each with an unfinished frame, fills the memory of the agent.
func TestAgentOutlivesUnfinishedStreams(t *testing.T) {
	f := newCrowdFleet(t, processLimits{memoryMB: crowdMemoryMB})
	c := gather(t, 2, f.agentSettings.Inner.Listen, sendUnfinishedStreams(100))
	f.requireReady(f.agentSettings.Admin.Listen)
	c.leave()
	f.agent.requireMemory()
	f.requireServed()
}

// door is an address of a crowdFleet, with the process that listens and its address for checks.
type door struct {
	address, admin string
	process        *childProcess
}

// doors returns the doors of the fleet.
func (f *crowdFleet) doors() map[string]door {
	router, agent := f.settings, f.agentSettings
	return map[string]door{
		"router callers":   {router.CallersListen.Listen, router.Admin.Listen, f.router},
		"router operators": {router.Operators.Listen, router.Admin.Listen, f.router},
		"router admin":     {router.Admin.Listen, router.Admin.Listen, f.router},
		"router peers":     {router.Inner.Listen, router.Admin.Listen, f.router},
		"agent admin":      {agent.Admin.Listen, agent.Admin.Listen, f.agent},
		"agent peers":      {agent.Inner.Listen, agent.Admin.Listen, f.agent},
	}
}

// Silent connections at one door take the descriptors of all doors, and the peers' door closes for good.
func TestSilentCrowdAtOneDoorLeavesOthersOpen(t *testing.T) {
	for _, name := range []string{"router callers", "router operators", "router admin", "router peers", "agent admin", "agent peers"} {
		t.Run(name, func(t *testing.T) { crowdAtOneDoor(t, name, sendNothing) })
	}
}

// Connections whose bodies no handler reads are kept without a time limit and take all descriptors.
func TestCrowdWithUnreadBodiesAtOneDoorLeavesOthersOpen(t *testing.T) {
	for _, name := range []string{"router callers", "router operators", "router admin", "agent admin"} {
		t.Run(name, func(t *testing.T) { crowdAtOneDoor(t, name, sendUnreadBody) })
	}
}

// crowdAtOneDoor checks that a process with a crowd at one of its doors keeps the others open.
func crowdAtOneDoor(t *testing.T, name string, send func(conn net.Conn) error) {
	f := newCrowdFleet(t, processLimits{descriptors: crowdDescriptors})
	d := f.doors()[name]
	c := gather(t, 2*crowdDescriptors, d.address, send)
	d.process.requireDescriptors()
	f.requireReady(d.admin)
	c.leave()
	d.process.requireAlive()
	f.requirePeers()
	f.requireServed()
}

// requirePeers fails the test unless the doors for peers of the router and the agent answer a Hello.
func (f *crowdFleet) requirePeers() {
	f.t.Helper()
	for _, address := range []string{f.settings.Inner.Listen, f.agentSettings.Inner.Listen} {
		pool := wire.NewPool(&wirepb.Hello{Process: "test"}, wire.NewDialer(""))
		stream, err := pool.Open(f.t.Context(), address, wirepb.Kind_KIND_STATUS, "")
		if err != nil {
			f.t.Errorf("the door for peers %s does not answer: %v", address, err)
		} else {
			_ = stream.Close()
		}
		pool.Close()
	}
}
