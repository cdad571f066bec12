package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/quotalink"
	"github.com/greengagegate/greengagegate/quota"
	"google.golang.org/protobuf/proto"
)

// frameBytes is what yamux and the frame's length add to a message.
const frameBytes = 12 + 1

var errLost = errors.New("message lost")

// limits is a configuration that tests may change.
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
func (l *limits) Fresh() bool                   { return true }

// member is one in-process router.
type member struct {
	fleet   *fleet
	address string
	region  string
	slots   []quota.HeldSlot
	manager *quota.Manager
	speed   float64
	config  *limits

	// The following are guarded by fleet.mu.
	down        bool
	draining    bool
	bouncing    bool
	pausedUntil time.Time
	sentBytes   int64
	sentCalls   int64
}

// fleet connects members through a network with faults.
type fleet struct {
	mu      sync.Mutex
	members map[string]*member
	order   []string
	// seen is what membership shows; it lags behind the truth.
	seen      []quota.Router
	holders   map[int]string
	cut       map[[2]string]bool
	latency   time.Duration
	farDelay  time.Duration
	loss, dup float64
	random    *rand.Rand
	start     time.Time
	config    *limits
}

func newFleet(seed uint64, size, slots int, regions ...string) *fleet {
	f := &fleet{
		members: make(map[string]*member),
		cut:     make(map[[2]string]bool),
		holders: make(map[int]string),
		latency: 500 * time.Microsecond,
		random:  rand.New(rand.NewPCG(seed, 1)),
		start:   time.Now(),
		config:  &limits{slots: slots, byID: make(map[quota.CustomerID]quota.Limit)},
	}
	if len(regions) == 0 {
		regions = []string{"r1"}
	}
	for i := range size {
		m := &member{fleet: f, address: fmt.Sprintf("m%d", i), region: regions[i%len(regions)], speed: 1, config: f.config}
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

func (f *fleet) run() {
	f.seeAll()
	for _, address := range f.order {
		f.members[address].boot()
	}
}

func (f *fleet) at(i int) *member { return f.members[f.order[i]] }

// stopAll ends all members and waits for messages under way.
func (f *fleet) stopAll() {
	defer time.Sleep(10 * time.Second)
	for _, address := range f.order {
		m := f.members[address]
		if !m.isDown() {
			m.life().Stop(context.Background())
		}
	}
}

// seeAll brings membership up to date.
func (f *fleet) seeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = nil
	for _, address := range f.order {
		if m := f.members[address]; !m.down {
			f.seen = append(f.seen, quota.Router{Address: address, Region: m.region})
		}
	}
}

func (f *fleet) setCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{a, b}] = cut
	f.cut[[2]string{b, a}] = cut
}

// calls is the number of calls sent by all members.
func (f *fleet) calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum int64
	for _, m := range f.members {
		sum += m.sentCalls
	}
	return sum
}

// now is the member's clock, which may run fast or slow.
func (m *member) now() time.Time {
	return m.fleet.start.Add(time.Duration(float64(time.Since(m.fleet.start)) * m.speed))
}

func (m *member) isDown() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.down
}

// claimBounce marks the member as being restarted, unless it is already.
func (m *member) claimBounce() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.bouncing {
		return false
	}
	m.bouncing = true
	return true
}

func (m *member) releaseBounce() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.bouncing = false
}

func (m *member) boot() {
	manager := quota.New(quota.Options{
		Address: m.address, Region: m.region, Transport: m, Directory: m, Config: m.config, Now: m.now,
		LayoutDelay: 10 * time.Second,
	})
	manager.Start()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.manager = manager
	m.down = false
	m.draining = false
}

// life returns the manager of the member's present life.
func (m *member) life() *quota.Manager {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.manager
}

// crash ends the process without a farewell.
func (m *member) crash() {
	m.fleet.mu.Lock()
	m.down = true
	m.fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.life().Stop(ctx)
}

// stop ends the process gracefully.
func (m *member) stop() {
	m.life().Stop(context.Background())
	m.fleet.mu.Lock()
	m.down = true
	m.fleet.mu.Unlock()
}

// restart begins the next life at the same address.
func (m *member) restart() {
	m.fleet.mu.Lock()
	for i := range m.slots {
		m.slots[i].Epoch++
		m.slots[i].Since = m.now()
		m.slots[i].Unused = false
	}
	m.fleet.mu.Unlock()
	m.boot()
}

// drain keeps requests away for a time before the member stops.
func (m *member) drain(d time.Duration) {
	m.fleet.mu.Lock()
	m.draining = true
	m.fleet.mu.Unlock()
	time.Sleep(d)
}

// takesRequests reports whether the balancer sends requests to the member.
func (m *member) takesRequests() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return !m.down && !m.draining
}

// balance returns a member that takes requests, as the balancer would choose it.
func (f *fleet) balance(random *rand.Rand) *member {
	first := random.IntN(len(f.order))
	for i := range f.order {
		if m := f.at((first + i) % len(f.order)); m.takesRequests() {
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

// awake blocks while the member is paused.
func (m *member) awake() {
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
	return m.fleet.seen
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

// Call implements quota.Transport over the fleet's network.
func (m *member) Call(ctx context.Context, address string, request *quota.Request) (*quota.Reply, error) {
	m.awake()
	f := m.fleet
	f.mu.Lock()
	peer := f.members[address]
	lost := f.random.Float64() < f.loss
	twice := f.random.Float64() < f.dup
	answerLost := f.random.Float64() < f.loss
	delay := f.latency
	if peer.region != m.region {
		delay += f.farDelay
	}
	refused := peer.down || m.down
	m.sentCalls++
	m.sentBytes += int64(frameBytes + proto.Size(quotalink.EncodeRequest(uint64(m.sentCalls), request)))
	lost = lost || f.cut[[2]string{m.address, address}]
	f.mu.Unlock()
	if refused {
		return nil, errLost
	}
	if !sleep(ctx, delay) || lost {
		<-ctx.Done()
		return nil, errLost
	}
	copied := *request
	if twice {
		late := time.Duration(f.delay() * float64(time.Second))
		go func() {
			time.Sleep(late)
			again := copied
			peer.handle(&again)
		}()
	}
	answered := make(chan *quota.Reply, 1)
	go func() { answered <- peer.handle(&copied) }()
	select {
	case reply := <-answered:
		m.awake()
		if reply == nil || answerLost || !sleep(ctx, delay) {
			<-ctx.Done()
			return nil, errLost
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errLost
	}
}

func (f *fleet) delay() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.random.Float64()
}

func (m *member) handle(request *quota.Request) *quota.Reply {
	m.awake()
	if m.isDown() {
		return nil
	}
	reply := m.life().Handle(context.Background(), request)
	m.awake()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.sentBytes += int64(frameBytes + proto.Size(quotalink.EncodeReply(uint64(m.sentCalls), reply)))
	return reply
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// bucket is one exact token bucket.
type bucket struct {
	limit quota.Limit
	level float64
	at    time.Time
}

func newBucket(limit quota.Limit) *bucket {
	return &bucket{limit: limit, level: limit.Burst, at: time.Now()}
}

func (b *bucket) advance(now time.Time) {
	b.level = min(b.limit.Burst, b.level+now.Sub(b.at).Seconds()*b.limit.Rate)
	b.at = now
}

func (b *bucket) admit(now time.Time, tokens float64) bool {
	b.advance(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// judge follows one customer's requests. The exact bucket of what was admitted
// never goes below zero exactly if every window keeps to rate*w + burst.
type judge struct {
	mu       sync.Mutex
	t        testing.TB
	changing bool
	admitted *bucket
	shadow   *bucket
	// lowest is the lowest level of the admitted bucket.
	lowest                                float64
	reasons                               [8]int
	requests, refused, wrong, wrongMerged int
	waited                                time.Duration
}

func newJudge(t testing.TB, limit quota.Limit) *judge {
	return &judge{t: t, admitted: newBucket(limit), shadow: newBucket(limit), lowest: limit.Burst}
}

// admit sends one request through a member and judges the outcome.
func (j *judge) admit(m *member, id quota.CustomerID, tokens int64) *quota.Ticket {
	j.mu.Lock()
	j.requests++
	exact := j.shadow.admit(time.Now(), float64(tokens))
	j.mu.Unlock()
	ticket, err := m.life().Admit(context.Background(), id, tokens)
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.admitted.advance(now)
	if err != nil {
		var refusal *quota.Refusal
		errors.As(err, &refusal)
		if refusal.Reason == quota.ReasonStopped {
			// The balancer would not have chosen a router that is stopping.
			j.requests--
			return nil
		}
		j.refused++
		j.reasons[refusal.Reason]++
		if exact {
			j.wrong++
		}
		if j.admitted.level >= float64(tokens) {
			j.wrongMerged++
		}
		return nil
	}
	j.admitted.level -= float64(tokens)
	j.lowest = min(j.lowest, j.admitted.level)
	j.waited += ticket.Waited
	return ticket
}

// judge follows one request whose outcome is decided by admit.
func (j *judge) judge(tokens int64, admit func() bool) {
	j.mu.Lock()
	j.requests++
	exact := j.shadow.admit(time.Now(), float64(tokens))
	j.mu.Unlock()
	ok := admit()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.admitted.advance(time.Now())
	if ok {
		j.admitted.level -= float64(tokens)
		j.lowest = min(j.lowest, j.admitted.level)
		return
	}
	j.refused++
	if exact {
		j.wrong++
	}
}

// change begins a change of the limit by a factor and returns the new one, or nil
// while another change is under way. Until settle, the larger of both is in force.
func (j *judge) change(factor float64) *quota.Limit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.changing {
		return nil
	}
	j.changing = true
	old := j.admitted.limit
	changed := quota.Limit{Rate: old.Rate * factor, Burst: old.Burst * factor}
	j.admitted.advance(time.Now())
	j.admitted.limit = quota.Limit{Rate: max(old.Rate, changed.Rate), Burst: max(old.Burst, changed.Burst)}
	j.admitted.level += j.admitted.limit.Burst - old.Burst
	return &changed
}

// settle ends a change.
func (j *judge) settle(limit quota.Limit) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changing = false
	j.admitted.advance(time.Now())
	j.admitted.limit = limit
}

// use corrects the cost of the request that was admitted last.
func (j *judge) use(reserved, used int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.admitted.level += float64(reserved - used)
}

// verify fails the test if any window was above the limit.
func (j *judge) verify() {
	j.t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lowest < -1 {
		j.t.Errorf("over-admission of %.0f tokens at rate %.0f, burst %.0f", -j.lowest, j.admitted.limit.Rate, j.admitted.limit.Burst)
	}
}
