// Package origin tells at which version of its upstream's software a stream began, at any
// gateway. What upstreams of different versions write does not fit together, so that a stream
// which a caller resumes must go on at the version that began it, and the gateway that
// forwarded its beginning may be gone.
//
// While the upstreams of a pool have one version, a gateway only remembers its own streams.
// While they have several, or may have had within a horizon, each gateway tells two others of
// each stream that begins, which rendezvous hashing of the stream selects. A gateway that does
// not know a stream asks the first four in the same order. If none of them knows it, the
// stream may go on only if no second version can have begun it. That a gateway's list is recent
// does not show this, however recent it is: while it is out of step, another gateway may begin
// streams at upstreams that it has not heard of. Either all gateways have answered, or the store
// is read after the request to resume the stream has arrived; see Resolve.
package origin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// copies is the number of other gateways that are told of a stream.
	copies = 2
	// asked is the number of gateways that are asked for a stream. It is larger than copies
	// because gateways that come or go in between change the order.
	asked = 4
	// listDelay is how long after the start of an upstream a gateway may not know of it. A
	// stream that began at an ID that then turned out to be another incarnation's may have
	// begun at either.
	listDelay = 3 * time.Second
	// horizonTimeouts is the ratio of the horizon, within which a stream that began may be
	// resumed, to the longest timeout of a route.
	horizonTimeouts = 2
	// minHorizon and maxHorizon bound the horizon.
	minHorizon = 10 * time.Second
	maxHorizon = 2 * time.Minute
)

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of a customer's stream. attempt is the ID of the caller's attempt that
// brought its first event.
func KeyOf(customer, attempt string) Key {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(customer)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(attempt)
	return Key(digest.Sum64())
}

// Record is where a stream began.
type Record struct {
	Pool string
	// Software is the version of the upstream's software; empty if it is not certain.
	Software string
}

// Origin is the result of Resolve.
type Origin struct {
	Record
	Finding Finding
}

// VersionsReader reads from the platform store, with a call that is sent after ReadVersions was
// called, which software versions the upstreams of each pool have, or have had, beyond those in
// the catalog's list. A result without a pool means that there are no further ones.
type VersionsReader interface {
	ReadVersions(ctx context.Context) (map[string][]string, error)
}

// Options configures a Manager. All fields but FirstStart and Now are required.
type Options struct {
	// Gateways sends requests to the other gateways.
	Gateways peering.Caller
	Catalog  *catalog.Catalog
	Versions VersionsReader
	// Silences returns, for each other gateway by name, how long it has been silent.
	Silences func() map[string]time.Duration
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	Log        zerolog.Logger
	// Now reads the clock; nil means bootclock.Now.
	Now func() bootclock.Instant
}

// Manager remembers where streams began, for this gateway and others. It is safe for
// concurrent use.
type Manager struct {
	options Options
	sender  *sender
	reads   *reads

	mu      sync.Mutex
	history *history
	table   *table
	// upstreams is the last observed list.
	upstreams *catalog.Upstreams
	// loggedSingle holds, for each pool, what the last line said of it.
	loggedSingle map[string]bool
}

// New returns a Manager. It answers other gateways only after Register, and knows nothing of
// upstreams before Observe. Close must be called at the end.
func New(options Options) *Manager {
	if options.Now == nil {
		options.Now = bootclock.Now
	}
	m := &Manager{options: options, history: newHistory(options.FirstStart), table: newTable(), loggedSingle: make(map[string]bool)}
	m.sender = newSender(m)
	m.reads = newReads(options.Versions, options.Log)
	return m
}

// Register adds the handler for other gateways' requests to a wire server.
func (m *Manager) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_ORIGIN, m.handle)
}

// Close ends all sending and reading and waits for it.
func (m *Manager) Close() {
	m.sender.close()
	m.reads.close()
}

// horizon returns how long after its first event a stream may be resumed: a caller's whole
// patience is close to the timeout of its route.
func (m *Manager) horizon() time.Duration {
	longest := time.Duration(0)
	if config := m.options.Catalog.Config(); config != nil {
		longest = config.LongestStream
	}
	return min(max(horizonTimeouts*longest, minHorizon), maxHorizon)
}

// Observe records the list of upstreams in force. It must be called with each list.
func (m *Manager) Observe(list *catalog.Upstreams) {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.observe(list, horizon, now, time.Now())
	m.history.forget(horizon, now)
	previous := m.upstreams
	m.upstreams = list
	m.logVersions(list, now, horizon)
	if previous != nil {
		m.markReplacedUncertain(previous, list, now)
	}
	m.publishUnpublished(now, horizon)
}

// logVersions logs the versions of each pool of which it has become certain, or no longer is,
// that they are one. m.mu must be held.
func (m *Manager) logVersions(list *catalog.Upstreams, now bootclock.Instant, horizon time.Duration) {
	for name := range list.ByPool {
		v := m.history.view(name, now)
		single := v.isSingle(horizon)
		if logged, ok := m.loggedSingle[name]; ok && logged == single {
			continue
		}
		m.loggedSingle[name] = single
		m.options.Log.Info().Str("pool", name).Interface("versions_age", v.Ages).Dur("known_for_ms", v.Span).Bool("single", single).Bool("first_start", m.options.FirstStart).
			Msg("origin: software versions of a pool; unless they are single, other gateways are told of each stream")
	}
}

// markReplacedUncertain marks the streams that began shortly before the list says that the same ID is
// now an upstream of another version. m.mu must be held.
func (m *Manager) markReplacedUncertain(previous, list *catalog.Upstreams, now bootclock.Instant) {
	replaced := make(map[string]bool)
	for id, upstream := range list.ByID {
		if before := previous.ByID[id]; before != nil && before.Software != upstream.Software {
			replaced[id] = true
		}
	}
	if len(replaced) == 0 {
		return
	}
	m.table.each(func(_ Key, e *entry) {
		if replaced[e.upstream] && now.Sub(e.begunAt) < listDelay {
			e.Software, e.published = "", false
		}
	})
}

// MarkUncertain marks the streams that began at an upstream since an instant, because another
// incarnation than the listed one may have begun them.
func (m *Manager) MarkUncertain(upstream string, since bootclock.Instant) {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.each(func(_ Key, e *entry) {
		if e.upstream == upstream && !e.begunAt.Before(since) {
			e.Software, e.published = "", false
		}
	})
	m.publishUnpublished(now, horizon)
}

// publishUnpublished tells other gateways of the streams that began here within the horizon, in
// pools that may have had several versions since. m.mu must be held.
func (m *Manager) publishUnpublished(now bootclock.Instant, horizon time.Duration) {
	single, allSingle := make(map[string]bool), true
	for name := range m.history.pools {
		single[name] = m.history.view(name, now).isSingle(horizon)
		allSingle = allSingle && single[name]
	}
	if allSingle {
		return
	}
	m.table.each(func(key Key, e *entry) {
		if e.upstream != "" && !e.published && !single[e.Pool] && now.Sub(e.begunAt) < horizon {
			m.publish(key, e)
		}
	})
}

// publish tells other gateways of a stream. m.mu must be held.
func (m *Manager) publish(key Key, e *entry) {
	e.published = true
	m.sender.send(queuedRecord{key: key, record: e.Record}, rendezvous.Top(key.text(), m.inContact(), copies))
}

// text returns the key as rendezvous hashing takes it.
func (k Key) text() string { return strconv.FormatUint(uint64(k), 16) }

// inContact returns the other gateways that are in contact, or all if none is, which is the
// case after this gateway was suspended.
func (m *Manager) inContact() []string { return inContact(m.options.Silences()) }

func inContact(silences map[string]time.Duration) []string {
	if names := peering.InContact(silences); len(names) > 0 {
		return names
	}
	return slices.Collect(maps.Keys(silences))
}

// Began records that a gateway is about to forward the first event of a stream, which an
// upstream wrote that was listed as given when the request was sent. It does not block.
func (m *Manager) Began(key Key, upstream *catalog.Upstream) {
	now, horizon := m.options.Now(), m.horizon()
	e := &entry{Record: Record{Pool: upstream.Pool, Software: upstream.Software}, upstream: upstream.ID, begunAt: now}
	m.mu.Lock()
	defer m.mu.Unlock()
	if listed := m.listed(upstream.ID); listed != nil && listed.Software != upstream.Software {
		e.Software = ""
	}
	m.table.put(key, e, horizon, now)
	if !m.history.view(upstream.Pool, now).isSingle(horizon) {
		m.publish(key, e)
	}
}

// listed returns the upstream that is listed under an ID now, or nil.
func (m *Manager) listed(id string) *catalog.Upstream {
	if list := m.options.Catalog.Upstreams(); list != nil {
		return list.ByID[id]
	}
	return nil
}

// IsSingle reports whether it is certain that one version only serves a pool and has for at
// least the horizon.
func (m *Manager) IsSingle(pool string) bool {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.view(pool, now).isSingle(horizon)
}

// IsUncertain reports whether it has become uncertain at which version a stream began, which
// this gateway forwards.
func (m *Manager) IsUncertain(key Key) bool {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table.get(key, horizon, now)
	return e != nil && e.Software == ""
}

// Resolve returns where a stream began that a caller resumes. pool is the pool that would
// get it now. It asks other gateways unless this one knows the stream, and blocks for at most
// askTimeout and readTimeout. If the finding is FindingUnknown, the stream must not go on.
func (m *Manager) Resolve(ctx context.Context, key Key, pool string) Origin {
	origin := m.resolve(ctx, key, pool)
	if origin.Software == "" {
		origin.Finding = FindingUnknown
	}
	metrics.Counter("origin.resolutions", "finding", string(origin.Finding)).Inc(1)
	return origin
}

func (m *Manager) resolve(ctx context.Context, key Key, pool string) Origin {
	if record, ok := m.lookUp(key); ok {
		return Origin{Record: record, Finding: FindingRecord}
	}
	record, views, complete := m.askOthers(ctx, key, pool)
	if record != nil {
		return Origin{Record: *record, Finding: FindingRecord}
	}
	var read map[string][]string
	var err error
	if !complete {
		read, err = m.reads.latest(ctx)
	}
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.ownView(pool, read[pool], now)
	for _, v := range views {
		m.history.merge(pool, v, horizon, now)
	}
	software, single := singleVersion(own, views, horizon)
	m.options.Log.Info().Err(err).Str("stream", key.text()).Str("pool", pool).Int("answers", len(views)).Bool("all_answered", complete).
		Interface("versions_age", own.Ages).Dur("known_for_ms", own.Span).Bool("single", single).
		Msg("origin: no gateway knows where a stream began; it goes on only if a single version can have begun it, by the answers of all gateways or a read from the store")
	if single && err == nil {
		return Origin{Record: Record{Pool: pool, Software: software}, Finding: FindingSingle}
	}
	return Origin{Finding: FindingUnknown}
}

// ownView returns what this gateway knows of a pool: what it has observed, the list in the
// catalog, which may not have been observed yet, and versions that were just read. m.mu must be
// held.
func (m *Manager) ownView(pool string, read []string, now bootclock.Instant) View {
	v := m.history.view(pool, now)
	if v.Ages == nil {
		v.Ages = make(map[string]time.Duration)
	}
	if list := m.options.Catalog.Upstreams(); list != nil {
		for _, upstream := range list.ByPool[pool] {
			v.Ages[upstream.Software] = 0
		}
	}
	for _, software := range read {
		v.Ages[software] = 0
	}
	return v
}

// lookUp returns what this gateway knows of a stream.
func (m *Manager) lookUp(key Key) (Record, bool) {
	now, horizon := m.options.Now(), m.horizon()
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table.get(key, horizon, now); e != nil {
		return e.Record, true
	}
	return Record{}, false
}
