package catalog

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/store"
)

// listedOrder is an order as the store lists it at a second.
type listedOrder struct {
	second  int
	target  string // empty if no order is listed
	era     int64
	created int64
	state   RolloutState
}

func (l *listedOrder) apply(c *Catalog, start bootclock.Instant) {
	var list []*Rollout
	if l.target != "" {
		list = append(list, &Rollout{Pool: "p", Target: l.target, Version: store.MakeVersion(l.era, 500), Created: l.created, State: l.state})
	}
	c.SetRollouts(list, start.Add(time.Duration(l.second)*time.Second))
}

// Guards against a final state or the time of the order that is lost when the store is
// restored, and against those of an earlier order that are applied to a new one.
func TestRolloutsKeepWhatIsKnown(t *testing.T) {
	start := bootclock.Instant(1_000_000_000_000)
	tests := []struct {
		name      string
		lists     []listedOrder
		state     RolloutState
		knownFrom int
	}{
		{"status of the same order", []listedOrder{{0, "v2", 1, 5, RolloutNew}, {3, "v2", 1, 5, RolloutRunning}}, RolloutRunning, 0},
		{"final state is not overwritten", []listedOrder{{0, "v2", 1, 5, RolloutRolledBack}, {3, "v2", 1, 5, RolloutRunning}}, RolloutRolledBack, 0},
		{"stored final state wins", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {3, "v2", 2, 5, RolloutRolledBack}}, RolloutRolledBack, 0},
		{"given again", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {3, "v2", 1, 9, RolloutNew}}, RolloutNew, 3},
		{"deleted and given again", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {1, "", 1, 0, 0}, {3, "v2", 1, 9, RolloutNew}}, RolloutNew, 3},
		{"target changed in place", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {3, "v3", 1, 5, RolloutNew}}, RolloutNew, 3},
		{"earlier target again in place", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {1, "v3", 1, 5, RolloutNew}, {3, "v2", 1, 5, RolloutNew}}, RolloutNew, 3},
		{"restored copy lacks the status", []listedOrder{{0, "v2", 1, 5, RolloutRolledBack}, {3, "v2", 2, 5, RolloutRunning}}, RolloutRolledBack, 0},
		{"restored copy lacks the order", []listedOrder{{0, "v2", 1, 5, RolloutRolledBack}, {1, "", 2, 0, 0}, {3, "v2", 2, 9, RolloutNew}}, RolloutRolledBack, 0},
		{"restored copy has an earlier target", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {1, "v1", 2, 5, RolloutCompleted}, {3, "v2", 2, 5, RolloutNew}}, RolloutCompleted, 0},
		{"given long after a restore", []listedOrder{{0, "v2", 1, 5, RolloutCompleted}, {1, "", 2, 0, 0}, {62, "v2", 2, 9, RolloutNew}}, RolloutNew, 62},
	}
	for _, test := range tests {
		c := New()
		for i := range test.lists {
			test.lists[i].apply(c, start)
		}
		last := test.lists[len(test.lists)-1]
		got := c.Rollouts()["p"]
		if got == nil || got.Target != last.target || got.State != test.state || got.Stored != last.state {
			t.Errorf("%s: %+v, want state %v", test.name, got, test.state)
			continue
		}
		if want := start.Add(time.Duration(test.knownFrom) * time.Second); got.KnownSince != want {
			t.Errorf("%s: known since %v, want second %d", test.name, got.KnownSince.Sub(start), test.knownFrom)
		}
	}
}

// Guards against goroutines that are woken by each reading of an unchanged list, and against
// a missing list that looks like an empty one.
func TestSetRolloutsNotifiesOfChanges(t *testing.T) {
	c := New()
	if c.Rollouts() != nil {
		t.Error("rollouts are known before the first list")
	}
	lists := []struct {
		list   []*Rollout
		change bool
	}{
		{nil, true},
		{nil, false},
		{[]*Rollout{{Pool: "p", Target: "v2", Created: 5}}, true},
		{[]*Rollout{{Pool: "p", Target: "v2", Created: 5}}, false},
		{[]*Rollout{{Pool: "p", Target: "v2", Created: 5, State: RolloutRunning}}, true},
		{nil, true},
	}
	for i, step := range lists {
		changed := c.Changed()
		c.SetRollouts(step.list, bootclock.Instant(i+1))
		notified := false
		select {
		case <-changed:
			notified = true
		default:
		}
		if notified != step.change || c.Rollouts() == nil {
			t.Errorf("step %d: notified %v, want %v", i, notified, step.change)
		}
	}
}
