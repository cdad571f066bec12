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
	randomRuns     = 16
	randomSteps    = 150
	fleetSlots     = 2
	fleetHolders   = 3
	fleetWitnesses = 5
	checkInterval  = 250 * time.Millisecond
)

var errLinkCut = errors.New("cut")

// slotFleet is a set of holders and witnesses that share one store.
type slotFleet struct {
	store   *memstore.Store
	holders []*simulatedHost

	mu        sync.Mutex
	rng       *rand.Rand
	witnesses []*Witness
	cutLinks  map[string]bool
	// resumed counts the tenures that were resumed without the store, reclaimed those
	// that began while their holder saw another holder missing from the host list.
	resumed, reclaimed int
}

// simulatedHost is a host that may hold slots. slots is nil while its process is stopped.
type simulatedHost struct {
	fleet            *slotFleet
	address          string
	storeUnreachable atomic.Bool

	mu    sync.Mutex
	slots *Slots
}

func newSlotFleet(seed uint64) *slotFleet {
	f := &slotFleet{store: memstore.New(), rng: rand.New(rand.NewPCG(seed, 0)), cutLinks: make(map[string]bool)}
	for range fleetWitnesses {
		f.witnesses = append(f.witnesses, NewWitness())
	}
	for i := range fleetHolders {
		f.holders = append(f.holders, &simulatedHost{fleet: f, address: fmt.Sprintf("10.0.0.%d:7600", i+1)})
	}
	return f
}

func (f *slotFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// Addresses implements WitnessClient.
func (h *simulatedHost) Addresses() []string {
	var addresses []string
	for i := range fleetWitnesses {
		addresses = append(addresses, fmt.Sprint(i))
	}
	return addresses
}

// Query implements WitnessClient. It delays requests and replies by up to 300 ms each,
// so that some replies arrive after witnessTimeout.
func (h *simulatedHost) Query(ctx context.Context, address string, request WitnessRequest) (WitnessReply, error) {
	f := h.fleet
	time.Sleep(time.Duration(f.intN(300)) * time.Millisecond)
	f.mu.Lock()
	cut := f.cutLinks[h.address+address]
	witness := f.witnesses[address[0]-'0']
	f.mu.Unlock()
	if cut {
		return WitnessReply{}, errLinkCut
	}
	reply := witness.Handle(request)
	time.Sleep(time.Duration(f.intN(300)) * time.Millisecond)
	return reply, ctx.Err()
}

// List implements store.Store.
func (h *simulatedHost) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if h.storeUnreachable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return h.fleet.store.List(ctx, prefix)
}

// Get implements store.Store.
func (h *simulatedHost) Get(ctx context.Context, key string) (store.Object, error) {
	if h.storeUnreachable.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return h.fleet.store.Get(ctx, key)
}

// Put implements store.Store.
func (h *simulatedHost) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if h.storeUnreachable.Load() {
		return 0, store.ErrUnavailable
	}
	return h.fleet.store.Put(ctx, key, value, expected)
}

// Hosts implements store.HostLister.
func (h *simulatedHost) Hosts(ctx context.Context) ([]store.Host, error) {
	if h.storeUnreachable.Load() {
		return nil, store.ErrUnavailable
	}
	return h.fleet.store.Hosts(ctx)
}

// slotStore is the shared store as one holder reaches it.
type slotStore struct {
	*memstore.Store
	*simulatedHost
}

func (s slotStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	return s.simulatedHost.List(ctx, prefix)
}

func (s slotStore) Get(ctx context.Context, key string) (store.Object, error) {
	return s.simulatedHost.Get(ctx, key)
}

func (s slotStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return s.simulatedHost.Put(ctx, key, value, expected)
}

// startOrStop starts a holder that is stopped and stops one that runs.
func (h *simulatedHost) startOrStop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots != nil {
		h.slots.Stop()
		h.slots = nil
		return
	}
	h.slots = NewSlots(SlotsOptions{
		Store: slotStore{Store: h.fleet.store, simulatedHost: h}, Lister: h, Address: h.address, Witnesses: h,
		Count: func() int { return fleetSlots }, Log: zerolog.Nop(),
	})
	h.slots.Start()
}

func (h *simulatedHost) held() []Tenure {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		return nil
	}
	return h.slots.Held()
}

// checkHolders returns an error if a slot has two holders. It counts the resumed and
// reclaimed tenures that are not in seen, and adds them to it.
func (f *slotFleet) checkHolders(seen map[string]bool) error {
	holders := make(map[int]string)
	for _, h := range f.holders {
		for _, tenure := range h.held() {
			if other := holders[tenure.Index]; other != "" {
				return fmt.Errorf("slot %d is held by %s and %s", tenure.Index, other, h.address)
			}
			holders[tenure.Index] = h.address
			f.countTenure(h, tenure, seen)
		}
	}
	return nil
}

func (f *slotFleet) countTenure(h *simulatedHost, tenure Tenure, seen map[string]bool) {
	key := fmt.Sprint(tenure.Index, tenure.Epoch)
	if seen[key] {
		return
	}
	seen[key] = true
	objects, _, err := f.store.List(context.Background(), slotPrefix)
	if err != nil {
		f.resumed++
		return
	}
	for _, object := range objects {
		record, _ := parseRecord(object)
		if record.Index == tenure.Index && record.Epoch < tenure.Epoch {
			f.resumed++
		}
	}
	if h.hasUnlistedHolder() {
		f.reclaimed++
	}
}

// hasUnlistedHolder reports whether the holder sees another slot holder whose host
// is missing from the host list.
func (h *simulatedHost) hasUnlistedHolder() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		return false
	}
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	return len(h.slots.unlistedSince) > 0
}

// injectFault starts or ends one fault, chosen at random.
func (f *slotFleet) injectFault() {
	h := f.holders[f.intN(fleetHolders)]
	witness := f.intN(fleetWitnesses)
	switch f.intN(8) {
	case 0:
		f.store.SetFaults(memstore.Faults{Down: f.intN(2) == 0, LoseAnswers: f.intN(2)})
	case 1, 2:
		h.startOrStop()
	case 3:
		h.storeUnreachable.Store(f.intN(2) == 0)
	case 4:
		f.mu.Lock()
		f.witnesses[witness] = NewWitness()
		f.mu.Unlock()
	case 5, 6:
		cut := f.intN(3) == 0
		f.mu.Lock()
		f.cutLinks[h.address+fmt.Sprint(witness)] = cut
		f.mu.Unlock()
	case 7:
		// All holders restart one right after the other.
		for _, restarting := range f.holders {
			restarting.startOrStop()
			restarting.startOrStop()
		}
	}
}

// updateHostList sets the platform's list of hosts to those that run.
func (f *slotFleet) updateHostList() {
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
		h.startOrStop()
	}
	for range randomSteps {
		// The host list is updated up to 10 s into the step, or not at all if the step ends
		// before that.
		until := time.Now().Add(time.Duration(1+f.intN(30)) * time.Second)
		listAt := time.Now().Add(time.Duration(f.intN(10)) * time.Second)
		listed := false
		for time.Now().Before(until) {
			if !listed && time.Now().After(listAt) {
				f.updateHostList()
				listed = true
			}
			time.Sleep(checkInterval)
			if err := f.checkHolders(seen); err != nil {
				return err
			}
		}
		f.injectFault()
	}
	return nil
}

func (f *slotFleet) stop() {
	for _, h := range f.holders {
		if h.held(); h.slots != nil {
			h.startOrStop()
		}
	}
}

// TestRandomisedSlotsHaveOneHolder guards against two holders of one slot. It
// restarts holders and witnesses, cuts links between them, and makes the store
// unreachable for all or single holders, in random order.
func TestRandomisedSlotsHaveOneHolder(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv("GREENGAGE_SOAK"))
	startedAt := time.Now()
	resumed, reclaimed := 0, 0
	for run := uint64(0); run < randomRuns || time.Since(startedAt) < soak; run++ {
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
		t.Error("the runs resumed or reclaimed no tenure, so they did not test it")
	}
}
