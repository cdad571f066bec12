package origin

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// askTimeout bounds a question to other gateways. It is short because a caller's request waits
// for the answer.
const askTimeout = 150 * time.Millisecond

// answer is what another gateway knows. record is nil if it does not know the stream, and view
// if it did not answer.
type answer struct {
	record *Record
	view   *View
}

// askOthers asks the first gateways in the order of a stream's key where it began. It returns
// as soon as one of them knows it, or with the views of all that answered in time. complete is
// true if there are other gateways, all of them are in contact and all that were asked answered.
// A gateway that has read no list yet does not count: it knows nothing of what it began before it
// was started again.
func (m *Manager) askOthers(ctx context.Context, key Key, pool string) (record *Record, views []View, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	silences := m.options.Silences()
	names := rendezvous.Top(key.text(), inContact(silences), asked)
	answers := make(chan answer, len(names))
	for _, name := range names {
		go func() {
			var got answer
			defer func() { answers <- got }()
			defer contain.Panics(m.options.Log, "origin", name)
			got = m.ask(ctx, name, key, pool)
		}()
	}
	for range names {
		got := <-answers
		if got.record != nil {
			return got.record, nil, false
		}
		if got.view != nil && got.view.hasList() {
			views = append(views, *got.view)
		}
	}
	complete = len(names) > 0 && len(views) == len(names) && len(peering.InContact(silences)) == len(silences)
	return nil, views, complete
}

// ask asks one gateway.
func (m *Manager) ask(ctx context.Context, name string, key Key, pool string) answer {
	request := &wirepb.OriginRequest{Asks: true, Wanted: uint64(key), Pool: pool}
	reply, err := m.call(ctx, name, request)
	if err != nil {
		m.options.Log.Warn().Err(err).Str("peer", name).Str("stream", key.text()).Msg("origin: a gateway did not say where a stream began; relying on the others")
		return answer{}
	}
	var got answer
	if reply.Origin != nil {
		got.record = &Record{Pool: reply.Origin.Pool, Software: reply.Origin.Software}
	}
	for _, h := range reply.Histories {
		if h.Pool == pool {
			v := decodeView(h)
			got.view = &v
		}
	}
	return got
}

// call sends a request to another gateway.
func (m *Manager) call(ctx context.Context, name string, request *wirepb.OriginRequest) (*wirepb.OriginReply, error) {
	reply := new(wirepb.OriginReply)
	if err := m.options.Gateways.Call(ctx, name, wirepb.Kind_KIND_ORIGIN, request, reply); err != nil {
		return nil, fault.Wrap(err, "exchange origins of streams", name)
	}
	return reply, nil
}

// handle answers one request of another gateway.
func (m *Manager) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var request wirepb.OriginRequest
	if err := stream.Recv(&request); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("origin: could not read a request; dropping it")
		return
	}
	if err := stream.Send(m.reply(&request)); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("origin: could not send a reply; the peer asks another gateway")
	}
}

// reply keeps the streams in a request and returns the answer to it.
func (m *Manager) reply(request *wirepb.OriginRequest) *wirepb.OriginReply {
	now, horizon := m.options.Now(), m.horizon()
	reply := new(wirepb.OriginReply)
	m.mu.Lock()
	defer m.mu.Unlock()
	told := make(map[string]bool)
	for _, begun := range request.Begun {
		m.keep(begun)
		told[begun.Pool] = true
	}
	for pool := range told {
		// The sender has just started if it is certain here that one version serves.
		if v := m.history.view(pool, now); v.isSingle(horizon) {
			reply.Histories = append(reply.Histories, encodeView(pool, v))
		}
	}
	if !request.Asks {
		return reply
	}
	if e := m.table.get(Key(request.Wanted), horizon, now); e != nil {
		reply.Origin = &wirepb.StreamOrigin{Stream: request.Wanted, Pool: e.Pool, Software: e.Software}
	}
	reply.Histories = append(reply.Histories, encodeView(request.Pool, m.history.view(request.Pool, now)))
	return reply
}

// learn adds what another gateway knows of pools.
func (m *Manager) learn(histories []*wirepb.SoftwareHistory) {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range histories {
		m.history.merge(h.Pool, decodeView(h), horizon, now)
	}
}

// keep keeps a stream for other gateways. m.mu must be held.
func (m *Manager) keep(begun *wirepb.StreamOrigin) {
	now := m.options.Now()
	e := &entry{Record: Record{Pool: begun.Pool, Software: begun.Software}, begunAt: now, published: true}
	m.table.put(Key(begun.Stream), e, m.horizon(), now)
}

func encodeView(pool string, v View) *wirepb.SoftwareHistory {
	encoded := &wirepb.SoftwareHistory{Pool: pool, SpanMs: v.Span.Milliseconds()}
	for software, age := range v.Ages {
		encoded.Versions = append(encoded.Versions, &wirepb.SoftwareSighting{Software: software, AgeMs: age.Milliseconds()})
	}
	return encoded
}

func decodeView(encoded *wirepb.SoftwareHistory) View {
	v := View{Span: time.Duration(encoded.SpanMs) * time.Millisecond, Ages: make(map[string]time.Duration, len(encoded.Versions))}
	for _, sighting := range encoded.Versions {
		v.Ages[sighting.Software] = time.Duration(sighting.AgeMs) * time.Millisecond
	}
	return v
}
