// Package lease keeps claims that processes hold through the platform's store.
//
// Slots hands out a small number of numbered slots to hosts. A slot does not
// lapse with time, so that an outage of the store ends no tenure; it moves only
// when the platform's list of hosts has dropped its holder for a while. Lease is
// a lease with a term for work that may lapse.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	slotPrefix = "slots/entry/"
	layoutKey  = "slots/layout"

	// steadyInterval, searchInterval and idleInterval space the reads of the
	// slots: with nothing to look for, while a slot may be had, and before the
	// number of slots or the witnesses are known.
	steadyInterval = 30 * time.Second
	searchInterval = time.Second
	idleInterval   = 50 * time.Millisecond
	tickInterval   = time.Second
	storeTimeout   = 2 * time.Second

	// DefaultReclaimAfter is how long the platform must have dropped a host
	// before its slots are taken.
	DefaultReclaimAfter = 60 * time.Second
	// DefaultExtraAfter is how long a slot stays free before a process that has one takes it too.
	DefaultExtraAfter = 20 * time.Second
)

// Record is a slot as the store has it.
type Record struct {
	Index int `json:"-"`
	// Address is the host address of the holder, an IP number and port.
	Address string `json:"address"`
	// Incarnation names the life of the holding process.
	Incarnation uint64 `json:"life"`
	// Epoch grows with each tenure.
	Epoch uint64 `json:"epoch"`
	// PreviousHolder is the address that the slot was reclaimed from, or "".
	PreviousHolder string `json:"former,omitempty"`
	// EndedIncarnations are lives that resumed the slot without the store and whose end the
	// holder has waited for. Witnesses hold on to all other ones.
	EndedIncarnations []uint64 `json:"past,omitempty"`
	// Resumed says that a witness has the record from the holder's own claim.
	Resumed bool `json:"-"`

	version int64
}

// Tenure is a slot that this process holds.
type Tenure struct {
	Index int
	Epoch uint64
	// Since is when it was taken, on this process's clock.
	Since time.Time
	// Unused says that nobody ever held the slot before.
	Unused bool
}

// Options configures Slots. Store, Lister, Address and Count are required.
type Options struct {
	Store   store.Store
	Lister  store.HostLister
	Address string
	// Count returns the number of slots; zero while it is not known.
	Count func() int
	// Alive reports whether a process at an address is known to be alive. Its slots are left alone.
	Alive func(address string) bool
	// Witnesses remember the slots while the store is away. Without them a slot is
	// never resumed then.
	Witnesses Witnesses
	Log       zerolog.Logger
	// Now reads the monotonic clock; time.Now when nil.
	Now          func() time.Time
	ReclaimAfter time.Duration
	ExtraAfter   time.Duration
}

// Slots takes and keeps slots for this process. It is safe for concurrent use.
type Slots struct {
	options Options
	life    uint64

	mu      sync.Mutex
	known   map[int]Record
	held    map[int]Tenure
	dropped map[string]time.Time
	free    map[int]time.Time
	// reclaimed are the slots that this life has tried to take from other hosts
	// and does not hold.
	reclaimed map[int]bool
	// witnessed are the highest epochs that witnesses have seen.
	witnessed map[int]uint64
	// lives are the witnesses' tokens, by address.
	lives map[string]witnessLife
	// claimed are the tenures that were resumed without the store, as far as seen.
	claimed map[int][]Record
	// polled is what the witnesses answered after the last round.
	polled *poll
	// tickedAt is when the process last showed that it runs.
	tickedAt time.Time
	// unsure is set after a pause, until the store has confirmed the tenures.
	unsure bool

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewSlots returns a Slots that holds nothing before Start.
func NewSlots(options Options) *Slots {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.ReclaimAfter <= 0 {
		options.ReclaimAfter = DefaultReclaimAfter
	}
	if options.ExtraAfter <= 0 {
		options.ExtraAfter = DefaultExtraAfter
	}
	if options.Witnesses == nil {
		options.Witnesses = noWitnesses{}
	}
	return &Slots{
		options:   options,
		life:      rand.Uint64() | 1,
		known:     make(map[int]Record),
		held:      make(map[int]Tenure),
		dropped:   make(map[string]time.Time),
		free:      make(map[int]time.Time),
		reclaimed: make(map[int]bool),
		witnessed: make(map[int]uint64),
		lives:     make(map[string]witnessLife),
		claimed:   make(map[int][]Record),
	}
}

// Start begins to look for slots. It does not block.
func (s *Slots) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tick()
	s.tasks.Go(func() { s.run(ctx) })
	s.tasks.Go(func() { s.runTicks(ctx) })
}

// Stop ends the work. The slots stay with this address, for its next life.
func (s *Slots) Stop() {
	s.cancel()
	s.tasks.Wait()
}

func (s *Slots) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick notes that the process runs, and a pause that lasted too long.
func (s *Slots) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.notePause(now)
	s.tickedAt = now
}

// notePause marks the tenures as unsure when the process has not run for so long
// that others may have taken its slots; s.mu is held.
func (s *Slots) notePause(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > s.options.ReclaimAfter/2 {
		s.unsure = true
	}
}

// Held returns the tenures that may be used now: none after a pause that others
// may have taken for the end of this host, until the store confirms them.
func (s *Slots) Held() []Tenure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notePause(s.options.Now())
	if s.unsure {
		return nil
	}
	held := make([]Tenure, 0, len(s.held))
	for _, tenure := range s.held {
		held = append(held, tenure)
	}
	return held
}

// Known returns the holders of slots as last seen.
func (s *Slots) Known() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.known))
	for _, record := range s.known {
		records = append(records, record)
	}
	return records
}

// Holder returns the address of the holder of a slot as last seen, or "".
func (s *Slots) Holder(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[index].Address
}

func (s *Slots) run(ctx context.Context) {
	for {
		interval := s.round(ctx)
		interval += time.Duration(rand.Int64N(int64(interval / 4)))
		if pause.For(ctx, interval) != nil {
			return
		}
	}
}

// round reads the slots and takes what it may. It returns when to look again.
func (s *Slots) round(ctx context.Context) time.Duration {
	count := s.options.Count()
	if count == 0 {
		return idleInterval
	}
	polled := s.polled
	if err := s.update(ctx, count, polled); err != nil {
		s.options.Log.Warn().Err(err).Msg("lease: slots not read")
		s.resume(ctx, s.askWitnesses(ctx))
		return searchInterval
	}
	if polled != nil {
		s.returnListed(ctx)
		s.inform(ctx, polled)
	}
	s.polled = s.askWitnesses(ctx)
	if polled == nil || polled.set != s.polled.set {
		return idleInterval
	}
	if !polled.settled() || len(s.Held()) == 0 || s.hasFree(count) || s.hasSilent() {
		return searchInterval
	}
	return steadyInterval
}

// update reads the slots and takes what it may. An error means that the store is away.
func (s *Slots) update(ctx context.Context, count int, polled *poll) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.refresh(ctx); err != nil {
		return err
	}
	s.takeOwn(ctx)
	s.settle(ctx)
	if s.hasFree(count) {
		s.takeFree(ctx, count)
	}
	if s.hasSilent() && polled != nil && polled.answered() {
		s.reclaim(ctx, count)
	}
	return nil
}

// refresh reads all slots, and gives up tenures that the store gives to others.
func (s *Slots) refresh(ctx context.Context) error {
	objects, _, err := s.options.Store.List(ctx, slotPrefix)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, object := range objects {
		record, err := parse(object)
		if err != nil {
			s.options.Log.Error().Err(err).Str("key", object.Key).Msg("lease: slot is unreadable")
			continue
		}
		if s.known[record.Index].version != record.version {
			// A holder that has just written is not silent, whatever the list says.
			delete(s.dropped, record.Address)
		}
		s.known[record.Index] = record
		s.confirm(record)
	}
	s.unsure = false
	return nil
}

// confirm compares a record with this process's tenures; s.mu is held.
func (s *Slots) confirm(record Record) {
	tenure, held := s.held[record.Index]
	_, pending := s.reclaimed[record.Index]
	if record.Incarnation == s.life && record.Address == s.options.Address && !held && !pending {
		s.hold(record, false)
		return
	}
	resumed := held && record.Address == s.options.Address && record.Epoch < tenure.Epoch
	if held && record.Incarnation != s.life && !resumed {
		delete(s.held, record.Index)
		s.options.Log.Warn().Int("slot", record.Index).Str("peer", record.Address).Msg("lease: slot was taken")
	}
}

func parse(object store.Object) (Record, error) {
	var record Record
	index, err := strconv.Atoi(strings.TrimPrefix(object.Key, slotPrefix))
	if err != nil {
		return record, err
	}
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return record, err
	}
	record.Index = index
	record.version = object.Version
	return record, nil
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, text)
	return h.Sum64()
}
