package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testSection is the target of TestLoad.
type testSection struct {
	Listen string        `ini:"listen,required"`
	Wait   time.Duration `ini:"wait"`
	Seeds  []string      `ini:"seeds"`
	Limit  int           `ini:"limit"`
}

func (s *testSection) Validate() (string, error) {
	if s.Limit < 1 {
		return "limit", errors.New("must be at least 1")
	}
	return "", nil
}

// Guards against settings that are silently ignored or misread: a misspelled key
// or section, a duration without a unit, a missing required key, or a value that
// validation rejects.
func TestLoad(t *testing.T) {
	tests := []struct {
		name, text, wantKey, wantReason string
	}{
		{"valid", "[a]\nlisten = 127.0.0.1:1\nwait = 2s\nseeds = x, y\n", "", ""},
		{"unknown key", "[a]\nlisten = x\nlisen = y\n", "lisen", "unknown key"},
		{"unknown section", "[a]\nlisten = x\n[b]\nc = 1\n", "", "unknown section"},
		{"bad unit", "[a]\nlisten = x\nwait = 2\n", "wait", "duration with a unit"},
		{"missing value", "[a]\nwait = 2s\n", "listen", "missing value"},
		{"not a number", "[a]\nlisten = x\nlimit = many\n", "limit", "whole number"},
		{"out of range", "[a]\nlisten = x\nlimit = 0\n", "limit", "at least 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.ini")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got := testSection{Limit: 5}
			err := Load(file, Section{"a", &got})
			if test.wantReason == "" {
				if err != nil || got.Wait != 2*time.Second || len(got.Seeds) != 2 || got.Limit != 5 {
					t.Fatalf("loaded %+v with error %v", got, err)
				}
				return
			}
			var settingsError *Error
			if !errors.As(err, &settingsError) {
				t.Fatalf("got error %v, want *Error", err)
			}
			if settingsError.Key != test.wantKey || !strings.Contains(settingsError.Reason, test.wantReason) {
				t.Fatalf("got error %+v", settingsError)
			}
		})
	}
}
