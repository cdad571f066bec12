// Package lease lets processes hold exclusive slots and leases through the
// platform's store.
//
// Slots assigns a small number of numbered slots to hosts. A tenure is the holding of a
// slot by one incarnation of a process. Tenures do not expire, so that they outlast an
// outage of the store. Another process takes a slot only when the holder's host has
// been missing from the platform's list of hosts for some time. Witnesses are other
// processes that keep the records in memory; with them a restarted holder resumes its
// slot while the store is unreachable. It does so with a claim: a record that a majority
// of the witnesses must accept.
//
// Lease is a lease that expires after a term, for work that may be interrupted.
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

	// steadyInterval is the minimum time between two reads of the slots when none of
	// the two shorter intervals applies.
	steadyInterval = 30 * time.Second
	// searchInterval applies while this process has no slot, a slot is free, a holder
	// is not known to be alive, the store can't be read, or no majority of the
	// witnesses is informed.
	searchInterval = time.Second
	// startInterval applies until the number of slots and the witnesses are known, and
	// after the witnesses changed.
	startInterval = 50 * time.Millisecond
	tickInterval  = time.Second
	storeTimeout  = 2 * time.Second

	// DefaultReclaimAfter is the default of SlotsOptions.ReclaimAfter.
	DefaultReclaimAfter = 60 * time.Second
	// DefaultExtraAfter is the default of SlotsOptions.ExtraAfter.
	DefaultExtraAfter = 20 * time.Second
)

// Record is the stored form of a slot.
type Record struct {
	Index int `json:"-"`
	// Address is the host address of the holder, an IP address and port.
	Address string `json:"address"`
	// Incarnation identifies the incarnation of the holding process.
	Incarnation uint64 `json:"life"`
	// Epoch grows with each tenure.
	Epoch uint64 `json:"epoch"`
	// PreviousHolder is the address from which the slot was reclaimed. It is empty for
	// an ordinary tenure. When the tenure of a reclaim has begun, the holder clears it;
	// the reclaim is settled then.
	PreviousHolder string `json:"former,omitempty"`
	// EndedIncarnations lists incarnations that claimed the slot without the store and
	// no longer run. A witness replaces a claim of another address only if the claiming
	// incarnation is in this list.
	EndedIncarnations []uint64 `json:"past,omitempty"`
	// IsClaim is true if a witness got the record as a claim from its holder. It is
	// not stored.
	IsClaim bool `json:"-"`

	// version is the record's version in the store.
	version int64
}

// Tenure is the holding of a slot by this incarnation.
type Tenure struct {
	Index int
	Epoch uint64
	// Since is the time when the tenure began, on this process's clock.
	Since time.Time
	// Unused is true if nobody ever held the slot before.
	Unused bool
}

// SlotsOptions configures Slots. Store, Lister, Address and Count are required.
type SlotsOptions struct {
	Store   store.Store
	Lister  store.HostLister
	Address string
	// Count returns the number of slots, or zero while it is not known.
	Count func() int
	// Alive reports whether a process at an address is known to be alive; the slots
	// of such a process are not reclaimed. If nil, no process is known to be alive.
	Alive func(address string) bool
	// Witnesses reaches the processes that remember the slots. Without witnesses, a
	// restarted process resumes no slot while the store is unreachable.
	Witnesses WitnessClient
	Log       zerolog.Logger
	// Now reads the monotonic clock. If nil, time.Now is used.
	Now func() time.Time
	// ReclaimAfter is the time for which a host must be missing from the platform's
	// list before its slots are reclaimed. DefaultReclaimAfter if not positive.
	ReclaimAfter time.Duration
	// ExtraAfter is the additional time for which a slot must be free or its host
	// missing before a process that already holds a slot takes it as well.
	// DefaultExtraAfter if not positive.
	ExtraAfter time.Duration
}

// Slots takes slots for this process and keeps them. It is safe for concurrent use.
type Slots struct {
	options     SlotsOptions
	incarnation uint64

	mu    sync.Mutex
	known map[int]Record
	held  map[int]Tenure
	// unlistedSince holds, by holder address, since when the platform's list has
	// lacked the holder's host.
	unlistedSince map[string]time.Time
	// freeSince holds since when a slot has been known to have no holder.
	freeSince map[int]time.Time
	// pendingReclaims holds the slots that this incarnation is reclaiming and does not
	// hold yet. A value is true once the platform's list has shown that the previous
	// holder's host is still missing.
	pendingReclaims map[int]bool
	// witnessedEpochs holds the highest epoch of each slot that any witness reported.
	witnessedEpochs map[int]uint64
	// witnessTokens holds the witnesses' tokens by address.
	witnessTokens map[string]witnessToken
	// seenClaims holds the claims that witnesses reported, also those that no majority
	// accepted.
	seenClaims map[int][]Record
	// lastPoll holds the witnesses' replies after the last round. Only the
	// goroutine that executes run uses it.
	lastPoll *poll
	// lastTick is the time of the last tick, by which pauses of the process are detected.
	lastTick time.Time
	// unconfirmedSincePause is true from a long pause of the process until the slots
	// were read from the store again.
	unconfirmedSincePause bool

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewSlots returns a Slots that holds no slot. Start must be called for it to take any.
func NewSlots(options SlotsOptions) *Slots {
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
		options.Witnesses = noWitnessClient{}
	}
	return &Slots{
		options:         options,
		incarnation:     rand.Uint64() | 1,
		known:           make(map[int]Record),
		held:            make(map[int]Tenure),
		unlistedSince:   make(map[string]time.Time),
		freeSince:       make(map[int]time.Time),
		pendingReclaims: make(map[int]bool),
		witnessedEpochs: make(map[int]uint64),
		witnessTokens:   make(map[string]witnessToken),
		seenClaims:      make(map[int][]Record),
	}
}

// Start starts the goroutines that take and keep slots. It does not block.
func (s *Slots) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tick()
	s.tasks.Go(func() { s.run(ctx) })
	s.tasks.Go(func() { s.runTicks(ctx) })
}

// Stop stops the goroutines and waits for them. It must be called after Start. The
// stored records stay, so that the next incarnation at this address gets the slots.
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

// tick detects a pause of the process since the last tick and records the time.
func (s *Slots) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.detectPause(now)
	s.lastTick = now
}

// detectPause marks the tenures as unconfirmed if the process did not run for more
// than half of ReclaimAfter, since others may take its slots after ReclaimAfter. It
// must be called with mu held.
func (s *Slots) detectPause(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.options.ReclaimAfter/2 {
		s.unconfirmedSincePause = true
	}
}

// Held returns the tenures that may be used now. After a long pause of the process
// it returns none until the store has confirmed them, because other processes may
// have reclaimed the slots.
func (s *Slots) Held() []Tenure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectPause(s.options.Now())
	if s.unconfirmedSincePause {
		return nil
	}
	held := make([]Tenure, 0, len(s.held))
	for _, tenure := range s.held {
		held = append(held, tenure)
	}
	return held
}

// Known returns the last known record of each slot.
func (s *Slots) Known() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.known))
	for _, record := range s.known {
		records = append(records, record)
	}
	return records
}

// Holder returns the address of the last known holder of a slot, or "".
func (s *Slots) Holder(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[index].Address
}

// run repeats rounds until ctx ends. Up to a quarter of the interval is added at
// random, so that processes do not read the store at the same time.
func (s *Slots) run(ctx context.Context) {
	for {
		interval := s.runRound(ctx)
		interval += time.Duration(rand.Int64N(int64(interval / 4)))
		if pause.For(ctx, interval) != nil {
			return
		}
	}
}

// runRound updates the slots from the store and exchanges records with the
// witnesses. If the store is unreachable, it resumes slots with the help of the
// witnesses. It returns the time to wait before the next round.
func (s *Slots) runRound(ctx context.Context) time.Duration {
	count := s.options.Count()
	if count == 0 {
		return startInterval
	}
	previousPoll := s.lastPoll
	if err := s.updateSlots(ctx, count, previousPoll); err != nil {
		s.options.Log.Warn().Err(err).Msg("lease: could not read the slots from the store; asking the witnesses")
		s.resumeSlots(ctx, s.queryWitnesses(ctx))
		return searchInterval
	}
	if previousPoll != nil {
		s.verifyPendingReclaims(ctx)
		s.informAndBeginReclaimed(ctx, previousPoll)
	}
	s.lastPoll = s.queryWitnesses(ctx)
	if previousPoll == nil || previousPoll.set != s.lastPoll.set {
		return startInterval
	}
	if !previousPoll.hasInformedQuorum() || len(s.Held()) == 0 || s.hasFreeSlot(count) || s.hasHolderOfUnknownState() {
		return searchInterval
	}
	return steadyInterval
}

// updateSlots reads the slots from the store and takes those that this process may
// take. It returns an error if the slots could not be read. previousPoll may be nil.
func (s *Slots) updateSlots(ctx context.Context, count int, previousPoll *poll) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.readSlots(ctx); err != nil {
		return err
	}
	s.takeOwnSlots(ctx)
	s.settleReclaimed(ctx)
	if s.hasFreeSlot(count) {
		s.takeFreeSlot(ctx, count)
	}
	if s.hasHolderOfUnknownState() && previousPoll != nil && previousPoll.hasQuorum() {
		s.reclaimSlot(ctx, count)
	}
	return nil
}

// readSlots reads all slots from the store, and brings the known records and this
// process's tenures in line with them. A read that succeeds also confirms the tenures
// after a pause of the process.
func (s *Slots) readSlots(ctx context.Context) error {
	objects, _, err := s.options.Store.List(ctx, slotPrefix)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, object := range objects {
		record, err := parseRecord(object)
		if err != nil {
			s.options.Log.Error().Err(err).Str("key", object.Key).Msg("lease: could not decode the slot's record; ignoring it")
			continue
		}
		if s.known[record.Index].version != record.version {
			// A holder that has just written is alive, even if the platform's list lacks its host.
			delete(s.unlistedSince, record.Address)
		}
		s.known[record.Index] = record
		s.reconcile(record)
	}
	s.unconfirmedSincePause = false
	return nil
}

// reconcile brings this process's tenure of a slot in line with a record read from
// the store: it begins or ends the tenure where they differ. A tenure that was
// resumed without the store stays if the record names this address and an older
// epoch. It must be called with mu held.
func (s *Slots) reconcile(record Record) {
	tenure, held := s.held[record.Index]
	_, pending := s.pendingReclaims[record.Index]
	if record.Incarnation == s.incarnation && record.Address == s.options.Address && !held && !pending {
		s.beginTenure(record, false)
		return
	}
	resumed := held && record.Address == s.options.Address && record.Epoch < tenure.Epoch
	if held && record.Incarnation != s.incarnation && !resumed {
		delete(s.held, record.Index)
		s.options.Log.Warn().Int("slot", record.Index).Str("peer", record.Address).Msg("lease: another process took the slot; giving it up")
	}
}

// parseRecord decodes a stored slot and takes its index from the key.
func parseRecord(object store.Object) (Record, error) {
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

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, text)
	return h.Sum64()
}
