package outage

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// at returns the instant some milliseconds after the begin of a test.
func at(millis int64) bootclock.Instant {
	return bootclock.Instant(time.Hour).Add(time.Duration(millis) * time.Millisecond)
}

// Load pattern: outages that lose a poll. Each case lists what a gateway learns of its calls, in
// order, and the last poll that may be lost.
func TestPollsBeforeTheEndOfAnOutageMayBeLost(t *testing.T) {
	answered := func(millis int64) func(*Tracker) { return func(t *Tracker) { t.RecordAnswer(at(millis)) } }
	failed := func(millis int64) func(*Tracker) { return func(t *Tracker) { t.RecordFailure(at(millis)) } }
	for name, test := range map[string]struct {
		learns []func(*Tracker)
		// lostBefore is the time before which polls may be lost; 0 for none.
		lostBefore int64
	}{
		"no call failed":                     {[]func(*Tracker){answered(100), answered(1100)}, 0},
		"still in the outage":                {[]func(*Tracker){answered(100), failed(1100), failed(1900)}, 0},
		"outage over":                        {[]func(*Tracker){answered(100), failed(1100), failed(1900), answered(2700)}, 2700},
		"answered before":                    {[]func(*Tracker){failed(1100), answered(1000)}, 0},
		"failure known after a later answer": {[]func(*Tracker){answered(1500), failed(1100)}, 1500},
		"answers after the end":              {[]func(*Tracker){failed(1100), answered(2700), answered(3700)}, 2700},
		"late failure of the same outage":    {[]func(*Tracker){failed(1100), answered(2700), failed(2000), answered(3700)}, 2700},
		"two outages":                        {[]func(*Tracker){failed(1100), answered(2700), failed(5000), answered(6000)}, 6000},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			for _, learn := range test.learns {
				learn(&tracker)
			}
			if lost, _ := tracker.MayBeLost(at(test.lostBefore - 1)); lost != (test.lostBefore > 0) {
				t.Errorf("a poll sent before %d ms may be lost: %v", test.lostBefore, lost)
			}
			if lost, _ := tracker.MayBeLost(at(test.lostBefore)); lost {
				t.Errorf("a poll sent at %d ms may be lost, want none from then on", test.lostBefore)
			}
		})
	}
}

// An open poll learns of the end of an outage.
func TestEndOfOutageWakesOpenPolls(t *testing.T) {
	var tracker Tracker
	_, ended := tracker.MayBeLost(at(0))
	tracker.RecordFailure(at(100))
	select {
	case <-ended:
		t.Fatal("woken within the outage")
	default:
	}
	tracker.RecordAnswer(at(200))
	select {
	case <-ended:
	default:
		t.Fatal("not woken at the end of the outage")
	}
	if calls := tracker.Calls(); calls != (Calls{AnsweredAt: at(200), FailedAt: at(100)}) {
		t.Errorf("calls %+v", calls)
	}
}
