package membership

import (
	"context"
	"errors"
	"math/bits"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/membership/memberpb"
	"github.com/rs/zerolog"
)

// Options holds what a Manager works with.
type Options struct {
	// Self is the process's own entry. Its Incarnation grows with each start on a host.
	Self Member
	// Transport carries the datagrams; Stop closes it.
	Transport Transport
	// Key authenticates datagrams. All processes of the fleet share it.
	Key []byte
	// Seeds returns gossip addresses to try beside known members. It may be nil.
	Seeds func() []string
	// Seed makes the choice of peers repeatable; 0 takes a random one.
	Seed uint64
	// Timing holds the periods; zero values take the defaults.
	Timing Timing
	Log    zerolog.Logger
}

// Timing holds the periods of the exchange.
type Timing struct {
	// ProbeInterval is the time between two probes by one process.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a probe is repeated through others.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a member stays suspect before it is dead.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
	// RejoinInterval is the time between two probes of seeds and dead members.
	RejoinInterval time.Duration
}

// DefaultTiming returns the periods that apply where Options say nothing.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		SuspicionTimeout: 4 * time.Second,
		ForgetAfter:      2 * time.Hour,
		RejoinInterval:   10 * time.Second,
	}
}

const (
	// indirectProbes is how many others are asked when a probe is not answered.
	indirectProbes = 3
	// leaveNotices is how many members a leaving process tells at once.
	leaveNotices = 8
	// piggybackEntries is how many recent changes a datagram carries.
	piggybackEntries = 6
	// joinRetryInterval is the time between attempts while no other member is known.
	joinRetryInterval = 250 * time.Millisecond
)

// syncDelays are the pauses after which a started process asks for a whole
// table again, since others may have started at the same time.
var syncDelays = []time.Duration{5 * time.Second, 20 * time.Second, 40 * time.Second}

// Manager spreads and keeps the table. It implements View.
type Manager struct {
	options Options
	timing  Timing

	mu      sync.Mutex
	table   *table
	changed chan struct{}
	pending map[uint64]chan struct{}
	relays  map[uint64]relay
	random  *rand.Rand
	order   []string

	stop chan struct{}
	done sync.WaitGroup
}

// relay remembers on whose behalf a probe was sent.
type relay struct {
	to       string
	sequence uint64
	expires  time.Time
}

// New returns a manager that knows only itself.
func New(options Options) *Manager {
	timing := options.Timing
	if timing.ProbeInterval == 0 {
		timing = DefaultTiming()
	}
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Manager{
		options: options,
		timing:  timing,
		table:   newTable(options.Self, time.Now()),
		changed: make(chan struct{}),
		pending: make(map[uint64]chan struct{}),
		relays:  make(map[uint64]relay),
		random:  rand.New(rand.NewPCG(seed, seed)),
		stop:    make(chan struct{}),
	}
}

// Start begins to receive and to probe. It does not wait for other members.
func (m *Manager) Start(context.Context) error {
	m.done.Add(3)
	go m.receiveLoop()
	go m.probeLoop()
	go m.rejoinLoop()
	return nil
}

// Stop ends the exchange without telling the others; see Leave.
func (m *Manager) Stop(context.Context) error {
	close(m.stop)
	err := m.options.Transport.Close()
	m.done.Wait()
	return fault.Wrap(err, "close transport", "")
}

// Self implements View.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.rows[m.table.self].member
}

// Members implements View.
func (m *Manager) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.members()
}

// Changed implements View.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// SetRevision changes the configuration revision that the process reports.
func (m *Manager) SetRevision(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.rows[m.table.self].member.Revision = revision
}

// Leave marks the process as leaving and tells several members at once.
func (m *Manager) Leave() {
	m.mu.Lock()
	self := m.table.rows[m.table.self].member
	self.State = StateLeaving
	m.table.set(self, time.Now())
	m.notify()
	peers := m.pick(leaveNotices, func(Member) bool { return true })
	m.mu.Unlock()
	for _, peer := range peers {
		m.send(peer.GossipAddress, m.newMessage(memberpb.Type_TYPE_PING, m.nextSequence()))
	}
}

// notify tells the waiters of Changed; m.mu is held.
func (m *Manager) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// pick returns up to n random other members that are not dead and pass the
// filter; m.mu is held.
func (m *Manager) pick(n int, filter func(Member) bool) []Member {
	var candidates []Member
	for _, member := range m.table.members() {
		if member.Process != m.table.self && filter(member) {
			candidates = append(candidates, member)
		}
	}
	m.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(n, len(candidates))]
}

func (m *Manager) nextSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Uint64()
}

// newMessage returns a datagram's content with what the process would spread next.
func (m *Manager) newMessage(kind memberpb.Type, sequence uint64) *memberpb.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.rows[m.table.self].member
	message := &memberpb.Message{
		Type:     kind,
		Sequence: sequence,
		Sender:   toEntry(self),
		Revision: self.Revision,
	}
	if kind == memberpb.Type_TYPE_PING {
		message.Digests = slices.Clone(m.table.digests[:])
	}
	for _, member := range m.table.freshest(piggybackEntries, m.maxSends()) {
		message.Entries = append(message.Entries, toEntry(member))
	}
	return message
}

// addNewsAbout tells a process that it is held for suspect or dead, so that it
// can refute that.
func (m *Manager) addNewsAbout(message *memberpb.Message, process string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.table.rows[process]
	if !ok || row.member.State == StateAlive || row.member.State == StateLeaving {
		return
	}
	message.Entries = append(message.Entries, toEntry(row.member))
}

// maxSends grows with the logarithm of the fleet's size; m.mu is held.
func (m *Manager) maxSends() int {
	return 4 + bits.Len(uint(len(m.table.rows)))
}

func (m *Manager) send(to string, message *memberpb.Message) {
	datagram, err := seal(m.options.Key, message)
	if err != nil {
		m.options.Log.Error().Err(err).Msg("membership: message not encoded")
		return
	}
	metrics.Counter("membership.sent_bytes").Inc(int64(len(datagram)))
	metrics.Counter("membership.sent_datagrams").Inc(1)
	if err := m.options.Transport.Send(to, datagram); err != nil && !errors.Is(err, net.ErrClosed) {
		m.options.Log.Debug().Err(err).Str("peer", to).Msg("membership: datagram not sent")
	}
}

// sleep waits for d, not at all when d is not positive, and reports false when the manager is stopped.
func (m *Manager) sleep(d time.Duration) bool {
	if d <= 0 {
		return !m.stopped()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.stop:
		return false
	}
}

func (m *Manager) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}
