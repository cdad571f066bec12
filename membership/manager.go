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

// Options configures a Manager.
type Options struct {
	// Self is the entry of this process. Its Incarnation should be higher than at the
	// previous start.
	Self Member
	// Transport carries the datagrams. Stop closes it.
	Transport Transport
	// Key authenticates datagrams. It is shared by all processes of the fleet.
	Key []byte
	// Seeds returns gossip addresses to contact in addition to the known members.
	// It may be nil.
	Seeds func() []string
	// Seed makes the random choice of peers reproducible. 0 selects a random seed.
	Seed uint64
	// Timing holds the protocol's intervals and timeouts. If ProbeInterval is 0,
	// DefaultTiming replaces the whole struct.
	Timing Timing
	Log    zerolog.Logger
}

// Timing holds the intervals and timeouts of the gossip protocol.
type Timing struct {
	// ProbeInterval is the time between the starts of two probes by one process.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without an acknowledgement after which a probe is
	// repeated through other members.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a member stays suspect before it is declared dead.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a dead member stays in the table.
	ForgetAfter time.Duration
	// RejoinInterval is the time between two pings to seeds and dead members.
	RejoinInterval time.Duration
}

// DefaultTiming returns the timing that applies when Options.Timing is zero.
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
	// indirectProbeCount is the number of members asked to repeat an unanswered probe.
	indirectProbeCount = 3
	// leaveNoticeCount is the number of members that a leaving process notifies immediately.
	leaveNoticeCount = 8
	// maxPiggybackEntries is the maximum number of recent changes in a datagram.
	maxPiggybackEntries = 6
	// joinRetryInterval replaces RejoinInterval while the table lists no other
	// member that is not dead.
	joinRetryInterval = 250 * time.Millisecond
)

// syncDelays are the successive delays after which a newly started process
// requests a full table again, since members that started at the same time may be
// missing from the first one.
var syncDelays = []time.Duration{5 * time.Second, 20 * time.Second, 40 * time.Second}

// Manager maintains the membership table and exchanges it with other processes.
// It implements View. Its methods are safe for concurrent use.
type Manager struct {
	options Options
	timing  Timing

	mu          sync.Mutex
	table       *table
	changed     chan struct{}
	pendingAcks map[uint64]chan struct{}
	relays      map[uint64]relay
	random      *rand.Rand
	probeOrder  []string

	stop chan struct{}
	wg   sync.WaitGroup
}

// relay records which member requested an indirect probe.
type relay struct {
	requester string
	sequence  uint64
	expires   time.Time
}

// New returns a manager whose table contains only this process.
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
		options:     options,
		timing:      timing,
		table:       newTable(options.Self, time.Now()),
		changed:     make(chan struct{}),
		pendingAcks: make(map[uint64]chan struct{}),
		relays:      make(map[uint64]relay),
		random:      rand.New(rand.NewPCG(seed, seed)),
		stop:        make(chan struct{}),
	}
}

// Start starts receiving and probing in the background. It does not wait for
// other members and always returns nil.
func (m *Manager) Start(context.Context) error {
	m.wg.Add(3)
	go m.receiveLoop()
	go m.probeLoop()
	go m.rejoinLoop()
	return nil
}

// Stop closes the transport and waits for the background goroutines. It does not
// notify other members; Leave does. It must be called only once.
func (m *Manager) Stop(context.Context) error {
	close(m.stop)
	err := m.options.Transport.Close()
	m.wg.Wait()
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

// SetRevision sets the configuration revision that the process reports.
func (m *Manager) SetRevision(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.rows[m.table.self].member.Revision = revision
}

// Leave marks the process as leaving and notifies up to leaveNoticeCount members
// immediately.
func (m *Manager) Leave() {
	m.mu.Lock()
	self := m.table.rows[m.table.self].member
	self.State = StateLeaving
	m.table.set(self, time.Now())
	m.notifyChanged()
	peers := m.pickPeers(leaveNoticeCount, func(Member) bool { return true })
	m.mu.Unlock()
	for _, peer := range peers {
		m.send(peer.GossipAddress, m.newMessage(memberpb.Type_TYPE_PING, m.newSequence()))
	}
}

// notifyChanged wakes all waiters on Changed. It must be called with mu held.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// pickPeers returns up to n random other members that are not dead and pass
// filter. It must be called with mu held.
func (m *Manager) pickPeers(n int, filter func(Member) bool) []Member {
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

// newSequence returns a random number that identifies a ping and its acknowledgement.
func (m *Manager) newSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Uint64()
}

// newMessage returns a message with the process's own entry and the recent
// changes that are due to be piggybacked. A ping also carries the table digests.
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
	for _, member := range m.table.takePiggyback(maxPiggybackEntries, m.maxSends()) {
		message.Entries = append(message.Entries, toEntry(member))
	}
	return message
}

// addSuspicion appends the entry of a process that is listed as suspect or dead,
// so that the process can refute it.
func (m *Manager) addSuspicion(message *memberpb.Message, process string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.table.rows[process]
	if !ok || row.member.State == StateAlive || row.member.State == StateLeaving {
		return
	}
	message.Entries = append(message.Entries, toEntry(row.member))
}

// maxSends returns the number of datagrams on which a change is piggybacked. It grows
// with the logarithm of the fleet's size. It must be called with mu held.
func (m *Manager) maxSends() int {
	return 4 + bits.Len(uint(len(m.table.rows)))
}

func (m *Manager) send(to string, message *memberpb.Message) {
	datagram, err := seal(m.options.Key, message)
	if err != nil {
		m.options.Log.Error().Err(err).Msg("membership: encoding the message failed; datagram not sent")
		return
	}
	metrics.Counter("membership.sent_bytes").Inc(int64(len(datagram)))
	metrics.Counter("membership.sent_datagrams").Inc(1)
	if err := m.options.Transport.Send(to, datagram); err != nil && !errors.Is(err, net.ErrClosed) {
		m.options.Log.Debug().Err(err).Str("peer", to).Msg("membership: sending the datagram failed")
	}
}

// sleep blocks for d and reports whether the manager is still running. It returns
// early when the manager stops, and at once if d is not positive.
func (m *Manager) sleep(d time.Duration) bool {
	if d <= 0 {
		return !m.isStopped()
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

func (m *Manager) isStopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}
