package app

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/settings"
)

// keysOf returns the INI keys of the fields of a section's target.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("ini"), ","); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

// Fails if a section or key is added to the settings of routers or agents but not to
// docs/SETTINGS.md.
func TestEverySettingIsDocumented(t *testing.T) {
	document, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := append(NewRouterSettings().Sections(), NewAgentSettings().Sections()...)
	for _, section := range sections {
		if !strings.Contains(string(document), "`["+section.Name+"]`") {
			t.Errorf("section [%s] is not documented", section.Name)
		}
		for _, key := range keysOf(reflect.TypeOf(section.Target).Elem()) {
			if !strings.Contains(string(document), "`"+key+"`") {
				t.Errorf("section [%s], key %q is not documented", section.Name, key)
			}
		}
	}
}

// Fails if a change of the settings makes an example file of a router or an agent
// invalid.
func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/demo/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no example settings: %v", err)
	}
	type logSection struct {
		Level string `ini:"level"`
	}
	for _, file := range files {
		var sections []settings.Section
		switch name := filepath.Base(file); {
		case strings.HasPrefix(name, "router"):
			sections = NewRouterSettings().Sections()
		case strings.HasPrefix(name, "agent"):
			sections = NewAgentSettings().Sections()
		default:
			continue
		}
		sections = append(sections, settings.Section{Name: "log", Target: new(logSection)})
		if err := settings.Load(file, sections...); err != nil {
			t.Error(err)
		}
	}
}

// Fails if the error for an invalid setting does not name the file and the key.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	valid, err := os.ReadFile("../../examples/demo/router-a.ini")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, replacement, wantKey string }{
		{"host name for a peer", "listen = 127.0.1.1:7600", "listen = localhost:7600", "listen"},
		{"short membership key", "key = demo-membership-key-change-me", "key = short", "key"},
		{"unknown policy", "policy = prefix", "policy = best", "policy"},
		{"negative threads", "[callers]", "[runtime]\nthreads = -1\n[callers]", "threads"},
		{"timeout below drain delay", "timeout = 60s", "timeout = 1s", "timeout"},
		{"unknown key", "zone_delay = 3ms", "zone_dealy = 3ms", "zone_dealy"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "router.ini")
			text := strings.Replace(string(valid), test.old, test.replacement, 1)
			if text == string(valid) {
				t.Fatal("the example does not contain the text to replace")
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := settings.Load(file, NewRouterSettings().Sections()...)
			settingsError, ok := err.(*settings.Error)
			if !ok || settingsError.Key != test.wantKey || settingsError.File != file {
				t.Fatalf("Load returned the wrong error: %v", err)
			}
		})
	}
}
