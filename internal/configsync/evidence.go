package configsync

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// ageSteps is the resolution in which the ages of witness statements are sent:
	// one step is StaleAfter/ageSteps.
	ageSteps = 64
	// ageUnknown is sent for a witness that has made no recent statement.
	ageUnknown = 255
)

// witnessStartDelay is the time after its start during which a witness makes no
// statement. A witness that restarts no longer knows the announcements that it
// confirmed before. The delay is the longest time that another witness which still
// knows them waits before it supersedes them.
const witnessStartDelay = supersedeAfter + supersedeCheckInterval

// never is the time of evidence that does not exist.
const never = time.Duration(-1 << 62)

// evidence records when the current revision was last known to be the newest. There
// are two kinds of evidence: a read of the store's head, and statements by a
// majority of the witnesses. Times are durations since start on the monotonic clock
// of this process. It is safe for concurrent use.
type evidence struct {
	start time.Time
	// storeTime is the latest time at which the store's head was known to be no
	// newer than the current revision.
	storeTime atomic.Int64
	// majorityTime is the latest time for which this holds: each witness of some
	// majority stated at this time or later that the current revision, or an earlier
	// one, was the newest.
	majorityTime atomic.Int64
	// currentMajorityTime is majorityTime counted for the current revision only.
	currentMajorityTime atomic.Int64
	// staleAfter is Fleet.StaleAfter of the current configuration, in nanoseconds.
	staleAfter atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// revision is the current revision, which the statements are about.
	revision uint64
	// witnessIndex maps the address of a witness to its index in statementTimes.
	witnessIndex   map[string]int
	statementTimes []time.Duration
	// announcedAt maps the nonce of each unresolved announcement to the time at which
	// it was received. An announcement is resolved when a later revision is current or
	// the writer has abandoned its publication.
	announcedAt map[string]time.Duration
}

func newEvidence() *evidence {
	e := &evidence{start: time.Now(), announcedAt: make(map[string]time.Duration)}
	e.storeTime.Store(int64(never))
	e.majorityTime.Store(int64(never))
	e.currentMajorityTime.Store(int64(never))
	return e
}

// now returns the time since start.
func (e *evidence) now() time.Duration { return time.Since(e.start) }

// reset makes next the current configuration and discards the witnesses' statements
// and the announcements, which were about the previous revision. storeTime and
// majorityTime stay valid: at these times the newest revision was no higher than the
// previous one, and so no higher than the next.
func (e *evidence) reset(next *configuration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleAfter.Store(int64(next.set.Fleet.StaleAfter))
	e.revision = next.snapshot.Revision()
	e.witnessIndex = make(map[string]int, len(next.witnesses))
	e.statementTimes = make([]time.Duration, len(next.witnesses))
	for i, address := range next.witnesses {
		e.witnessIndex[address] = i
		e.statementTimes[i] = never
	}
	e.currentMajorityTime.Store(int64(never))
	clear(e.announcedAt)
}

// isFresh reports whether the latest evidence of either kind is younger than StaleAfter.
func (e *evidence) isFresh() bool {
	latest := max(e.storeTime.Load(), e.majorityTime.Load())
	return time.Duration(latest) > e.now()-time.Duration(e.staleAfter.Load())
}

// storeAge returns the age of the latest evidence from the store.
func (e *evidence) storeAge() time.Duration {
	return e.now() - time.Duration(e.storeTime.Load())
}

// age returns the age of the latest evidence of either kind.
func (e *evidence) age() time.Duration {
	return e.now() - time.Duration(max(e.storeTime.Load(), e.majorityTime.Load()))
}

// recordStoreTime records that this process or a peer read the store's head at some
// time after at, and that the head was no newer than the current revision.
func (e *evidence) recordStoreTime(at time.Duration) {
	for {
		previous := e.storeTime.Load()
		if int64(at) <= previous || e.storeTime.CompareAndSwap(previous, int64(at)) {
			return
		}
	}
}

// addAnnouncement records the announcement of a publication on top of the given revision.
// Until it is resolved, this process makes no further statement about that revision.
// addAnnouncement returns false when another revision is current.
func (e *evidence) addAnnouncement(revision uint64, nonce string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision {
		return false
	}
	if _, ok := e.announcedAt[nonce]; !ok {
		e.announcedAt[nonce] = e.now()
	}
	return true
}

// removeAnnouncement discards the announcement of a publication whose writer knows that
// it did not take effect and never will.
func (e *evidence) removeAnnouncement(nonce string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.announcedAt, nonce)
}

// oldestAnnouncementAge returns the age of the oldest unresolved announcement, and
// whether there is any.
func (e *evidence) oldestAnnouncementAge() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var oldest time.Duration
	for _, receivedAt := range e.announcedAt {
		oldest = max(oldest, e.now()-receivedAt)
	}
	return oldest, len(e.announcedAt) > 0
}

// recordOwnStatement records this process's own statement that the current revision
// is the newest. It does nothing unless the address is a witness's, no announcement
// is unresolved, and this process or a peer has read the store's head later than
// witnessStartDelay after the start of this process.
func (e *evidence) recordOwnStatement(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.witnessIndex[address]
	storeTime := time.Duration(e.storeTime.Load())
	if !ok || len(e.announcedAt) > 0 || storeTime < witnessStartDelay {
		return
	}
	e.statementTimes[i] = e.now()
	e.updateMajority()
}

// updateMajority recomputes currentMajorityTime from the statements, and raises
// majorityTime to it. It must be called with mu held.
func (e *evidence) updateMajority() {
	if len(e.statementTimes) == 0 {
		return
	}
	times := append([]time.Duration(nil), e.statementTimes...)
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	majorityTime := int64(times[majority(len(times))-1])
	e.currentMajorityTime.Store(majorityTime)
	e.majorityTime.Store(max(e.majorityTime.Load(), majorityTime))
}

// needsRefresh reports whether the evidence is older than 2/3 of StaleAfter, so that
// more peers should be asked. majorityTime is ignored: it may come from statements
// about an earlier revision, which no witness repeats.
func (e *evidence) needsRefresh() bool {
	latest := time.Duration(max(e.storeTime.Load(), e.currentMajorityTime.Load()))
	return e.now()-latest > time.Duration(e.staleAfter.Load())*2/3
}

// encode returns the evidence for a reply with the given revision. Ages are rounded
// up. Evidence from the store is left out when it is stale.
func (e *evidence) encode(revision uint64) *wirepb.ConfigEvidence {
	message := new(wirepb.ConfigEvidence)
	staleAfter := time.Duration(e.staleAfter.Load())
	age := e.storeAge()
	if age < staleAfter {
		message.StoreAgeMsPlus1 = uint64((age+time.Millisecond-1)/time.Millisecond) + 1
	}
	message.WitnessAges = e.witnessAges(revision, staleAfter)
	return message
}

// witnessAges returns the age of each witness's statement in steps, or nil when
// another revision is current.
func (e *evidence) witnessAges(revision uint64, staleAfter time.Duration) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision {
		return nil
	}
	step := staleAfter / ageSteps
	now := e.now()
	ages := make([]byte, len(e.statementTimes))
	for i, statedAt := range e.statementTimes {
		steps := (now - statedAt + step - 1) / step
		if statedAt == never || steps >= ageUnknown {
			steps = ageUnknown
		}
		ages[i] = byte(steps)
	}
	return ages
}

// merge merges the evidence in a peer's reply to a request that was sent at
// requestedAt. The peer's revision must be no higher than the current one. Ages are
// counted from requestedAt, since the peer sent the reply after that.
func (e *evidence) merge(message *wirepb.ConfigEvidence, requestedAt time.Duration, revision uint64) {
	if message == nil {
		return
	}
	if message.StoreAgeMsPlus1 > 0 {
		e.recordStoreTime(requestedAt - time.Duration(message.StoreAgeMsPlus1-1)*time.Millisecond)
	}
	if len(message.WitnessAges) > 0 {
		e.mergeWitnessAges(message.WitnessAges, requestedAt, revision)
	}
}

// mergeWitnessAges merges the ages of statements that a peer has received. Ages
// about another revision are ignored.
func (e *evidence) mergeWitnessAges(ages []byte, requestedAt time.Duration, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != e.revision || len(ages) != len(e.statementTimes) {
		return
	}
	step := time.Duration(e.staleAfter.Load()) / ageSteps
	for i, age := range ages {
		if age != ageUnknown {
			e.statementTimes[i] = max(e.statementTimes[i], requestedAt-time.Duration(age)*step)
		}
	}
	e.updateMajority()
}
