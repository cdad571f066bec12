package quota

import (
	"testing"
	"time"
)

// newKeeperClock returns a custody and the time that it sees.
func newTestBackupStore() (*backupStore, *time.Time) {
	now := time.Now()
	read := func() time.Time { return now }
	clock := &instantClock{incarnation: 7, start: now, now: read}
	return newBackupStore(&Options{Now: read}, clock), &now
}

// noteOf is a note of one customer's reserve in a tenure.
func newTestReserve(s *backupStore, seq, epoch uint64, level float64) *ShareBackup {
	return &ShareBackup{
		Holder: "m0", Seq: seq, Slots: []SlotEpoch{{Index: 0, Epoch: epoch}},
		Shares: []ShareState{{Customer: 1, Level: level}},
		Until:  s.clock.instant(s.now().Add(reserveTerm)),
	}
}

func newTestRestoreRequest(epoch uint64) *Request {
	return &Request{Tier: TierRestore, ShareBackup: &ShareBackup{Holder: "m0", Slots: []SlotEpoch{{Index: 0, Epoch: epoch}}}}
}

// TestReserveIsHandedOutOnce claims with the wrong tenure, rightly, and again
// after an old note was repeated.
func TestReserveIsHandedOutOnce(t *testing.T) {
	s, _ := newTestBackupStore()
	first := newTestReserve(s, 1, 4, 900)
	s.updateReserve(first)
	s.updateReserve(newTestReserve(s, 2, 4, 500))
	s.updateReserve(first)
	if got := s.take(newTestRestoreRequest(4)).ShareBackup; got != nil {
		t.Fatal("the holder's own tenure was given its reserve")
	}
	got := s.take(newTestRestoreRequest(5)).ShareBackup
	if got == nil || len(got.Shares) != 1 || got.Shares[0].Level != 500 {
		t.Fatalf("the next tenure was given %+v, want the last note's 500 tokens", got)
	}
	s.updateReserve(newTestReserve(s, 3, 4, 900))
	if again := s.take(newTestRestoreRequest(5)).ShareBackup; again != nil {
		t.Errorf("a reserve was handed out twice: %+v", again)
	}
}

// TestReserveIsForgottenAtItsTerm claims a moment after the term, and after a
// note without a term that came too late.
func TestReserveIsDroppedAfterTerm(t *testing.T) {
	s, now := newTestBackupStore()
	s.updateReserve(newTestReserve(s, 1, 4, 900))
	*now = now.Add(reserveTerm)
	late := newTestReserve(s, 2, 4, 800)
	late.Slots, late.Until = nil, Instant{}
	if len(s.updateReserve(late).TokenReplies) > 0 {
		t.Error("a note without a term was taken after the term")
	}
	if got := s.take(newTestRestoreRequest(5)).ShareBackup; got != nil {
		t.Errorf("%+v was handed out after its term", got)
	}
}

// TestReservedTokensAreNotLent lends from a share while a lower reserve is not
// confirmed, and after that.
func TestReservedTokensAreNotLent(t *testing.T) {
	now := time.Now()
	s := &share{limit: Limit{Rate: 10, Burst: 1000}, level: 1000, advancedAt: now, reserved: 700, confirmed: 700}
	l := &lender{now: func() time.Time { return now }, shares: map[CustomerID]*share{1: s}}
	l.reservePeer = reservePeer{clockAnchor: clockAnchor{at: now, reading: Instant{Incarnation: 7}}, validUntil: now.Add(time.Second)}
	note := &ShareBackup{Shares: []ShareState{{Customer: 1, Level: 100}}}
	l.applyUpdateReply(note, nil)
	if got := l.reservedTokens(s, now); got != 700 {
		t.Fatalf("%.0f reserved after a note without a reply, want 700", got)
	}
	if got := s.lend(now, 1, &TokenRequest{Seq: 1, Want: 500}, time.Time{}, time.Second, 700).Granted; got != 100 {
		t.Errorf("%d lent of 800 that may be lent with 700 reserved, want 100", got)
	}
	l.applyUpdateReply(note, &Reply{TokenReplies: []TokenReply{{}}})
	if got := l.reservedTokens(s, now); got != 100 {
		t.Errorf("%.0f reserved after the keeper's answer, want 100", got)
	}
	l.applyUpdateReply(note, &Reply{Clock: Instant{Incarnation: 8}})
	if got := l.reservedTokens(s, now); got != 0 {
		t.Errorf("%.0f reserved with a keeper that began a new life, want 0", got)
	}
}
