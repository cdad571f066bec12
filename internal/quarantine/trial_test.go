package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

func TestSuspectsRunOneAfterTheOther(t *testing.T) {
	for name, convicts := range map[string]bool{"completes": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(Options{View: alone{}, Source: fleet{time.Minute}, Log: zerolog.Nop()})
				m.Suspect(7, 0)
				first, err := m.Admit(t.Context(), 7)
				if err != nil || first.State != StateSuspect {
					t.Fatalf("got %+v, %v", first, err)
				}
				var second *Permit
				go func() {
					permit, _ := m.Admit(t.Context(), 7)
					second = &permit
				}()
				time.Sleep(time.Second)
				if second != nil {
					t.Fatal("two runs of a suspect at once")
				}
				want := StateClear
				if convicts {
					m.Convict(7)
					want = StateConvicted
				} else {
					m.Clear(7)
				}
				first.Release()
				time.Sleep(trialPoll)
				synctest.Wait()
				if second == nil || second.State != want || (convicts && second.Remaining <= 0) {
					t.Fatalf("the second run got %+v", second)
				}
			})
		})
	}
}

func TestTrialOfALostRunIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := trials{held: make(map[uint64]holding)}
		if !held.take(7, 1) || held.take(7, 2) {
			t.Fatal("a trial is not held by one run")
		}
		held.release(7, 2)
		if held.take(7, 2) {
			t.Fatal("another run gave the trial back")
		}
		time.Sleep(trialFor + time.Second)
		if !held.take(7, 2) {
			t.Fatal("the trial of a lost run is held for ever")
		}
	})
}

func TestSuspicionIsNewsForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{View: alone{}, Source: fleet{time.Minute}, Log: zerolog.Nop()})
		m.Suspect(7, 0)
		if state := m.Recent(7).State; state != StateSuspect {
			t.Fatalf("state %d at once", state)
		}
		time.Sleep(2 * recentFor)
		if state := m.Recent(7).State; state != StateClear {
			t.Fatalf("state %d after the news has spread", state)
		}
	})
}
