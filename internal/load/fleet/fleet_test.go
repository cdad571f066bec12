package fleet

import (
	"os"
	"testing"

	"github.com/greengagegate/greengagegate/internal/app"
	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/settings"
	"github.com/greengagegate/greengagegate/internal/standin/host"
)

func testOptions(t *testing.T, s scenario.Scenario) Options {
	t.Helper()
	plan := scenario.NewPlan(s, scenario.PlanOptions{Seed: 1, Measured: scenario.SurgeEnd})
	return Options{
		Scenario: s, Policy: "prefix", Import: true, Rates: plan.Rates, Bursts: plan.Bursts, Seed: 1,
		WorkDir: t.TempDir(), Net: 77, PrefillRate: DefaultPrefillRate, DecodeBase: DefaultDecodeBase,
	}
}

// A process that rejects its settings file or the published objects makes each run
// fail at its start. Guards against settings and objects that no longer match what the
// programs accept.
func TestSettingsAndObjectsAreValid(t *testing.T) {
	for _, s := range scenario.All() {
		o := testOptions(t, s)
		log := daemon.Log{Level: "info"}
		logSection := settings.Section{Name: "log", Target: &log}
		for _, c := range []struct {
			name, text string
			sections   []settings.Section
		}{
			{"router", o.routerSettings(o.routerInstance(0)), app.NewRouterSettings().Sections()},
			{"agent", o.agentSettings(o.engineInstance(0), "engine"), app.NewAgentSettings().Sections()},
			{"service", o.agentSettings(o.serviceInstance(0), "service"), app.NewAgentSettings().Sections()},
			{"standin", o.standinSettings(), host.Defaults().Sections()},
		} {
			path, err := o.writeSettings(c.name, c.text)
			if err != nil {
				t.Fatal(err)
			}
			if err := settings.Load(path, append(c.sections, logSection)...); err != nil {
				t.Errorf("%s: %v", s.Name, err)
			}
		}
		checkObjects(t, o)
	}
}

// checkObjects checks that the published objects are valid and include all upstreams.
func checkObjects(t *testing.T, o Options) {
	t.Helper()
	path, err := o.writeDocuments("fleet", o.configDocuments())
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	documents, parseMistakes := object.Parse(path, text)
	set, checkMistakes := object.Check(1, documents)
	for _, mistake := range append(parseMistakes, checkMistakes...) {
		t.Errorf("%s: %v", o.Scenario.Name, mistake)
	}
	if set == nil || len(set.Upstreams) != o.Scenario.Engines+o.Scenario.Services {
		t.Errorf("%s: published objects lack upstreams: %+v", o.Scenario.Name, set)
	}
}

// The ports are the same for all processes of a kind, so that two processes with the
// same IP address could not both listen.
func TestProcessesHaveDistinctAddresses(t *testing.T) {
	for _, s := range scenario.All() {
		routers, engines, services := testOptions(t, s).instances()
		nameByIP := make(map[string]string)
		for _, group := range [][]instance{routers, engines, services} {
			for _, p := range group {
				if other, taken := nameByIP[p.ip]; taken {
					t.Errorf("%s: %s and %s have the same IP address %s", s.Name, p.name, other, p.ip)
				}
				nameByIP[p.ip] = p.name
			}
		}
	}
}
