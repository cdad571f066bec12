package host

import (
	"testing"

	"github.com/greengagegate/greengagegate/internal/settings"
)

// TestDemoSettingsAreValid guards against demo settings that the stand-ins do not
// accept, for example after a key is renamed.
func TestDemoSettingsAreValid(t *testing.T) {
	s := Defaults()
	log := struct {
		Level string `ini:"level"`
	}{}
	sections := append([]settings.Section{{Name: "log", Target: &log}}, s.Sections()...)
	if err := settings.Load("../../../examples/demo/standin.ini", sections...); err != nil {
		t.Fatal(err)
	}
	if len(s.Engines.Listen) != 4 || len(s.Services.Listen) != 2 {
		t.Fatalf("engines at %v, services at %v, want 4 engines and 2 services", s.Engines.Listen, s.Services.Listen)
	}
}
