package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

var seed = flag.Uint64("seed", 1, "seed of the first randomised run")

const (
	randomRuns    = 16
	randomSteps   = 150
	fleetSlots    = 2
	fleetHolders  = 3
	fleetWitness  = 5
	checkInterval = 250 * time.Millisecond
)

var errCut = errors.New("cut")

// slotFleet is a fleet of holders and witnesses in one process.
type slotFleet struct {
	store   *memstore.Store
	holders []*holder

	mu        sync.Mutex
	rng       *rand.Rand
	witnesses []*Witness
	cut       map[string]bool
	// resumed and reclaimed count what the run has exercised.
	resumed, reclaimed int
}

// holder is one host. Its slots are nil while it is down.
type holder struct {
	fleet    *slotFleet
	address  string
	storeCut atomic.Bool

	mu    sync.Mutex
	slots *Slots
}

func newSlotFleet(seed uint64) *slotFleet {
	f := &slotFleet{store: memstore.New(), rng: rand.New(rand.NewPCG(seed, 0)), cut: make(map[string]bool)}
	for range fleetWitness {
		f.witnesses = append(f.witnesses, NewWitness())
	}
	for i := range fleetHolders {
		f.holders = append(f.holders, &holder{fleet: f, address: fmt.Sprintf("10.0.0.%d:7600", i+1)})
	}
	return f
}

func (f *slotFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// Addresses implements Witnesses.
func (h *holder) Addresses() []string {
	var addresses []string
	for i := range fleetWitness {
		addresses = append(addresses, fmt.Sprint(i))
	}
	return addresses
}

// Query implements Witnesses. Messages are delayed; some answers come too late.
func (h *holder) Query(ctx context.Context, address string, request WitnessRequest) (WitnessReply, error) {
	f := h.fleet
	time.Sleep(time.Duration(f.intN(300)) * time.Millisecond)
	f.mu.Lock()
	cut := f.cut[h.address+address]
	witness := f.witnesses[address[0]-'0']
	f.mu.Unlock()
	if cut {
		return WitnessReply{}, errCut
	}
	reply := witness.Handle(request)
	time.Sleep(time.Duration(f.intN(300)) * time.Millisecond)
	return reply, ctx.Err()
}

// List implements store.Store.
func (h *holder) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if h.storeCut.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return h.fleet.store.List(ctx, prefix)
}

// Get implements store.Store.
func (h *holder) Get(ctx context.Context, key string) (store.Object, error) {
	if h.storeCut.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return h.fleet.store.Get(ctx, key)
}

// Put implements store.Store.
func (h *holder) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if h.storeCut.Load() {
		return 0, store.ErrUnavailable
	}
	return h.fleet.store.Put(ctx, key, value, expected)
}

// Hosts implements store.HostLister.
func (h *holder) Hosts(ctx context.Context) ([]store.Host, error) {
	if h.storeCut.Load() {
		return nil, store.ErrUnavailable
	}
	return h.fleet.store.Hosts(ctx)
}

// slotStore makes a holder a store.Store.
type slotStore struct {
	*memstore.Store
	*holder
}

func (s slotStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	return s.holder.List(ctx, prefix)
}

func (s slotStore) Get(ctx context.Context, key string) (store.Object, error) {
	return s.holder.Get(ctx, key)
}

func (s slotStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return s.holder.Put(ctx, key, value, expected)
}

// toggle starts a holder that is down and stops one that is up.
func (h *holder) toggle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots != nil {
		h.slots.Stop()
		h.slots = nil
		return
	}
	h.slots = NewSlots(Options{
		Store: slotStore{Store: h.fleet.store, holder: h}, Lister: h, Address: h.address, Witnesses: h,
		Count: func() int { return fleetSlots }, Log: zerolog.Nop(),
	})
	h.slots.Start()
}

func (h *holder) held() []Tenure {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		return nil
	}
	return h.slots.Held()
}

// check returns what is wrong, and counts the tenures begun in unusual ways.
func (f *slotFleet) check(seen map[string]bool) error {
	owners := make(map[int]string)
	for _, h := range f.holders {
		for _, tenure := range h.held() {
			if other := owners[tenure.Index]; other != "" {
				return fmt.Errorf("slot %d is held by %s and %s", tenure.Index, other, h.address)
			}
			owners[tenure.Index] = h.address
			f.count(h, tenure, seen)
		}
	}
	return nil
}

func (f *slotFleet) count(h *holder, tenure Tenure, seen map[string]bool) {
	name := fmt.Sprint(tenure.Index, tenure.Epoch)
	if seen[name] {
		return
	}
	seen[name] = true
	objects, _, err := f.store.List(context.Background(), slotPrefix)
	if err != nil {
		f.resumed++
		return
	}
	for _, object := range objects {
		record, _ := parse(object)
		if record.Index == tenure.Index && record.Epoch < tenure.Epoch {
			f.resumed++
		}
	}
	if h.slotsReclaimed() {
		f.reclaimed++
	}
}

// slotsReclaimed reports whether the holder has more slots than are its own.
func (h *holder) slotsReclaimed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		return false
	}
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	return len(h.slots.dropped) > 0
}

// disturb changes one thing at random.
func (f *slotFleet) disturb() {
	h := f.holders[f.intN(fleetHolders)]
	witness := f.intN(fleetWitness)
	switch f.intN(8) {
	case 0:
		f.store.SetFaults(memstore.Faults{Down: f.intN(2) == 0, LoseAnswers: f.intN(2)})
	case 1, 2:
		h.toggle()
	case 3:
		h.storeCut.Store(f.intN(2) == 0)
	case 4:
		f.mu.Lock()
		f.witnesses[witness] = NewWitness()
		f.mu.Unlock()
	case 5, 6:
		cut := f.intN(3) == 0
		f.mu.Lock()
		f.cut[h.address+fmt.Sprint(witness)] = cut
		f.mu.Unlock()
	case 7:
		// All routers restart at once.
		for _, each := range f.holders {
			each.toggle()
			each.toggle()
		}
	}
}

// list tells the platform's list of hosts which ones run.
func (f *slotFleet) list() {
	var hosts []store.Host
	for _, h := range f.holders {
		h.mu.Lock()
		if h.slots != nil {
			hosts = append(hosts, store.Host{Address: h.address})
		}
		h.mu.Unlock()
	}
	f.store.SetHosts(hosts)
}

func (f *slotFleet) run() error {
	seen := make(map[string]bool)
	for _, h := range f.holders {
		h.toggle()
	}
	for range randomSteps {
		// The list lags by as much as one step.
		until := time.Now().Add(time.Duration(1+f.intN(30)) * time.Second)
		listAt := time.Now().Add(time.Duration(f.intN(10)) * time.Second)
		listed := false
		for time.Now().Before(until) {
			if !listed && time.Now().After(listAt) {
				f.list()
				listed = true
			}
			time.Sleep(checkInterval)
			if err := f.check(seen); err != nil {
				return err
			}
		}
		f.disturb()
	}
	return nil
}

func (f *slotFleet) stop() {
	for _, h := range f.holders {
		if h.held(); h.slots != nil {
			h.toggle()
		}
	}
}

// TestRandomisedSlotsHaveOneHolder restarts holders and witnesses, cuts links,
// and takes the store away, for all and for single holders.
func TestRandomisedSlotsHaveOneHolder(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv("GREENGAGE_SOAK"))
	began := time.Now()
	resumed, reclaimed := 0, 0
	for run := uint64(0); run < randomRuns || time.Since(began) < soak; run++ {
		synctest.Test(t, func(t *testing.T) {
			f := newSlotFleet(*seed + run)
			err := f.run()
			f.stop()
			if err != nil {
				t.Fatalf("seed %d: %v", *seed+run, err)
			}
			resumed += f.resumed
			reclaimed += f.reclaimed
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d tenures resumed without the store, %d reclaimed", resumed, reclaimed)
	if resumed == 0 || reclaimed == 0 {
		t.Error("the runs exercised nothing")
	}
}
