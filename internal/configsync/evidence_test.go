package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const testStaleAfter = 10 * time.Second

// newTestEvidence returns evidence about revision 1 of the demo's set.
func newTestEvidence(t *testing.T) (*evidence, *configuration) {
	t.Helper()
	c, err := configure(&configuration{}, demoSnapshot(t))
	if err != nil {
		t.Fatal(err)
	}
	e := newEvidence()
	e.reset(c)
	return e, c
}

func TestStoreEvidenceAges(t *testing.T) {
	tests := []struct {
		name string
		// wait is the time between the question and the answer.
		wait  time.Duration
		ageMs uint64
		want  bool
	}{
		{"a prompt answer", 0, 0, true},
		{"an old answer", 0, 9_999, true},
		{"a stale answer", 0, 10_000, false},
		{"an answer that was read after a pause", 30 * time.Second, 0, false},
		{"age and wait add up", 6 * time.Second, 5_000, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEvidence(t)
				time.Sleep(time.Hour)
				asked := e.now()
				time.Sleep(test.wait)
				e.merge(&wirepb.ConfigEvidence{StoreAgeMsPlus1: test.ageMs + 1}, asked, 1)
				if got := e.fresh(); got != test.want {
					t.Fatalf("fresh %t", got)
				}
				time.Sleep(testStaleAfter)
				if e.fresh() {
					t.Fatal("fresh after a pause")
				}
			})
		})
	}
}

// ages returns a message in which the given number of five witnesses have the age.
func ages(count int, age byte) *wirepb.ConfigEvidence {
	message := &wirepb.ConfigEvidence{WitnessAges: []byte{ageUnknown, ageUnknown, ageUnknown, ageUnknown, ageUnknown}}
	for i := range count {
		message.WitnessAges[i] = age
	}
	return message
}

func TestAgreementNeedsAMajority(t *testing.T) {
	tests := []struct {
		name     string
		message  *wirepb.ConfigEvidence
		revision uint64
		want     bool
	}{
		{"two of five", ages(2, 0), 1, false},
		{"three of five", ages(3, 0), 1, true},
		{"three that are old", ages(3, ageSteps), 1, false},
		{"about another revision", ages(5, 0), 2, false},
		{"of another length", &wirepb.ConfigEvidence{WitnessAges: []byte{0, 0, 0}}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newTestEvidence(t)
				time.Sleep(time.Hour)
				e.merge(test.message, e.now(), test.revision)
				if got := e.fresh(); got != test.want {
					t.Fatalf("fresh %t", got)
				}
			})
		})
	}
}

func TestWitnessStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newTestEvidence(t)
		own := c.witnesses[0]
		states := func() bool {
			e.state(own)
			return e.message(1).WitnessAges[0] == 0
		}
		e.sawStore(e.now())
		if states() {
			t.Fatal("a statement right after the start")
		}
		time.Sleep(time.Hour)
		if states() {
			t.Fatal("a statement without evidence from the store since the start")
		}
		e.sawStore(e.now())
		if !states() {
			t.Fatal("no statement")
		}
		if e.prepare(2, "n") {
			t.Fatal("an announcement on another revision was confirmed")
		}
		if !e.prepare(1, "n") {
			t.Fatal("an announcement was not confirmed")
		}
		time.Sleep(time.Second)
		if states() {
			t.Fatal("a statement while a publication is under way")
		}
		e.abandon("n")
		if !states() {
			t.Fatal("no statement after the publication was abandoned")
		}
		e.state("10.9.9.9:1")
		if got := len(e.message(1).WitnessAges); got != len(c.witnesses) {
			t.Fatalf("%d ages", got)
		}
		e.reset(c)
		if e.message(1).WitnessAges[0] != ageUnknown {
			t.Fatal("a statement about a former revision was kept")
		}
	})
}

// What a majority has stated of a revision holds for a later one, too: it ages on
// as before, and the statements themselves are not passed on as ones about the later.
func TestAgreementOutlivesItsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newTestEvidence(t)
		time.Sleep(time.Hour)
		e.merge(ages(3, 0), e.now(), 1)
		time.Sleep(testStaleAfter / 2)
		next, err := configure(c, c.snapshot.Apply(2, nil))
		if err != nil {
			t.Fatal(err)
		}
		e.reset(next)
		e.merge(ages(2, 0), e.now(), 2)
		if !e.fresh() || e.age() != testStaleAfter/2 || !e.old() {
			t.Fatalf("fresh %t, age %s, old %t right after the change", e.fresh(), e.age(), e.old())
		}
		for i, age := range e.message(2).WitnessAges[2:] {
			if age != ageUnknown {
				t.Errorf("witness %d states something about a revision that it may not know", i+2)
			}
		}
		time.Sleep(testStaleAfter / 2)
		if e.fresh() {
			t.Fatal("two of five witnesses keep the later revision fresh")
		}
	})
}
