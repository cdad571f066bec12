package balancer

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Load pattern: engines prefill 38.7 tokens in a millisecond, and callers send twice what they
// can prefill. A gateway that assumes a rate of 130 sends work that waits several times longer
// than it expects, and so misses the objective. With learned rates it sends what is in time.
func TestSlowEnginesGetOnlyWorkThatMeetsTheObjective(t *testing.T) {
	const objective, warmUp = 1500 * time.Millisecond, 3 * time.Second
	// wantInTime is the part of the requests that must be in time in a surge.
	const wantInTime = 0.85
	inTime := func(gateways int, learn bool) (float64, int) {
		f := newFleetSimulation(gateways, 8)
		f.tokensPerMS, f.objective = 38.7, objective
		for _, balancer := range f.balancers {
			if learn {
				balancer.EnableLearnedRates()
			}
		}
		f.sendPrompts(100, 13*time.Second, func() int64 { return 1 })
		first := 0
		f.after(warmUp, func() { first = len(f.waits) })
		f.run()
		f.waits = f.waits[first:]
		return f.fractionWithin(objective), len(f.waits)
	}
	for _, gateways := range []int{1, 4, 12} {
		constant, constantSent := inTime(gateways, false)
		learned, learnedSent := inTime(gateways, true)
		t.Logf("%d gateways: %.3f of %d requests in time with the constant, %.3f of %d with learned rates", gateways, constant, constantSent, learned, learnedSent)
		if learned < wantInTime {
			t.Errorf("%d gateways: %.3f of the requests that were sent met the objective, want at least %.2f", gateways, learned, wantInTime)
		}
		if constant >= wantInTime {
			t.Errorf("%d gateways: %.3f met the objective with the constant, so that the replay shows no difference", gateways, constant)
		}
	}
}

// reportLoad makes an engine of the fleet report a load.
func (f *testFleet) reportLoad(engine int, inFlight int, slowness float64) bool {
	return f.balancer.ApplyLoad(f.upstreams[engine], catalog.Load{Reported: true, Running: inFlight, Slots: 48, Slowness: slowness})
}

// Deployments that do not ask for learned rates and whose engines report no slowness must be
// served as before, whatever load is reported. A reported slowness enables them for its pool.
func TestLoadHasNoEffectUnlessRatesAreLearned(t *testing.T) {
	f := newTestFleet(2)
	f.upstreams[1].Pool = "other"
	f.balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
	_, attempt := f.begin(t, testRequest("x"))
	f.now = f.now.Add(time.Second)
	f.reportLoad(0, 40, 0)
	attempt.RecordFirstResponse()
	for i := range f.upstreams {
		s := f.balancer.upstreams[f.upstreams[i].ID]
		if s.rate != nil || s.prefillTokensPerMS(f.now) != prefillTokensPerMS || s.reportedOthers(f.now) != 0 {
			t.Errorf("engine %d: rate %v, load of others %v, want the constant and none", i, s.prefillTokensPerMS(f.now), s.reportedOthers(f.now))
		}
	}
	if !f.reportLoad(0, 40, 2) || f.reportLoad(0, 40, 2) {
		t.Error("the first report of a slowness must enable learned rates, the second must not enable them again")
	}
	if f.balancer.upstreams["e00"].rate == nil || f.balancer.upstreams["e01"].rate != nil {
		t.Error("a reported slowness must enable learned rates for its own pool alone")
	}
}

// A fresh report of many requests must keep new ones away, and one of an idle engine must not
// attract them. A report that is too old or from another incarnation must not count.
func TestReportedLoadOnlyRaisesTheExpectedWait(t *testing.T) {
	f := newTestFleet(1)
	f.balancer.EnableLearnedRates()
	wait := func() float64 { return f.pick(t, testRequest("x")).ExpectedWaitMS }
	idle := wait()
	f.reportLoad(0, 40, 0)
	if loaded := wait(); loaded < idle+30 {
		t.Errorf("expected wait %.0f ms with 40 reported requests, %.0f ms without, want at least 30 ms more", loaded, idle)
	}
	f.now = f.now.Add(reportValidity)
	if stale := wait(); stale > idle+2 {
		t.Errorf("expected wait %.0f ms after the report became too old, want about %.0f", stale, idle)
	}
	restarted := *f.upstreams[0]
	restarted.StartedMillis++
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{&restarted}))
	f.reportLoad(0, 40, 0)
	if former := wait(); former > idle+2 {
		t.Errorf("expected wait %.0f ms after a report of the former incarnation, want about %.0f", former, idle)
	}
	f.upstreams[0] = &restarted
	f.balancer.SetGatewayCount(4)
	for range 8 {
		f.begin(t, testRequest("x"))
	}
	own := wait()
	f.reportLoad(0, 0, 0.1)
	if lied := wait(); lied < own-2 {
		t.Errorf("expected wait %.0f ms after a report of an idle engine, %.0f ms before, want no less", lied, own)
	}
}

// The first response to a request of the former incarnation must not count as a sample of the
// next one, which starts from the pool.
func TestRestartedEngineLosesItsRate(t *testing.T) {
	f := newTestFleet(1)
	f.balancer.EnableLearnedRates()
	sampleTaken := func() bool { return f.balancer.UpstreamStatuses()[0].Prefill.HasSample }
	_, attempt := f.begin(t, testRequest("x"))
	_, late := f.begin(t, testRequest("y"))
	f.now = f.now.Add(time.Second)
	if attempt.RecordFirstResponse(); !sampleTaken() {
		t.Fatal("no sample after a first response")
	}
	f.upstreams[0].StartedMillis++
	f.balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
	if late.RecordFirstResponse(); sampleTaken() {
		t.Error("a sample is left after the restart of the engine")
	}
}
