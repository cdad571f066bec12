package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/settings"
)

// An upstream that vanished in an outage of the store may have left for good. The test
// fails if the retention is neither 0 nor at least 200 ms below the drain bound, exceeds
// 2.5 s (live upstreams are listed again within relistTime), or is under 1 s for the
// default bound.
func TestUnlistedUpstreamsAreGivenUpBeforeTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		b := Bounds{Drain: drain}
		retention := b.unlistedRetention()
		if retention < 0 || retention > 0 && retention > drain-200*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is retained for %v, want 0 or a positive time at least 200 ms below the bound", drain, retention)
		}
		if retention > 2500*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is retained for %v, although live upstreams are listed again earlier", drain, retention)
		}
	}
	if retention := (&Bounds{Drain: 2 * time.Second}).unlistedRetention(); retention < time.Second {
		t.Errorf("unlisted upstream is retained for %v, want at least 1s", retention)
	}
}

// renderTemplate fills in the template of a gateway's settings file as the platform does. A
// section whose parameter is absent is left out.
func renderTemplate(t *testing.T, parameters map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/gateway.ini")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node_name": "g", "zone": "z", "region": "r", "ip": "127.0.0.1", "internal_ports.0": "1", "internal_ports.1": "2",
		"platform.address": "127.0.0.1:3", "listen.front": "127.0.0.1:4", "listen.ready": "127.0.0.1:5", "limits.memory_mb": "500", "policies": `["base","drain"]`,
	}
	for name, value := range parameters {
		values["parameters."+name] = value
	}
	var lines []string
	skipped := ""
	for line := range strings.Lines(string(template)) {
		name, isBegin := strings.CutPrefix(strings.TrimSpace(line), "{{#")
		_, isKnown := values[strings.TrimSuffix(name, "}}")]
		switch {
		case isBegin && skipped == "" && !isKnown:
			skipped = strings.TrimSuffix(name, "}}")
		case strings.TrimSpace(line) == "{{/"+skipped+"}}":
			skipped = ""
		case skipped == "" && !isBegin && !strings.HasPrefix(line, "{{/"):
			lines = append(lines, line)
		}
	}
	text := strings.Join(lines, "")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		t.Fatalf("placeholders are left:\n%s", text)
	}
	return text
}

// loadTemplate reads the settings file that the platform renders.
func loadTemplate(t *testing.T, parameters map[string]string) (*GatewaySettings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "gateway.ini")
	if err := os.WriteFile(file, []byte(renderTemplate(t, parameters)), 0o600); err != nil {
		t.Fatal(err)
	}
	s := NewGatewaySettings()
	var log struct {
		Level  string `ini:"level"`
		Output string `ini:"output"`
	}
	return s, settings.Load(file, append(s.Sections(), settings.Section{Name: "log", Target: &log})...)
}

// Guards against rollouts that are followed where the operator sets no bounds for them, and
// against a gateway that doesn't start because the operator sets only some.
func TestTemplateEnablesRollouts(t *testing.T) {
	if text := renderTemplate(t, nil); strings.Contains(text, "[rollout]") {
		t.Errorf("the section is rendered without parameters:\n%s", text)
	}
	for _, test := range []struct {
		parameters map[string]string
		enabled    bool
		want       Rollout
	}{
		{nil, false, Rollout{Rollback: 5 * time.Second}},
		{map[string]string{"drain_ms": "2000"}, false, Rollout{Rollback: 5 * time.Second}},
		{map[string]string{"rollback_ms": "3000"}, false, Rollout{Rollback: 3 * time.Second}},
		{map[string]string{"expose_share": "0.1"}, true, Rollout{ExposureShare: 0.1, Rollback: 5 * time.Second}},
		{
			map[string]string{"expose_share": "0.1", "expose_slack": "50", "rollback_ms": "4000"},
			true,
			Rollout{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 4 * time.Second},
		},
	} {
		s, err := loadTemplate(t, test.parameters)
		if err != nil || s.Rollout != test.want || s.Rollout.Enabled() != test.enabled {
			t.Errorf("parameters %v: %+v, enabled %v (error %v), want %+v", test.parameters, s.Rollout, s.Rollout.Enabled(), err, test.want)
		}
	}
	for _, parameters := range []map[string]string{
		{"expose_share": "1.5"},
		{"expose_share": "-0.1"},
		{"expose_share": "NaN"},
		{"expose_slack": "-1"},
		{"expose_share": "0.1", "rollback_ms": "0"},
	} {
		if s, err := loadTemplate(t, parameters); err == nil {
			t.Errorf("parameters %v were accepted: %+v", parameters, s.Rollout)
		}
	}
}
