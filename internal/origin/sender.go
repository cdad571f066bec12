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
	// maxQueued bounds the records that wait for one gateway; further ones are dropped. All
	// streams of a horizon are sent at once when a second version appears.
	maxQueued = 1 << 13
	// maxBatch bounds the records in one message.
	maxBatch = 512
	// maxTries bounds the gateways that a copy is offered to.
	maxTries = 3
)

// queuedRecord is one stream that a gateway is told of.
type queuedRecord struct {
	key    Key
	record Record
	// tried are the gateways that did not take it, or have a copy.
	tried []string
	tries int
}

// sender sends records to other gateways. It has one goroutine for each gateway with waiting
// records; those that wait while a message is under way share the next one.
type sender struct {
	manager *Manager
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	queues map[string][]queuedRecord
	// sending holds the gateways that a goroutine sends to.
	sending map[string]bool
}

func newSender(m *Manager) *sender {
	ctx, stop := context.WithCancel(context.Background())
	return &sender{manager: m, ctx: ctx, stop: stop, queues: make(map[string][]queuedRecord), sending: make(map[string]bool)}
}

// send queues a copy of a record for each of the named gateways.
func (s *sender) send(r queuedRecord, names []string) {
	for _, name := range names {
		copied := r
		copied.tried = names
		s.enqueue(name, copied)
	}
}

// enqueue queues a record for a gateway and starts sending if nothing is under way.
func (s *sender) enqueue(name string, r queuedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if len(s.queues[name]) >= maxQueued {
		metrics.Counter("origin.records", "result", "dropped").Inc(1)
		return
	}
	s.queues[name] = append(s.queues[name], r)
	if s.sending[name] {
		return
	}
	s.sending[name] = true
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		contain.Loop(s.ctx, s.manager.options.Log, "origin", name, func(context.Context) { s.drain(name) })
	}()
}

// drain sends the records for a gateway until none waits.
func (s *sender) drain(name string) {
	for {
		batch := s.take(name)
		if len(batch) == 0 {
			return
		}
		if err := s.deliver(name, batch); err != nil {
			if s.ctx.Err() != nil {
				return
			}
			s.manager.options.Log.Warn().Err(err).Str("peer", name).Int("streams", len(batch)).Msg("origin: a gateway was not told where streams began; telling others")
			s.sendElsewhere(batch)
		}
	}
}

// take returns the first records that wait for a gateway. If there are none, another goroutine
// may be started for it.
func (s *sender) take(name string) []queuedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.queues[name]
	if len(waiting) == 0 {
		delete(s.sending, name)
		return nil
	}
	if len(waiting) <= maxBatch {
		delete(s.queues, name)
		return waiting
	}
	s.queues[name] = waiting[maxBatch:]
	return waiting[:maxBatch]
}

// deliver sends records in one message.
func (s *sender) deliver(name string, batch []queuedRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	request := new(wirepb.OriginRequest)
	for _, r := range batch {
		request.Begun = append(request.Begun, &wirepb.StreamOrigin{Stream: uint64(r.key), Pool: r.record.Pool, Software: r.record.Software})
	}
	reply, err := s.manager.call(ctx, name, request)
	if err == nil {
		s.manager.learn(reply.Histories)
		metrics.Counter("origin.records", "result", "sent").Inc(int64(len(batch)))
	}
	return err
}

// sendElsewhere queues records that a gateway did not take for the next one in their order.
func (s *sender) sendElsewhere(batch []queuedRecord) {
	names := s.manager.inContact()
	for _, r := range batch {
		r.tries++
		next := firstUntried(rendezvous.Top(r.key.text(), names, asked), r.tried)
		if r.tries >= maxTries || next == "" {
			metrics.Counter("origin.records", "result", "failed").Inc(1)
			continue
		}
		r.tried = append(slices.Clone(r.tried), next)
		s.enqueue(next, r)
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
func (s *sender) close() {
	s.stop()
	s.wg.Wait()
}
