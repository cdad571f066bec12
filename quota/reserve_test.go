package quota

import (
	"testing"
	"time"
)

// newKeeperClock returns a custody and the time that it sees.
func newKeeperClock() (*custody, *time.Time) {
	now := time.Now()
	read := func() time.Time { return now }
	clock := &instantClock{life: 7, start: now, now: read}
	return newCustody(&Options{Now: read}, clock), &now
}

// noteOf is a note of one customer's reserve in a tenure.
func noteOf(c *custody, seq, epoch uint64, level float64) *ShareBackup {
	return &ShareBackup{
		Holder: "m0", Seq: seq, Slots: []SlotEpoch{{Index: 0, Epoch: epoch}},
		Shares: []ShareState{{Customer: 1, Level: level}},
		Until:  c.clock.instant(c.now().Add(reserveTerm)),
	}
}

func claimOf(epoch uint64) *Request {
	return &Request{Tier: TierRestore, ShareBackup: &ShareBackup{Holder: "m0", Slots: []SlotEpoch{{Index: 0, Epoch: epoch}}}}
}

// TestReserveIsHandedOutOnce claims with the wrong tenure, rightly, and again
// after an old note was repeated.
func TestReserveIsHandedOutOnce(t *testing.T) {
	c, _ := newKeeperClock()
	first := noteOf(c, 1, 4, 900)
	c.reserve(first)
	c.reserve(noteOf(c, 2, 4, 500))
	c.reserve(first)
	if got := c.claim(claimOf(4)).ShareBackup; got != nil {
		t.Fatal("the holder's own tenure was given its reserve")
	}
	got := c.claim(claimOf(5)).ShareBackup
	if got == nil || len(got.Shares) != 1 || got.Shares[0].Level != 500 {
		t.Fatalf("the next tenure was given %+v, want the last note's 500 tokens", got)
	}
	c.reserve(noteOf(c, 3, 4, 900))
	if again := c.claim(claimOf(5)).ShareBackup; again != nil {
		t.Errorf("a reserve was handed out twice: %+v", again)
	}
}

// TestReserveIsForgottenAtItsTerm claims a moment after the term, and after a
// note without a term that came too late.
func TestReserveIsForgottenAtItsTerm(t *testing.T) {
	c, now := newKeeperClock()
	c.reserve(noteOf(c, 1, 4, 900))
	*now = now.Add(reserveTerm)
	late := noteOf(c, 2, 4, 800)
	late.Slots, late.Until = nil, Instant{}
	if len(c.reserve(late).TokenReplies) > 0 {
		t.Error("a note without a term was taken after the term")
	}
	if got := c.claim(claimOf(5)).ShareBackup; got != nil {
		t.Errorf("%+v was handed out after its term", got)
	}
}

// TestReservedTokensAreNotLent lends from a share while a lower reserve is not
// confirmed, and after that.
func TestReservedTokensAreNotLent(t *testing.T) {
	now := time.Now()
	s := &share{limit: Limit{Rate: 10, Burst: 1000}, level: 1000, at: now, reserved: 700, noted: 700}
	l := &lender{now: func() time.Time { return now }, shares: map[CustomerID]*share{1: s}}
	l.keeper = keeper{anchor: anchor{at: now, peer: Instant{Incarnation: 7}}, boundUntil: now.Add(time.Second)}
	note := &ShareBackup{Shares: []ShareState{{Customer: 1, Level: 100}}}
	l.noted(note, nil)
	if got := l.reserved(s, now); got != 700 {
		t.Fatalf("%.0f reserved after a note without a reply, want 700", got)
	}
	if got := s.lend(now, 1, &TokenRequest{Seq: 1, Want: 500}, time.Time{}, time.Second, 700).Granted; got != 100 {
		t.Errorf("%d lent of 800 that may be lent with 700 reserved, want 100", got)
	}
	l.noted(note, &Reply{TokenReplies: []TokenReply{{}}})
	if got := l.reserved(s, now); got != 100 {
		t.Errorf("%.0f reserved after the keeper's answer, want 100", got)
	}
	l.noted(note, &Reply{Clock: Instant{Incarnation: 8}})
	if got := l.reserved(s, now); got != 0 {
		t.Errorf("%.0f reserved with a keeper that began a new life, want 0", got)
	}
}
