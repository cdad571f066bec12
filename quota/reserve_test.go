package quota

import (
	"testing"
	"time"
)

// newTestBackupStore returns a backup store and a pointer to its current time.
func newTestBackupStore() (*backupStore, *time.Time) {
	now := time.Now()
	readNow := func() time.Time { return now }
	clock := &instantClock{incarnation: 7, start: now, now: readNow}
	return newBackupStore(&Options{Now: readNow}, clock), &now
}

// newTestReserve returns an update of one customer's reserve in a slot epoch.
func newTestReserve(store *backupStore, seq, epoch uint64, level float64) *ShareBackup {
	return &ShareBackup{
		Holder: "m0", Seq: seq, Slots: []SlotEpoch{{Index: 0, Epoch: epoch}},
		Shares: []ShareState{{Customer: 1, Level: level}},
		Until:  store.clock.instant(store.now().Add(reserveTerm)),
	}
}

// newTestRestoreRequest returns a request for the reserve of the epoch before
// the given one.
func newTestRestoreRequest(epoch uint64) *Request {
	return &Request{Kind: KindRestore, ShareBackup: &ShareBackup{Holder: "m0", Slots: []SlotEpoch{{Index: 0, Epoch: epoch}}}}
}

// TestReserveIsHandedOutOnce guards against lending reserved tokens twice. It
// requests a reserve for the wrong epoch, then for the right one, and again
// after a late update. An old update that arrives again must not replace a
// newer one.
func TestReserveIsHandedOutOnce(t *testing.T) {
	s, _ := newTestBackupStore()
	first := newTestReserve(s, 1, 4, 900)
	s.updateReserve(first)
	s.updateReserve(newTestReserve(s, 2, 4, 500))
	s.updateReserve(first)
	if got := s.take(newTestRestoreRequest(4)).ShareBackup; got != nil {
		t.Fatal("the reserve was handed out to the epoch that recorded it")
	}
	got := s.take(newTestRestoreRequest(5)).ShareBackup
	if got == nil || len(got.Shares) != 1 || got.Shares[0].Level != 500 {
		t.Fatalf("the next epoch was given %+v, want the 500 tokens of the last update", got)
	}
	s.updateReserve(newTestReserve(s, 3, 4, 900))
	if second := s.take(newTestRestoreRequest(5)).ShareBackup; second != nil {
		t.Errorf("reserve handed out twice: %+v", second)
	}
}

// TestReserveIsDroppedAfterTerm guards against handing out tokens that the
// holder may have lent since its reserve ended. It requests the reserve at the
// end of the term, after an update without a term arrived too late.
func TestReserveIsDroppedAfterTerm(t *testing.T) {
	s, now := newTestBackupStore()
	s.updateReserve(newTestReserve(s, 1, 4, 900))
	*now = now.Add(reserveTerm)
	late := newTestReserve(s, 2, 4, 800)
	late.Slots, late.Until = nil, Instant{}
	if len(s.updateReserve(late).TokenReplies) > 0 {
		t.Error("an update without a term was accepted after the end of the term")
	}
	if got := s.take(newTestRestoreRequest(5)).ShareBackup; got != nil {
		t.Errorf("reserve handed out after the end of its term: %+v", got)
	}
}

// TestReservedTokensAreNotLent guards against lending tokens that the reserve
// peer may still hand out. A lower reserve applies only once the peer has
// confirmed it, and no reserve is left after the peer has restarted.
func TestReservedTokensAreNotLent(t *testing.T) {
	now := time.Now()
	s := &share{limit: Limit{Rate: 10, Burst: 1000}, level: 1000, advancedAt: now, reserved: 700, confirmed: 700}
	l := &lender{now: func() time.Time { return now }, shares: map[CustomerID]*share{1: s}}
	l.reservePeer = reservePeer{clockAnchor: clockAnchor{at: now, reading: Instant{Incarnation: 7}}, validUntil: now.Add(time.Second)}
	update := &ShareBackup{Shares: []ShareState{{Customer: 1, Level: 100}}}
	l.applyUpdateReply(update, nil)
	if got := l.reservedTokens(s, now); got != 700 {
		t.Fatalf("%.0f tokens reserved after an update without a reply, want 700", got)
	}
	if got := s.lend(now, 1, &TokenRequest{Seq: 1, Want: 500}, time.Time{}, time.Second, 700).Granted; got != 100 {
		t.Errorf("%d tokens lent of 800 lendable with 700 reserved, want 100", got)
	}
	l.applyUpdateReply(update, &Reply{TokenReplies: []TokenReply{{}}})
	if got := l.reservedTokens(s, now); got != 100 {
		t.Errorf("%.0f tokens reserved after the peer's reply, want 100", got)
	}
	l.applyUpdateReply(update, &Reply{Clock: Instant{Incarnation: 8}})
	if got := l.reservedTokens(s, now); got != 0 {
		t.Errorf("%.0f tokens reserved after the peer restarted, want 0", got)
	}
}
