package lease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

// environment is a store with a list of hosts, and the number of slots.
type environment struct {
	store *memstore.Store
	count int
}

func newEnvironment(count int, hosts ...string) *environment {
	e := &environment{store: memstore.New(), count: count}
	e.setHosts(hosts...)
	return e
}

func (e *environment) setHosts(hosts ...string) {
	var listed []store.Host
	for _, host := range hosts {
		listed = append(listed, store.Host{Address: host})
	}
	e.store.SetHosts(listed)
}

// startSlots starts a Slots on a host; options may change its options.
func (e *environment) startSlots(host string, options func(*SlotsOptions)) *Slots {
	slotOptions := SlotsOptions{
		Store: e.store, Lister: e.store, Address: host + ":7000", Log: zerolog.Nop(),
		Count: func() int { return e.count },
	}
	if options != nil {
		options(&slotOptions)
	}
	slots := NewSlots(slotOptions)
	slots.Start()
	return slots
}

// holdersByIndex returns the holder of each held slot by index. It fails the test if a
// slot has two holders.
func holdersByIndex(t *testing.T, all ...*Slots) map[int]*Slots {
	t.Helper()
	holders := make(map[int]*Slots)
	for _, s := range all {
		for _, tenure := range s.Held() {
			if holders[tenure.Index] != nil {
				t.Fatalf("slot %d has two holders", tenure.Index)
			}
			holders[tenure.Index] = s
		}
	}
	return holders
}

// TestSlotsHaveOneHolderAndFreeSlotsAreTakenLater guards against two holders of a slot,
// against a process that takes a second slot before DefaultExtraAfter has passed, and
// against a slot that stays free after that.
func TestSlotsHaveOneHolderAndFreeSlotsAreTakenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(4, "10.0.0.1", "10.0.0.2", "10.0.0.3")
		var all []*Slots
		for i := range 3 {
			all = append(all, env.startSlots(fmt.Sprintf("10.0.0.%d", i+1), nil))
		}
		time.Sleep(5 * time.Second)
		if got := len(holdersByIndex(t, all...)); got != 3 {
			t.Errorf("%d slots are held after 5 s, want 3, one per process", got)
		}
		time.Sleep(DefaultExtraAfter + 10*time.Second)
		if got := len(holdersByIndex(t, all...)); got != 4 {
			t.Errorf("%d slots are held, want all 4", got)
		}
		for _, slots := range all {
			slots.Stop()
		}
	})
}

// TestRestartKeepsTheSlotWithANewEpoch guards against a restarted process that loses its
// slot, or holds it with the old epoch or as an unused one. The reply to the first write
// after the restart is lost.
func TestRestartKeepsTheSlotWithANewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(1, "10.0.0.1")
		first := env.startSlots("10.0.0.1", nil)
		time.Sleep(time.Second)
		if held := first.Held(); len(held) != 1 || !held[0].Unused || held[0].Epoch != 1 {
			t.Fatalf("the first incarnation holds %+v, want one unused slot with epoch 1", held)
		}
		first.Stop()
		env.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		second := env.startSlots("10.0.0.1", nil)
		defer second.Stop()
		time.Sleep(5 * time.Second)
		if held := second.Held(); len(held) != 1 || held[0].Unused || held[0].Epoch != 2 {
			t.Fatalf("the second incarnation holds %+v after a lost reply, want one used slot with epoch 2", held)
		}
	})
}

// TestSlotIsReclaimedOnlyFromADroppedHost guards against taking the slot of a host that is
// listed or has been missing for less than DefaultReclaimAfter, and against never
// reclaiming it.
func TestSlotIsReclaimedOnlyFromADroppedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(1, "10.0.0.1", "10.0.0.2")
		holder := env.startSlots("10.0.0.1", nil)
		time.Sleep(time.Second)
		holder.Stop()
		successor := env.startSlots("10.0.0.2", nil)
		defer successor.Stop()
		time.Sleep(3 * DefaultReclaimAfter)
		if len(successor.Held()) != 0 {
			t.Fatal("the slot of a listed host was taken")
		}
		env.setHosts("10.0.0.2")
		time.Sleep(DefaultReclaimAfter / 2)
		if len(successor.Held()) != 0 {
			t.Fatal("the slot was taken before the host was missing for DefaultReclaimAfter")
		}
		time.Sleep(DefaultReclaimAfter)
		if held := successor.Held(); len(held) != 1 || held[0].Unused {
			t.Fatalf("the successor holds %+v, want one used slot", held)
		}
	})
}

// TestPausedHolderUsesNothingUntilTheStoreConfirms guards against a process that uses its
// slot after a long pause, in which others may have reclaimed the slot, before it has read
// the store again; and against a slot that stays unused after that read.
func TestPausedHolderUsesNothingUntilTheStoreConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(1, "10.0.0.1")
		var paused time.Duration
		holder := env.startSlots("10.0.0.1", func(o *SlotsOptions) {
			o.Now = func() time.Time { return time.Now().Add(paused) }
		})
		defer holder.Stop()
		time.Sleep(time.Second + 500*time.Millisecond)
		if len(holder.Held()) != 1 {
			t.Fatal("the slot was not taken")
		}
		env.store.SetFaults(memstore.Faults{Down: true})
		paused = DefaultReclaimAfter
		if len(holder.Held()) != 0 {
			t.Fatal("the slot is used after a long pause")
		}
		time.Sleep(time.Minute)
		if len(holder.Held()) != 0 {
			t.Fatal("the slot is used again while the store is still unavailable")
		}
		env.store.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		if len(holder.Held()) != 1 {
			t.Fatal("the slot is not used although the store has confirmed it")
		}
	})
}

// TestStoreOutageKeepsTenures guards against a tenure that ends because the store is
// unreachable for 10 minutes.
func TestStoreOutageKeepsTenures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(1, "10.0.0.1")
		holder := env.startSlots("10.0.0.1", nil)
		defer holder.Stop()
		time.Sleep(time.Second)
		env.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		if len(holder.Held()) != 1 {
			t.Fatal("an outage of the store ended the tenure")
		}
	})
}

// TestBuildClaimsIncludesOnlyOwnSettledSlots guards against a claim of a slot that another
// address holds by the witnesses' records, or that this address has reclaimed and not
// settled, and against a missing claim of an own slot.
func TestBuildClaimsIncludesOnlyOwnSettledSlots(t *testing.T) {
	const self, other = "10.0.0.1:7000", "10.0.0.2:7000"
	for _, c := range []struct {
		name          string
		known, latest Record
		pending       bool
		want          int
	}{
		{"own slot", Record{Address: self, Epoch: 1}, Record{Address: self, Epoch: 1}, false, 1},
		{"known as own from a claim without a majority, witnesses know another holder", Record{Address: self, Epoch: 9}, Record{Address: other, Epoch: 5}, false, 0},
		{"another's", Record{Address: self, Epoch: 1}, Record{Address: other, Epoch: 2}, false, 0},
		{"reclaimed by a previous incarnation", Record{}, Record{Address: self, Epoch: 4, PreviousHolder: other}, false, 0},
		{"reclaimed and not settled", Record{Address: self, Epoch: 4, PreviousHolder: other}, Record{Address: self, Epoch: 4}, false, 0},
		{"reclaim whose tenure has not begun", Record{Address: self, Epoch: 4}, Record{Address: self, Epoch: 4}, true, 0},
	} {
		s := NewSlots(SlotsOptions{Address: self})
		s.known[0] = c.known
		if c.pending {
			s.pendingReclaims[0] = false
		}
		claims := s.buildClaims(map[int]Record{0: c.latest})
		if len(claims) != c.want {
			t.Errorf("%s: %d claims, want %d", c.name, len(claims), c.want)
		}
		for _, claim := range claims {
			if claim.Address != self || claim.Incarnation != s.incarnation {
				t.Errorf("%s: the claim for %s does not name this address and incarnation", c.name, claim.Address)
			}
		}
	}
}
