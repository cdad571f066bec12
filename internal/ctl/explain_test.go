package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const logA = `  -9.1 front-a {"level":"info","time":"2026-01-01T00:00:01.000Z","message":"mirror: store lost","prefix":"config/"}
noise without a line
{"level":"warn","request":"other","outcome":"no-route","status":404,"time":"2026-01-01T00:00:02.000Z","message":"gateway: request ended"}
  1.0 front-a {"level":"info","upstream":"i-9","time":"2026-01-01T00:00:02.100Z","message":"gateway: upstream lost"}
  1.0 front-a {"level":"info","upstream":"i-1","time":"2026-01-01T00:00:02.200Z","message":"gateway: upstream lost"}
  1.1 front-a {"level":"warn","request":"r1","outcome":"answer-lost","status":502,"sends":"i-1=no-answer/15ms","time":"2026-01-01T00:00:03.000Z","message":"gateway: request ended"}
  1.2 front-a {"level":"warn","lines":7,"time":"2026-01-01T00:00:04.000Z","message":"gateway: lines left out"}
`

func explainOf(t *testing.T, id string) (string, int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(file, []byte(logA), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := Run([]string{"explain", id, file}, &out, &errs)
	return out.String() + errs.String(), code
}

func TestExplainTellsCauseAndWhatWentBefore(t *testing.T) {
	got, code := explainOf(t, "r1")
	if code != ExitOK {
		t.Fatalf("exit %d: %s", code, got)
	}
	for _, want := range []string{"front-a: status 502, answer-lost", "outcome unknown", "i-1=no-answer/15ms", "2000 ms before mirror: store lost prefix=config/", "800 ms before gateway: upstream lost upstream=i-1"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in:\n%s", want, got)
		}
	}
	if strings.Contains(got, "i-9") {
		t.Errorf("an upstream that was not asked is named:\n%s", got)
	}
}

func TestExplainNamesGaps(t *testing.T) {
	got, code := explainOf(t, "r2")
	if code != ExitFailure || !strings.Contains(got, "7 lines were left out") {
		t.Errorf("exit %d: %s", code, got)
	}
}
