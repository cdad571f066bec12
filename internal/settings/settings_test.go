package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type sample struct {
	Listen string        `ini:"listen,required"`
	Wait   time.Duration `ini:"wait"`
	Seeds  []string      `ini:"seeds"`
	Limit  int           `ini:"limit"`
}

func (s *sample) Validate() (string, error) {
	if s.Limit < 1 {
		return "limit", errors.New("must be at least 1")
	}
	return "", nil
}

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
			got := sample{Limit: 5}
			err := Load(file, Section{"a", &got})
			if test.wantReason == "" {
				if err != nil || got.Wait != 2*time.Second || len(got.Seeds) != 2 || got.Limit != 5 {
					t.Fatalf("got %+v, %v", got, err)
				}
				return
			}
			var mistake *Error
			if !errors.As(err, &mistake) {
				t.Fatalf("got %v, want *Error", err)
			}
			if mistake.Key != test.wantKey || !strings.Contains(mistake.Reason, test.wantReason) {
				t.Fatalf("got %+v", mistake)
			}
		})
	}
}
