package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/quotalink"
	"github.com/greengagegate/greengagegate/quota"
	"google.golang.org/protobuf/proto"
)

// frameBytes is what yamux and the frame's length add to a message.
const frameBytes = 12 + 1

var errMessageLost = errors.New("message lost")

// limits is a quota.Config that tests can change.
type limits struct {
	mu       sync.Mutex
	revision uint64
	slots    int
	byID     map[quota.CustomerID]quota.Limit
	ids      []quota.CustomerID
}

func (l *limits) set(id quota.CustomerID, limit quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byID[id]; !ok {
		l.ids = append(l.ids, id)
	}
	l.byID[id] = limit
	l.revision++
}

func (l *limits) Limit(id quota.CustomerID) (quota.Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.byID[id]
	return limit, ok
}

func (l *limits) Revision() uint64              { l.mu.Lock(); defer l.mu.Unlock(); return l.revision }
func (l *limits) Customers() []quota.CustomerID { l.mu.Lock(); defer l.mu.Unlock(); return l.ids }
func (l *limits) Slots() int                    { l.mu.Lock(); defer l.mu.Unlock(); return l.slots }
func (l *limits) IsFresh() bool                 { return true }

// member is one in-process router. It is also the quota.Transport and
// quota.Directory of its manager.
type member struct {
	fleet      *fleet
	address    string
	region     string
	slots      []quota.HeldSlot
	manager    *quota.Manager
	clockSpeed float64
	config     *limits

	// The following are guarded by fleet.mu.
	stopped     bool
	draining    bool
	restarting  bool
	pausedUntil time.Time
	sentBytes   int64
	sentCalls   int64
}

// fleet connects members through a simulated network with faults.
type fleet struct {
	mu      sync.Mutex
	members map[string]*member
	order   []string
	// visibleMembers is the membership that members see. It lags behind the
	// actual state.
	visibleMembers            []quota.Router
	holders                   map[int]string
	partitioned               map[[2]string]bool
	latency                   time.Duration
	remoteDelay               time.Duration
	lossRate, duplicationRate float64
	random                    *rand.Rand
	start                     time.Time
	config                    *limits
}

func newFleet(seed uint64, size, slots int, regions ...string) *fleet {
	f := &fleet{
		members:     make(map[string]*member),
		partitioned: make(map[[2]string]bool),
		holders:     make(map[int]string),
		latency:     500 * time.Microsecond,
		random:      rand.New(rand.NewPCG(seed, 1)),
		start:       time.Now(),
		config:      &limits{slots: slots, byID: make(map[quota.CustomerID]quota.Limit)},
	}
	if len(regions) == 0 {
		regions = []string{"r1"}
	}
	for i := range size {
		m := &member{fleet: f, address: fmt.Sprintf("m%d", i), region: regions[i%len(regions)], clockSpeed: 1, config: f.config}
		f.members[m.address] = m
		f.order = append(f.order, m.address)
	}
	for i := range slots {
		m := f.members[f.order[i%size]]
		f.holders[i] = m.address
		m.slots = append(m.slots, quota.HeldSlot{SlotEpoch: quota.SlotEpoch{Index: i, Epoch: 1}, Since: m.now(), Unused: true})
	}
	return f
}

func (f *fleet) startAll() {
	f.updateMembership()
	for _, address := range f.order {
		f.members[address].start()
	}
}

func (f *fleet) at(i int) *member { return f.members[f.order[i]] }

// stopAll stops all members and waits for messages in flight.
func (f *fleet) stopAll() {
	defer time.Sleep(10 * time.Second)
	for _, address := range f.order {
		m := f.members[address]
		if !m.isStopped() {
			m.currentManager().Stop(context.Background())
		}
	}
}

// updateMembership makes the visible membership match the actual state.
func (f *fleet) updateMembership() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.visibleMembers = nil
	for _, address := range f.order {
		if m := f.members[address]; !m.stopped {
			f.visibleMembers = append(f.visibleMembers, quota.Router{Address: address, Region: m.region})
		}
	}
}

func (f *fleet) setPartitioned(a, b string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]string{a, b}] = partitioned
	f.partitioned[[2]string{b, a}] = partitioned
}

// calls returns the number of calls sent by all members.
func (f *fleet) calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum int64
	for _, m := range f.members {
		sum += m.sentCalls
	}
	return sum
}

// now returns the time of the member's clock, which may run fast or slow.
func (m *member) now() time.Time {
	return m.fleet.start.Add(time.Duration(float64(time.Since(m.fleet.start)) * m.clockSpeed))
}

func (m *member) isStopped() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.stopped
}

// beginRestart marks the member as restarting. It returns false if a restart is
// already in progress.
func (m *member) beginRestart() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.restarting {
		return false
	}
	m.restarting = true
	return true
}

func (m *member) endRestart() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.restarting = false
}

// start creates and starts a new manager.
func (m *member) start() {
	manager := quota.New(quota.Options{
		Address: m.address, Region: m.region, Transport: m, Directory: m, Config: m.config, Now: m.now,
		SlotGrowthDelay: 10 * time.Second,
	})
	manager.Start()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.manager = manager
	m.stopped = false
	m.draining = false
}

// currentManager returns the manager of the member's present incarnation.
func (m *member) currentManager() *quota.Manager {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.manager
}

// crash ends the process without sending any message.
func (m *member) crash() {
	m.fleet.mu.Lock()
	m.stopped = true
	m.fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.currentManager().Stop(ctx)
}

// stop ends the process gracefully.
func (m *member) stop() {
	m.currentManager().Stop(context.Background())
	m.fleet.mu.Lock()
	m.stopped = true
	m.fleet.mu.Unlock()
}

// restart starts the next incarnation at the same address.
func (m *member) restart() {
	m.fleet.mu.Lock()
	for i := range m.slots {
		m.slots[i].Epoch++
		m.slots[i].Since = m.now()
		m.slots[i].Unused = false
	}
	m.fleet.mu.Unlock()
	m.start()
}

// drain keeps new requests away from the member and waits for d.
func (m *member) drain(d time.Duration) {
	m.fleet.mu.Lock()
	m.draining = true
	m.fleet.mu.Unlock()
	time.Sleep(d)
}

// acceptsRequests reports whether the load balancer sends requests to the
// member.
func (m *member) acceptsRequests() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return !m.stopped && !m.draining
}

// pickMember returns a member that accepts requests, chosen as by a load
// balancer.
func (f *fleet) pickMember(random *rand.Rand) *member {
	first := random.IntN(len(f.order))
	for i := range f.order {
		if m := f.at((first + i) % len(f.order)); m.acceptsRequests() {
			return m
		}
	}
	return f.at(first)
}

func (m *member) pause(d time.Duration) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.pausedUntil = time.Now().Add(d)
}

// waitWhilePaused blocks while the member is paused.
func (m *member) waitWhilePaused() {
	m.fleet.mu.Lock()
	d := time.Until(m.pausedUntil)
	m.fleet.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// Routers implements quota.Directory.
func (m *member) Routers() []quota.Router {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.fleet.visibleMembers
}

// Holder implements quota.Directory.
func (m *member) Holder(slot int) string {
	if slot >= m.config.Slots() {
		return ""
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.fleet.holders[slot]
}

// Held implements quota.Directory.
func (m *member) Held() []quota.HeldSlot {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return append([]quota.HeldSlot(nil), m.slots...)
}

// Call implements quota.Transport over the fleet's network. It loses, delays
// and repeats messages as configured.
func (m *member) Call(ctx context.Context, address string, request *quota.Request) (*quota.Reply, error) {
	m.waitWhilePaused()
	f := m.fleet
	f.mu.Lock()
	peer := f.members[address]
	requestLost := f.random.Float64() < f.lossRate
	duplicated := f.random.Float64() < f.duplicationRate
	replyLost := f.random.Float64() < f.lossRate
	delay := f.latency
	if peer.region != m.region {
		delay += f.remoteDelay
	}
	unreachable := peer.stopped || m.stopped
	m.sentCalls++
	m.sentBytes += int64(frameBytes + proto.Size(quotalink.EncodeRequest(uint64(m.sentCalls), request)))
	requestLost = requestLost || f.partitioned[[2]string{m.address, address}]
	f.mu.Unlock()
	if unreachable {
		return nil, errMessageLost
	}
	if !sleep(ctx, delay) || requestLost {
		<-ctx.Done()
		return nil, errMessageLost
	}
	delivered := *request
	if duplicated {
		wait := time.Duration(f.duplicateDelay() * float64(time.Second))
		go func() {
			time.Sleep(wait)
			duplicate := delivered
			peer.handle(&duplicate)
		}()
	}
	replies := make(chan *quota.Reply, 1)
	go func() { replies <- peer.handle(&delivered) }()
	select {
	case reply := <-replies:
		m.waitWhilePaused()
		if reply == nil || replyLost || !sleep(ctx, delay) {
			<-ctx.Done()
			return nil, errMessageLost
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errMessageLost
	}
}

// duplicateDelay returns a random delay for a duplicate message, in seconds.
func (f *fleet) duplicateDelay() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.random.Float64()
}

func (m *member) handle(request *quota.Request) *quota.Reply {
	m.waitWhilePaused()
	if m.isStopped() {
		return nil
	}
	reply := m.currentManager().Handle(context.Background(), request)
	m.waitWhilePaused()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.sentBytes += int64(frameBytes + proto.Size(quotalink.EncodeReply(uint64(m.sentCalls), reply)))
	return reply
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
