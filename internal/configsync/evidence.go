package configsync

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// ageSteps is the number of steps that StaleAfter is divided in when the
	// ages of witnesses' statements are sent.
	ageSteps = 64
	// ageUnknown stands for a witness without a recent statement.
	ageUnknown = 255
)

// abstention is how long after its start a witness makes no statement: an
// announcement that it has confirmed before and forgotten is superseded by then.
const abstention = fenceAfter + fenceCheckInterval

// never is the moment of evidence that does not exist.
const never = time.Duration(-1 << 62)

// evidence keeps the moments, on this process's monotonic clock, at which the
// revision in force was known to be the newest. Moments are durations since start.
type evidence struct {
	start time.Time
	// store is the latest moment at which the store's head was no newer.
	store atomic.Int64
	// agreement is the latest moment since which a majority of witnesses has
	// stated so, of the revision in force or of an earlier one.
	agreement atomic.Int64
	// renewed is the same for the revision in force alone.
	renewed    atomic.Int64
	staleAfter atomic.Int64

	mu sync.Mutex
	// revision is the one that the statements below are about.
	revision  uint64
	witnesses map[string]int
	stated    []time.Duration
	pending   map[string]time.Duration
}

func newEvidence() *evidence {
	e := &evidence{start: time.Now(), pending: make(map[string]time.Duration)}
	e.store.Store(int64(never))
	e.agreement.Store(int64(never))
	e.renewed.Store(int64(never))
	return e
}

// now returns the present moment.
func (e *evidence) now() time.Duration { return time.Since(e.start) }

// reset forgets the witnesses' statements, which were about the former revision.
// What the store has shown, and what a majority has agreed on, stays true of a
// later revision: the head was no newer than the former one at that moment.
func (e *evidence) reset(next *configuration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleAfter.Store(int64(next.set.Fleet.StaleAfter))
	e.revision = next.snapshot.Revision()
	e.witnesses = make(map[string]int, len(next.witnesses))
	e.stated = make([]time.Duration, len(next.witnesses))
	for i, address := range next.witnesses {
		e.witnesses[address] = i
		e.stated[i] = never
	}
	e.renewed.Store(int64(never))
	clear(e.pending)
}

// fresh reports whether evidence of either kind is younger than StaleAfter.
func (e *evidence) fresh() bool {
	latest := max(e.store.Load(), e.agreement.Load())
	return time.Duration(latest) > e.now()-time.Duration(e.staleAfter.Load())
}

// storeAge returns the age of the latest evidence from the store.
func (e *evidence) storeAge() time.Duration {
	return e.now() - time.Duration(e.store.Load())
}

// age returns the age of the latest evidence of either kind.
func (e *evidence) age() time.Duration {
	return e.now() - time.Duration(max(e.store.Load(), e.agreement.Load()))
}

// sawStore records that the store's head was no newer at some moment after asked.
func (e *evidence) sawStore(asked time.Duration) {
	for {
		known := e.store.Load()
		if int64(asked) <= known || e.store.CompareAndSwap(known, int64(asked)) {
			return
		}
	}
}

// prepare notes a publication under way on top of the revision in force: this
// process makes no further statement about that revision until the publication
// is resolved. It returns false when another revision is in force.
func (e *evidence) prepare(revision uint64, nonce string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision {
		return false
	}
	if _, ok := e.pending[nonce]; !ok {
		e.pending[nonce] = e.now()
	}
	return true
}

// abandon forgets a publication that its writer knows has not and will not take effect.
func (e *evidence) abandon(nonce string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, nonce)
}

// oldestPending returns the age of the oldest publication under way.
func (e *evidence) oldestPending() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var oldest time.Duration
	for _, since := range e.pending {
		oldest = max(oldest, e.now()-since)
	}
	return oldest, len(e.pending) > 0
}

// state makes this process's own statement, if it is a witness, no publication
// is under way, and the store has been heard of since the abstention was over.
func (e *evidence) state(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.witnesses[address]
	heard := time.Duration(e.store.Load())
	if !ok || len(e.pending) > 0 || heard < abstention {
		return
	}
	e.stated[i] = e.now()
	e.recount()
}

// recount finds the moment since which a majority of witnesses has made
// statements, unless an earlier revision's is later; e.mu is held.
func (e *evidence) recount() {
	if len(e.stated) == 0 {
		return
	}
	moments := append([]time.Duration(nil), e.stated...)
	sort.Slice(moments, func(i, j int) bool { return moments[i] > moments[j] })
	agreed := int64(moments[majority(len(moments))-1])
	e.renewed.Store(agreed)
	e.agreement.Store(max(e.agreement.Load(), agreed))
}

// old reports that evidence of both kinds is so old that it is worth asking more
// peers. What was agreed on of a former revision does not count: it cannot grow younger.
func (e *evidence) old() bool {
	latest := time.Duration(max(e.store.Load(), e.renewed.Load()))
	return e.now()-latest > time.Duration(e.staleAfter.Load())*2/3
}

// message returns the evidence for a reply that names the revision. Ages are rounded up.
func (e *evidence) message(revision uint64) *wirepb.ConfigEvidence {
	message := new(wirepb.ConfigEvidence)
	staleAfter := time.Duration(e.staleAfter.Load())
	age := e.storeAge()
	if age < staleAfter {
		message.StoreAgeMsPlus1 = uint64((age+time.Millisecond-1)/time.Millisecond) + 1
	}
	message.WitnessAges = e.witnessAges(revision, staleAfter)
	return message
}

func (e *evidence) witnessAges(revision uint64, staleAfter time.Duration) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision {
		return nil
	}
	step := staleAfter / ageSteps
	now := e.now()
	ages := make([]byte, len(e.stated))
	for i, moment := range e.stated {
		steps := (now - moment + step - 1) / step
		if moment == never || steps >= ageUnknown {
			steps = ageUnknown
		}
		ages[i] = byte(steps)
	}
	return ages
}

// merge takes over a peer's evidence from a reply to a question that was put at
// the moment asked. The peer's revision, given too, was no newer than the one in force.
func (e *evidence) merge(message *wirepb.ConfigEvidence, asked time.Duration, revision uint64) {
	if message == nil {
		return
	}
	if message.StoreAgeMsPlus1 > 0 {
		e.sawStore(asked - time.Duration(message.StoreAgeMsPlus1-1)*time.Millisecond)
	}
	if len(message.WitnessAges) > 0 {
		e.mergeWitnesses(message.WitnessAges, asked, revision)
	}
}

func (e *evidence) mergeWitnesses(ages []byte, asked time.Duration, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision || len(ages) != len(e.stated) {
		return
	}
	step := time.Duration(e.staleAfter.Load()) / ageSteps
	for i, age := range ages {
		if age != ageUnknown {
			e.stated[i] = max(e.stated[i], asked-time.Duration(age)*step)
		}
	}
	e.recount()
}
