package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const testStaleAfter = 10 * time.Second

// newTestEvidence returns evidence about revision 1, the demo configuration.
func newTestEvidence(t *testing.T) (*evidence, *configuration) {
	t.Helper()
	c, err := newConfiguration(&configuration{}, demoSnapshot(t))
	if err != nil {
		t.Fatal(err)
	}
	e := newEvidence()
	e.reset(c)
	return e, c
}

// Guards against serving on stale evidence from the store. The age in a peer's reply
// counts from when the request was sent, so the round trip must add to it, and
// evidence must expire StaleAfter later.
func TestStoreEvidenceAges(t *testing.T) {
	tests := []struct {
		name string
		// roundTrip is the time between the request and the handling of the reply.
		roundTrip time.Duration
		ageMs     uint64
		want      bool
	}{
		{"no age and no round trip", 0, 0, true},
		{"age just below the limit", 0, 9_999, true},
		{"age at the limit", 0, 10_000, false},
		{"long round trip", 30 * time.Second, 0, false},
		{"sum of age and round trip above the limit", 6 * time.Second, 5_000, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEvidence(t)
				time.Sleep(time.Hour)
				requestedAt := e.now()
				time.Sleep(test.roundTrip)
				e.merge(&wirepb.ConfigEvidence{StoreAgeMsPlus1: test.ageMs + 1}, requestedAt, 1)
				if got := e.isFresh(); got != test.want {
					t.Fatalf("isFresh returned %t", got)
				}
				time.Sleep(testStaleAfter)
				if e.isFresh() {
					t.Fatal("evidence is still fresh after StaleAfter")
				}
			})
		})
	}
}

// messageWithAges returns a message about five witnesses. The first count of them made
// a statement of the given age, the others made none.
func messageWithAges(count int, age byte) *wirepb.ConfigEvidence {
	message := &wirepb.ConfigEvidence{WitnessAges: []byte{ageUnknown, ageUnknown, ageUnknown, ageUnknown, ageUnknown}}
	for i := range count {
		message.WitnessAges[i] = age
	}
	return message
}

// Guards against taking a revision for the newest without recent statements about that
// revision by a majority of the witnesses.
func TestFreshnessNeedsAMajorityOfWitnesses(t *testing.T) {
	tests := []struct {
		name     string
		message  *wirepb.ConfigEvidence
		revision uint64
		want     bool
	}{
		{"two of five", messageWithAges(2, 0), 1, false},
		{"three of five", messageWithAges(3, 0), 1, true},
		{"three that are stale", messageWithAges(3, ageSteps), 1, false},
		{"about another revision", messageWithAges(5, 0), 2, false},
		{"ages of another number of witnesses", &wirepb.ConfigEvidence{WitnessAges: []byte{0, 0, 0}}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEvidence(t)
				time.Sleep(time.Hour)
				e.merge(test.message, e.now(), test.revision)
				if got := e.isFresh(); got != test.want {
					t.Fatalf("isFresh returned %t", got)
				}
			})
		})
	}
}

// Guards against a witness stating that a revision is the newest when it can't know:
// right after its start, without a read of the store since then, or while an announced
// publication is unresolved.
func TestWitnessStatementConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newTestEvidence(t)
		own := c.witnesses[0]
		makesStatement := func() bool {
			e.recordOwnStatement(own)
			return e.encode(1).WitnessAges[0] == 0
		}
		e.recordStoreTime(e.now())
		if makesStatement() {
			t.Fatal("a statement right after the start")
		}
		time.Sleep(time.Hour)
		if makesStatement() {
			t.Fatal("a statement without a read of the store since the start")
		}
		e.recordStoreTime(e.now())
		if !makesStatement() {
			t.Fatal("no statement")
		}
		if e.addAnnouncement(2, "n") {
			t.Fatal("the witness confirmed an announcement on top of another revision")
		}
		if !e.addAnnouncement(1, "n") {
			t.Fatal("the witness did not confirm an announcement")
		}
		time.Sleep(time.Second)
		if makesStatement() {
			t.Fatal("a statement while a publication is unresolved")
		}
		e.removeAnnouncement("n")
		if !makesStatement() {
			t.Fatal("no statement after the publication was abandoned")
		}
		e.recordOwnStatement("10.9.9.9:1")
		if got := len(e.encode(1).WitnessAges); got != len(c.witnesses) {
			t.Fatalf("the message has ages of %d witnesses", got)
		}
		e.reset(c)
		if e.encode(1).WitnessAges[0] != ageUnknown {
			t.Fatal("a statement about the previous revision was kept")
		}
	})
}

// Guards against losing the evidence of a majority when the revision changes, and
// against passing on statements about the previous revision as ones about the next.
// The evidence stays valid for the next revision and continues to age.
func TestMajorityEvidenceOutlivesItsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newTestEvidence(t)
		time.Sleep(time.Hour)
		e.merge(messageWithAges(3, 0), e.now(), 1)
		time.Sleep(testStaleAfter / 2)
		next, err := newConfiguration(c, c.snapshot.Apply(2, nil))
		if err != nil {
			t.Fatal(err)
		}
		e.reset(next)
		e.merge(messageWithAges(2, 0), e.now(), 2)
		if !e.isFresh() || e.age() != testStaleAfter/2 || !e.needsRefresh() {
			t.Fatalf("fresh %t, age %s, needs refresh %t right after the change", e.isFresh(), e.age(), e.needsRefresh())
		}
		for i, age := range e.encode(2).WitnessAges[2:] {
			if age != ageUnknown {
				t.Errorf("the message has a statement of witness %d about a revision that it may not have", i+2)
			}
		}
		time.Sleep(testStaleAfter / 2)
		if e.isFresh() {
			t.Fatal("statements of two of five witnesses keep the next revision fresh")
		}
	})
}
