package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// TestRepeatsOfASuspectRunOneAtATime guards against a suspect that runs
// twice at the same time, which could crash two upstreams. The second Admit must
// wait for the release of the first permit and then return the state that the
// content has after the first run.
func TestRepeatsOfASuspectRunOneAtATime(t *testing.T) {
	for name, crashes := range map[string]bool{"completes": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(Options{View: soleMemberView{}, Source: fixedSource{time.Minute}, Log: zerolog.Nop()})
				m.Suspect(7, 0)
				first, err := m.Admit(t.Context(), 7)
				if err != nil || first.State != StateSuspect {
					t.Fatalf("first Admit returned %+v, %v, want a suspect", first, err)
				}
				var second *Permit
				go func() {
					permit, _ := m.Admit(t.Context(), 7)
					second = &permit
				}()
				time.Sleep(time.Second)
				if second != nil {
					t.Fatal("a second run of the suspect was admitted during the first")
				}
				want := StateClear
				if crashes {
					m.Convict(7)
					want = StateConvicted
				} else {
					m.Clear(7)
				}
				first.Release()
				time.Sleep(permitPollInterval)
				synctest.Wait()
				if second == nil || second.State != want || (crashes && second.Remaining <= 0) {
					t.Fatalf("the second Admit returned %+v, want the state after the first run", second)
				}
			})
		})
	}
}

// TestPermitOfLostRunExpires guards against a content that may never run again
// because the router that held its permit stopped before it returned the permit.
func TestPermitOfLostRunExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := permitTable{holders: make(map[uint64]heldPermit)}
		if !permits.grant(7, 1) || permits.grant(7, 2) {
			t.Fatal("the permit is not held by exactly one run")
		}
		permits.release(7, 2)
		if permits.grant(7, 2) {
			t.Fatal("a run released the permit of another run")
		}
		time.Sleep(permitTTL + time.Second)
		if !permits.grant(7, 2) {
			t.Fatal("the permit of a lost run did not expire")
		}
	})
}

// TestLookupRecentIgnoresOldSuspicions guards against agents that refuse a content
// because of a suspicion that all routers have received and may have cleared.
func TestLookupRecentIgnoresOldSuspicions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{View: soleMemberView{}, Source: fixedSource{time.Minute}, Log: zerolog.Nop()})
		m.Suspect(7, 0)
		if state := m.LookupRecent(7).State; state != StateSuspect {
			t.Fatalf("state %d right after the suspicion, want suspect", state)
		}
		time.Sleep(2 * recentSuspicionAge)
		if state := m.LookupRecent(7).State; state != StateClear {
			t.Fatalf("state %d after twice recentSuspicionAge, want clear", state)
		}
	})
}
