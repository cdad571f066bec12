package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

const (
	eraTerm          = time.Second
	eraHandoverDelay = 3 * eraTerm / 2
	eraHolders       = 3
)

// eraFleet is a set of processes that compete for one lease on a store that is restored
// from older copies. One goroutine runs all of them; the clock moves only by advance.
type eraFleet struct {
	store  *memstore.Store
	now    time.Time
	leases []*Lease
	// inCall marks the processes that are in the middle of a call of Acquire.
	inCall []bool
	// interleave is called before and after each call to the store.
	interleave func()
	// newestToken is the highest fencing token that a process has got.
	newestToken int64
	// lastActed is when each process last acted, if it has. A process acts whenever it may.
	lastActed [eraHolders]time.Time
	violation string
}

func newEraFleet() *eraFleet {
	f := &eraFleet{store: memstore.New(), now: time.Unix(1000, 0), inCall: make([]bool, eraHolders), interleave: func() {}}
	f.store.Restore(0)
	for i := range eraHolders {
		f.leases = append(f.leases, f.newLease(i))
	}
	return f
}

// newLease returns the lease of a process that has just started.
func (f *eraFleet) newLease(i int) *Lease {
	return NewLease(LeaseOptions{
		Store: &processStore{fleet: f, store: f.store}, Key: "lease", Holder: fmt.Sprint("process-", i),
		Term: eraTerm, HandoverDelay: eraHandoverDelay, Now: func() time.Time { return f.now },
	})
}

// processStore is one process's driver of the store. It knows only the eras that its own
// responses have stated, and the store compares revisions regardless of their era.
type processStore struct {
	store.Store
	fleet *eraFleet
	store *memstore.Store
	eras  store.EraTracker
}

func (p *processStore) Era() int64 { return p.eras.Era() }

func (p *processStore) Get(ctx context.Context, key string) (store.Object, error) {
	p.fleet.interleave()
	object, err := p.store.Get(ctx, key)
	p.eras.Observe(p.store.Era())
	p.fleet.interleave()
	return object, err
}

func (p *processStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if expected != store.VersionAbsent && store.EraOf(expected) != p.eras.Era() {
		return 0, store.ErrConflict
	}
	sentIn := p.eras.Era()
	p.fleet.interleave()
	if expected != store.VersionAbsent {
		expected = store.MakeVersion(p.store.Era(), store.RevisionOf(expected))
	}
	version, err := p.store.Put(ctx, key, value, expected)
	if !errors.Is(err, store.ErrUnknownOutcome) {
		p.eras.Observe(p.store.Era())
	}
	p.fleet.interleave()
	if err == nil && store.EraOf(version) != sentIn {
		return 0, errors.Join(store.ErrUnknownOutcome, store.ErrEraEnded)
	}
	return version, err
}

// acquire lets a process acquire or renew the lease, unless it is already doing so.
func (f *eraFleet) acquire(i int) {
	if f.inCall[i] {
		return
	}
	f.inCall[i] = true
	token, err := f.leases[i].Acquire(context.Background())
	f.inCall[i] = false
	if err == nil && f.leases[i].Held() {
		if token <= f.newestToken {
			f.violation = fmt.Sprintf("process %d got token %d after token %d", i, token, f.newestToken)
		}
		f.newestToken = max(f.newestToken, token)
	}
	f.check()
}

// release lets a process give up the lease, unless it is in a call.
func (f *eraFleet) release(i int) {
	if f.inCall[i] {
		return
	}
	f.inCall[i] = true
	// Whether the record could be written must not matter.
	_ = f.leases[i].Release(context.Background())
	f.inCall[i] = false
	f.check()
}

// restart kills a process and starts it again, unless it is in a call.
func (f *eraFleet) restart(i int) {
	if !f.inCall[i] {
		f.leases[i] = f.newLease(i)
	}
}

func (f *eraFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.check()
}

// check lets the processes act that may. It records a violation if two processes hold the lease,
// or if two act within the handover delay.
func (f *eraFleet) check() {
	for i, l := range f.leases {
		if l.MayAct() {
			f.act(i)
		}
	}
	var holders []string
	for _, l := range f.leases {
		if l.Held() {
			holders = append(holders, l.options.Holder)
		}
	}
	if len(holders) > 1 {
		f.violation = "held by " + strings.Join(holders, " and ")
	}
}

func (f *eraFleet) act(i int) {
	for other, at := range f.lastActed {
		if other != i && !at.IsZero() && f.now.Sub(at) < eraHandoverDelay {
			f.violation = fmt.Sprintf("process %d acted %v after process %d", i, f.now.Sub(at), other)
		}
	}
	f.lastActed[i] = f.now
}

// eraAction is one step of a schedule.
type eraAction struct {
	name string
	do   func(f *eraFleet)
}

// eraActions are all steps of the exhaustive search.
var eraActions = []eraAction{
	{"acquire-0", func(f *eraFleet) { f.acquire(0) }},
	{"acquire-1", func(f *eraFleet) { f.acquire(1) }},
	{"acquire-2", func(f *eraFleet) { f.acquire(2) }},
	{"advance", func(f *eraFleet) { f.advance(eraTerm * 55 / 100) }},
	{"restore", func(f *eraFleet) { f.store.Restore(max(0, f.store.Revision()-1)) }},
	{"hold-write", func(f *eraFleet) { f.store.SetFaults(memstore.Faults{HoldWrites: 1}) }},
	{"execute-write", func(f *eraFleet) { f.store.ExecuteHeldWrites() }},
}

// handoverActions are all steps of the exhaustive search for holders that act too soon after each
// other.
var handoverActions = append([]eraAction{
	{"release-0", func(f *eraFleet) { f.release(0) }},
	{"release-1", func(f *eraFleet) { f.release(1) }},
	{"restart-1", func(f *eraFleet) { f.restart(1) }},
}, eraActions...)

// TestLeaseOverErasExhaustively runs every schedule of a bounded length of three
// processes, the clock, restores and late writes against the real lease. Process 0 holds
// the lease and acts at the start.
func TestLeaseOverErasExhaustively(t *testing.T) {
	length := 6
	if testing.Short() {
		length = 5
	}
	runSchedules(t, eraActions, length)
}

// TestHandoverExhaustively runs every schedule of a bounded length that also has restarts and
// planned stops.
func TestHandoverExhaustively(t *testing.T) { runSchedules(t, handoverActions, 5) }

// runSchedules runs every schedule of the given actions and length.
func runSchedules(t *testing.T, actions []eraAction, length int) {
	t.Helper()
	schedules := 1
	for range length {
		schedules *= len(actions)
	}
	for schedule := range schedules {
		f := newEraFleet()
		f.acquire(0)
		f.advance(2 * eraTerm)
		f.acquire(0)
		for range 4 {
			f.advance(eraTerm / 2)
			f.acquire(0)
		}
		if !f.leases[0].MayAct() {
			t.Fatal("process 0 does not act under the lease at the start")
		}
		var steps []string
		for rest, i := schedule, 0; i < length; i++ {
			action := actions[rest%len(actions)]
			rest /= len(actions)
			steps = append(steps, action.name)
			action.do(f)
		}
		if f.violation != "" {
			t.Fatalf("%s after %s", f.violation, strings.Join(steps, ", "))
		}
	}
}

// TestLeaseOverErasRandomly runs long random schedules in which restores, late writes and
// other processes interleave with each single call to the store. At the end, without
// faults, a process must be able to take the lease.
func TestLeaseOverErasRandomly(t *testing.T) {
	const (
		schedules = 400
		steps     = 300
	)
	for n := range uint64(schedules) {
		f := newEraFleet()
		random := rand.New(rand.NewPCG(*seed, n))
		depth := 0
		step := func() {
			switch random.IntN(14) {
			case 0:
				f.store.Restore(max(0, f.store.Revision()-int64(random.IntN(6))))
			case 1:
				f.store.SetFaults(memstore.Faults{HoldWrites: 1})
			case 2:
				f.store.SetFaults(memstore.Faults{LoseAnswers: 1})
			case 3:
				f.store.ExecuteHeldWrites()
			case 12:
				f.release(random.IntN(eraHolders))
			case 13:
				f.restart(random.IntN(eraHolders))
			case 4, 5, 6:
				f.advance(time.Duration(random.Int64N(int64(eraTerm) / 2)))
			default:
				f.acquire(random.IntN(eraHolders))
			}
		}
		f.interleave = func() {
			if depth < 2 && random.IntN(3) == 0 {
				depth++
				step()
				depth--
			}
		}
		for range steps {
			step()
			if f.violation != "" {
				t.Fatalf("schedule %d of seed %d: %s", n, *seed, f.violation)
			}
		}
		f.interleave = func() {}
		f.store.SetFaults(memstore.Faults{})
		f.store.ExecuteHeldWrites()
		held, acted := false, false
		for range 12 {
			f.advance(eraTerm / 2)
			f.acquire(0)
			held = held || f.leases[0].Held()
			acted = acted || f.leases[0].MayAct()
		}
		if !held || !acted {
			t.Fatalf("schedule %d of seed %d: the lease can't be taken after the faults, or its holder can't act", n, *seed)
		}
	}
}

// TestLeaseAfterRestoreNamesNoHolder guards against a new holder that takes the holder in
// an older copy for the last one.
func TestLeaseAfterRestoreNamesNoHolder(t *testing.T) {
	f := newEraFleet()
	f.acquire(0)
	f.advance(2 * eraTerm)
	f.acquire(0)
	f.store.Restore(f.store.Revision())
	f.acquire(1)
	f.advance(2 * eraTerm)
	f.acquire(1)
	if got := f.leases[1].Handover().Actor; !f.leases[1].Held() || got != UnknownHolder {
		t.Errorf("held %v after %q acted, want it held after an unknown holder", f.leases[1].Held(), got)
	}
}
