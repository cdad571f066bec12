package host

import (
	"testing"

	"github.com/greengagegate/greengagegate/internal/settings"
)

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
		t.Fatalf("engines %v, services %v", s.Engines.Listen, s.Services.Listen)
	}
}
