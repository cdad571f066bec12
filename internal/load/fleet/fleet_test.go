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
	plan := scenario.NewPlan(s, scenario.PlanOptions{Seed: 1, Measured: scenario.SurgeUntil})
	return Options{
		Scenario: s, Policy: "prefix", Import: true, Rates: plan.Rates, Bursts: plan.Bursts, Seed: 1,
		WorkDir: t.TempDir(), Net: 77, PrefillRate: DefaultPrefillRate, DecodeBase: DefaultDecodeBase,
	}
}

// The programs accept what the load tool writes for them.
func TestSettingsAndObjectsAreValid(t *testing.T) {
	for _, s := range scenario.All() {
		o := testOptions(t, s)
		log := daemon.Log{Level: "info"}
		logSection := settings.Section{Name: "log", Target: &log}
		for _, c := range []struct {
			name, text string
			sections   []settings.Section
		}{
			{"router", o.routerSettings(o.router(0)), app.NewRouterSettings().Sections()},
			{"agent", o.agentSettings(o.engine(0), "engine"), app.NewAgentSettings().Sections()},
			{"service", o.agentSettings(o.service(0), "service"), app.NewAgentSettings().Sections()},
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

func checkObjects(t *testing.T, o Options) {
	t.Helper()
	path, err := o.writeDocuments("fleet", o.documents())
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	documents, mistakes := object.Parse(path, text)
	set, wrong := object.Check(1, documents)
	for _, mistake := range append(mistakes, wrong...) {
		t.Errorf("%s: %v", o.Scenario.Name, mistake)
	}
	if set == nil || len(set.Upstreams) != o.Scenario.Engines+o.Scenario.Services {
		t.Errorf("%s: set %+v", o.Scenario.Name, set)
	}
}

func TestProcessesHaveAddressesOfTheirOwn(t *testing.T) {
	for _, s := range scenario.All() {
		routers, engines, services := testOptions(t, s).places()
		known := make(map[string]string)
		for _, group := range [][]place{routers, engines, services} {
			for _, p := range group {
				if other, taken := known[p.ip]; taken {
					t.Errorf("%s: %s and %s share %s", s.Name, p.name, other, p.ip)
				}
				known[p.ip] = p.name
			}
		}
	}
}
