package enginerate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// A model that does not follow the mix of prompts sends requests to engines whose few waiting
// requests are long ones. It must converge within a second of 100 responses a second.
func TestWaitModelLearnsWaitPerRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var model WaitModel
	now := bootclock.Instant(time.Hour)
	observe := func(perRunning, perWaiting float64) {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			running, waiting := 5+random.IntN(20), random.IntN(10)
			wait := (perRunning*float64(running) + perWaiting*float64(waiting)) * (0.5 + random.Float64())
			model.Observe(running, waiting, time.Duration(wait*float64(time.Millisecond)), now)
		}
	}
	observe(4, 50)
	if wait, want := model.WaitMS(10, 5), 290.0; wait < 0.8*want || wait > 1.2*want {
		t.Errorf("wait after a second is %.0f ms, want %.0f within a fifth", wait, want)
	}
	for range 10 {
		observe(1, 120)
	}
	if wait, want := model.WaitMS(10, 5), 610.0; wait < 0.8*want || wait > 1.2*want {
		t.Errorf("wait after the mix has changed is %.0f ms, want %.0f within a fifth", wait, want)
	}
}

// Waits that do not depend on the numbers must not make either coefficient negative, which
// would make busy engines look better than idle ones.
func TestWaitModelNeverPrefersBusyEngines(t *testing.T) {
	var model WaitModel
	now := bootclock.Instant(time.Hour)
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		model.Observe(20-i%10, i%10, time.Duration(20-i%10)*time.Millisecond, now)
		if idle, busy := model.WaitMS(1, 0), model.WaitMS(1, 5); busy < idle {
			t.Fatalf("five more waiting requests lower the wait from %.1f to %.1f ms", idle, busy)
		}
	}
}
