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

// site is a store and a list of hosts.
type site struct {
	store *memstore.Store
	count int
}

func newSite(count int, hosts ...string) *site {
	s := &site{store: memstore.New(), count: count}
	s.list(hosts...)
	return s
}

func (s *site) list(hosts ...string) {
	var listed []store.Host
	for _, host := range hosts {
		listed = append(listed, store.Host{Address: host})
	}
	s.store.SetHosts(listed)
}

func (s *site) boot(host string, options func(*Options)) *Slots {
	o := Options{
		Store: s.store, Lister: s.store, Address: host + ":7000", Log: zerolog.Nop(),
		Count: func() int { return s.count },
	}
	if options != nil {
		options(&o)
	}
	slots := NewSlots(o)
	slots.Start()
	return slots
}

// indexes returns the slots that are held, and fails when two hold the same.
func indexes(t *testing.T, all ...*Slots) map[int]*Slots {
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

func TestEachSlotHasOneHolderAndFreeOnesAreTakenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(4, "10.0.0.1", "10.0.0.2", "10.0.0.3")
		var all []*Slots
		for i := range 3 {
			all = append(all, s.boot(fmt.Sprintf("10.0.0.%d", i+1), nil))
		}
		time.Sleep(5 * time.Second)
		if got := len(indexes(t, all...)); got != 3 {
			t.Errorf("%d slots are held after 5 s, want one for each process", got)
		}
		time.Sleep(DefaultExtraAfter + 10*time.Second)
		if got := len(indexes(t, all...)); got != 4 {
			t.Errorf("%d slots are held, want all 4", got)
		}
		for _, slots := range all {
			slots.Stop()
		}
	})
}

func TestRestartKeepsTheSlotWithANewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, "10.0.0.1")
		first := s.boot("10.0.0.1", nil)
		time.Sleep(time.Second)
		if held := first.Held(); len(held) != 1 || !held[0].Unused || held[0].Epoch != 1 {
			t.Fatalf("first life holds %+v", held)
		}
		first.Stop()
		s.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		second := s.boot("10.0.0.1", nil)
		defer second.Stop()
		time.Sleep(5 * time.Second)
		if held := second.Held(); len(held) != 1 || held[0].Unused || held[0].Epoch != 2 {
			t.Fatalf("second life holds %+v after a lost answer", held)
		}
	})
}

func TestSlotIsReclaimedOnlyFromADroppedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, "10.0.0.1", "10.0.0.2")
		holder := s.boot("10.0.0.1", nil)
		time.Sleep(time.Second)
		holder.Stop()
		heir := s.boot("10.0.0.2", nil)
		defer heir.Stop()
		time.Sleep(3 * DefaultReclaimAfter)
		if len(heir.Held()) != 0 {
			t.Fatal("the slot of a listed host was taken")
		}
		s.list("10.0.0.2")
		time.Sleep(DefaultReclaimAfter / 2)
		if len(heir.Held()) != 0 {
			t.Fatal("the slot was taken too soon")
		}
		time.Sleep(DefaultReclaimAfter)
		if held := heir.Held(); len(held) != 1 || held[0].Unused {
			t.Fatalf("heir holds %+v", held)
		}
	})
}

func TestPausedHolderUsesNothingUntilTheStoreConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, "10.0.0.1")
		var paused time.Duration
		holder := s.boot("10.0.0.1", func(o *Options) {
			o.Now = func() time.Time { return time.Now().Add(paused) }
		})
		defer holder.Stop()
		time.Sleep(time.Second + 500*time.Millisecond)
		if len(holder.Held()) != 1 {
			t.Fatal("the slot was not taken")
		}
		s.store.SetFaults(memstore.Faults{Down: true})
		paused = DefaultReclaimAfter
		if len(holder.Held()) != 0 {
			t.Fatal("the slot is used after a long pause")
		}
		time.Sleep(time.Minute)
		if len(holder.Held()) != 0 {
			t.Fatal("the slot is used again before the store answered")
		}
		s.store.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		if len(holder.Held()) != 1 {
			t.Fatal("the slot is not used although the store confirms it")
		}
	})
}

func TestOutageEndsNoTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, "10.0.0.1")
		holder := s.boot("10.0.0.1", nil)
		defer holder.Stop()
		time.Sleep(time.Second)
		s.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		if len(holder.Held()) != 1 {
			t.Fatal("an outage of the store ended the tenure")
		}
	})
}

func TestClaimsOnlySettledSlotsOfItsOwn(t *testing.T) {
	const self, other = "10.0.0.1:7000", "10.0.0.2:7000"
	for _, c := range []struct {
		name          string
		known, latest Record
		pending       bool
		want          int
	}{
		{"its own", Record{Address: self, Epoch: 1}, Record{Address: self, Epoch: 1}, false, 1},
		{"its own by a lost claim, another's for the witnesses", Record{Address: self, Epoch: 9}, Record{Address: other, Epoch: 5}, false, 0},
		{"another's", Record{Address: self, Epoch: 1}, Record{Address: other, Epoch: 2}, false, 0},
		{"reclaimed by a former life", Record{}, Record{Address: self, Epoch: 4, PreviousHolder: other}, false, 0},
		{"reclaimed and not settled", Record{Address: self, Epoch: 4, PreviousHolder: other}, Record{Address: self, Epoch: 4}, false, 0},
		{"reclaimed and not begun", Record{Address: self, Epoch: 4}, Record{Address: self, Epoch: 4}, true, 0},
	} {
		s := NewSlots(Options{Address: self})
		s.known[0] = c.known
		if c.pending {
			s.reclaimed[0] = false
		}
		claims := s.claims(map[int]Record{0: c.latest})
		if len(claims) != c.want {
			t.Errorf("%s: %d claims, want %d", c.name, len(claims), c.want)
		}
		for _, claim := range claims {
			if claim.Address != self || claim.Incarnation != s.life {
				t.Errorf("%s: claim in the name of %s", c.name, claim.Address)
			}
		}
	}
}
