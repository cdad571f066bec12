package origin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const testPool = "llm"

// cluster is a number of managers that call each other directly. Its clock is moved by tests.
type cluster struct {
	t        *testing.T
	managers []*Manager
	names    []string
	byName   map[string]*Manager
	clock    atomic.Int64
	catalogs []*catalog.Catalog

	mu   sync.Mutex
	lost map[string]bool
	// stored is the list of upstreams in the store, which the gateways in storeless do not reach.
	stored    []*catalog.Upstream
	storeless map[string]bool
	// reads counts the reads from the store.
	reads int
	// messages counts the calls by receiver, records the streams in them.
	messages, records map[string]int
}

func newCluster(t *testing.T, gateways int) *cluster {
	c := &cluster{t: t, byName: make(map[string]*Manager), lost: make(map[string]bool), storeless: make(map[string]bool), messages: make(map[string]int), records: make(map[string]int)}
	c.clock.Store(int64(time.Hour))
	for i := range gateways {
		c.add(fmt.Sprintf("gateway-%d", i))
	}
	return c
}

// add starts a manager that knows no upstreams yet.
func (c *cluster) add(name string) *Manager {
	list := catalog.New()
	m := New(Options{
		Gateways: &clusterCaller{c, name}, Catalog: list, Versions: &clusterReader{c, name},
		Silences: func() map[string]time.Duration { return c.silences(name) }, Log: zerolog.Nop(), Now: c.now,
	})
	c.managers, c.names, c.byName[name] = append(c.managers, m), append(c.names, name), m
	c.catalogs = append(c.catalogs, list)
	c.t.Cleanup(m.Close)
	return m
}

func (c *cluster) now() bootclock.Instant { return bootclock.Instant(c.clock.Load()) }

func (c *cluster) silences(of string) map[string]time.Duration {
	silences := make(map[string]time.Duration)
	for name := range c.byName {
		if name != of {
			silences[name] = 0
		}
	}
	return silences
}

// clusterCaller sends requests of one gateway.
type clusterCaller struct {
	*cluster
	from string
}

// Call implements peering.Caller.
func (c *clusterCaller) Call(_ context.Context, to string, _ wirepb.Kind, request, reply proto.Message) error {
	told := request.(*wirepb.OriginRequest)
	c.mu.Lock()
	isLost := c.lost[to] || c.lost[c.from]
	c.messages[to]++
	c.records[to] += len(told.Begun)
	c.mu.Unlock()
	if isLost {
		return errors.New("lost")
	}
	proto.Merge(reply, c.byName[to].reply(told))
	return nil
}

// clusterReader reads from the store for one gateway.
type clusterReader struct {
	*cluster
	name string
}

// ReadVersions implements VersionsReader.
func (c *clusterReader) ReadVersions(context.Context) (map[string][]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	if c.storeless[c.name] {
		return nil, errors.New("not reached")
	}
	versions := make(map[string][]string)
	for _, upstream := range c.stored {
		versions[upstream.Pool] = append(versions[upstream.Pool], upstream.Software)
	}
	return versions, nil
}

// cutFromStore makes the store unreachable for a gateway.
func (c *cluster) cutFromStore(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeless[name] = true
}

// cutOff loses all calls from and to a gateway, also those to the store.
func (c *cluster) cutOff(name string) {
	c.lose(name)
	c.cutFromStore(name)
}

func (c *cluster) lose(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[name] = true
}

// list puts a list of upstreams into the store, which gateways follow.
func (c *cluster) list(upstreams []*catalog.Upstream, gateways ...int) {
	c.mu.Lock()
	c.stored = upstreams
	c.mu.Unlock()
	for _, i := range gateways {
		c.catalogs[i].SetUpstreams(upstreams)
		c.managers[i].Observe(c.catalogs[i].Upstreams())
	}
}

// listAll makes all gateways follow a list.
func (c *cluster) listAll(upstreams []*catalog.Upstream) {
	for i := range c.managers {
		c.list(upstreams, i)
	}
}

// pass lets time pass.
func (c *cluster) pass(d time.Duration) { c.clock.Add(int64(d)) }

// settle waits until all that gateways tell each other has arrived.
func (c *cluster) settle() {
	for _, m := range c.managers {
		m.sender.wg.Wait()
	}
}

func (c *cluster) sentMessages() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, count := range c.messages {
		sum += count
	}
	return sum
}

// upstreamsOf returns upstreams with the given software versions, which have just started.
func upstreamsOf(versions ...string) []*catalog.Upstream {
	var upstreams []*catalog.Upstream
	for i, version := range versions {
		upstreams = append(upstreams, &catalog.Upstream{ID: fmt.Sprintf("engine-%d", i), Pool: testPool, Software: version, StartedMillis: time.Now().UnixMilli()})
	}
	return upstreams
}

func keyOf(i int) Key { return KeyOf("agents", fmt.Sprintf("request-%d", i)) }
