package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// sendTimeout bounds one message to another gateway.
	sendTimeout = 300 * time.Millisecond
	// maxQueued bounds the parcels that wait for one gateway; further ones are dropped. All
	// streams of a horizon are sent at once when a second version appears.
	maxQueued = 1 << 13
	// maxBatch bounds the parcels in one message.
	maxBatch = 512
	// maxTries bounds the gateways that a copy is offered to.
	maxTries = 3
)

// parcel is one stream that a gateway is told of.
type parcel struct {
	key    Key
	record Record
	// tried are the gateways that did not take it, or have a copy.
	tried []string
	tries int
}

// courier sends parcels to other gateways. It has one goroutine for each gateway with waiting
// parcels; those that wait while a message is under way share the next one.
type courier struct {
	manager *Manager
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	queues map[string][]parcel
	// sending holds the gateways that a goroutine sends to.
	sending map[string]bool
}

func newCourier(m *Manager) *courier {
	ctx, stop := context.WithCancel(context.Background())
	return &courier{manager: m, ctx: ctx, stop: stop, queues: make(map[string][]parcel), sending: make(map[string]bool)}
}

// send queues a copy of a parcel for each of the named gateways.
func (c *courier) send(p parcel, names []string) {
	for _, name := range names {
		copied := p
		copied.tried = names
		c.enqueue(name, copied)
	}
}

// enqueue queues a parcel for a gateway and starts sending if nothing is under way.
func (c *courier) enqueue(name string, p parcel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	if len(c.queues[name]) >= maxQueued {
		metrics.Counter("origin.records", "result", "dropped").Inc(1)
		return
	}
	c.queues[name] = append(c.queues[name], p)
	if c.sending[name] {
		return
	}
	c.sending[name] = true
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		contain.Loop(c.ctx, c.manager.options.Log, "origin", name, func(context.Context) { c.drain(name) })
	}()
}

// drain sends the parcels for a gateway until none waits.
func (c *courier) drain(name string) {
	for {
		batch := c.take(name)
		if len(batch) == 0 {
			return
		}
		if err := c.deliver(name, batch); err != nil {
			if c.ctx.Err() != nil {
				return
			}
			c.manager.options.Log.Warn().Err(err).Str("peer", name).Int("streams", len(batch)).Msg("origin: a gateway was not told where streams began; telling others")
			c.redirect(name, batch)
		}
	}
}

// take returns the first parcels that wait for a gateway. If there are none, another goroutine
// may be started for it.
func (c *courier) take(name string) []parcel {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.queues[name]
	if len(waiting) == 0 {
		delete(c.sending, name)
		return nil
	}
	if len(waiting) <= maxBatch {
		delete(c.queues, name)
		return waiting
	}
	c.queues[name] = waiting[maxBatch:]
	return waiting[:maxBatch]
}

// deliver sends parcels in one message.
func (c *courier) deliver(name string, batch []parcel) error {
	ctx, cancel := context.WithTimeout(c.ctx, sendTimeout)
	defer cancel()
	request := new(wirepb.OriginRequest)
	for _, p := range batch {
		request.Begun = append(request.Begun, &wirepb.StreamOrigin{Stream: uint64(p.key), Pool: p.record.Pool, Software: p.record.Software})
	}
	reply, err := c.manager.call(ctx, name, request)
	if err == nil {
		c.manager.learn(reply.Histories)
		metrics.Counter("origin.records", "result", "sent").Inc(int64(len(batch)))
	}
	return err
}

// redirect queues parcels that a gateway did not take for the next one in their order.
func (c *courier) redirect(from string, batch []parcel) {
	names := c.manager.inContact()
	for _, p := range batch {
		p.tries++
		next := firstUntried(rendezvous.Top(p.key.text(), names, asked), p.tried)
		if p.tries >= maxTries || next == "" {
			metrics.Counter("origin.records", "result", "failed").Inc(1)
			continue
		}
		p.tried = append(slices.Clone(p.tried), next)
		c.enqueue(next, p)
	}
}

// firstUntried returns the first name that is not among the tried ones, or "".
func firstUntried(names, tried []string) string {
	for _, name := range names {
		if !slices.Contains(tried, name) {
			return name
		}
	}
	return ""
}

// close ends all sending and waits for it.
func (c *courier) close() {
	c.stop()
	c.wg.Wait()
}
