package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// gatewayLog is the log of one gateway as a collector writes it: some lines have a
// prefix with the gateway's name, and one has no JSON.
const gatewayLog = `  -9.1 front-a {"level":"info","time":"2026-01-01T00:00:01.000Z","message":"mirror: call to the store failed; the copy may become stale, retrying","prefix":"config/"}
text without JSON
{"level":"warn","request":"other","outcome":"no-route","status":404,"time":"2026-01-01T00:00:02.000Z","message":"gateway: request ended"}
  1.0 front-a {"level":"info","upstream":"i-9","time":"2026-01-01T00:00:02.100Z","message":"gateway: upstream is unreachable; it gets no requests until a connection succeeds"}
  1.0 front-a {"level":"info","upstream":"i-1","time":"2026-01-01T00:00:02.200Z","message":"gateway: upstream is unreachable; it gets no requests until a connection succeeds"}
  1.1 front-a {"level":"warn","request":"r1","outcome":"answer-lost","status":502,"sends":"i-1=no-answer/15ms","time":"2026-01-01T00:00:03.000Z","message":"gateway: request ended"}
  1.2 front-a {"level":"warn","lines":7,"time":"2026-01-01T00:00:04.000Z","message":"gateway: lines left out"}
`

// runExplain runs explain for a request on gatewayLog, and returns what it printed
// and its exit code.
func runExplain(t *testing.T, id string) (string, int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(file, []byte(gatewayLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code := Run([]string{"explain", id, file}, nil, &stdout, &stderr)
	return stdout.String() + stderr.String(), code
}

// TestExplainShowsOutcomeAndPrecedingChanges checks that explain prints the outcome
// and the attempts of a request, and the changes before it at the same gateway, but
// no change of an upstream that the request was not sent to.
func TestExplainShowsOutcomeAndPrecedingChanges(t *testing.T) {
	output, code := runExplain(t, "r1")
	if code != ExitOK {
		t.Fatalf("exit code %d, want 0; output:\n%s", code, output)
	}
	for _, want := range []string{"front-a: status 502, answer-lost", "outcome unknown", "i-1=no-answer/15ms", "2000 ms before mirror: call to the store failed; the copy may become stale, retrying prefix=config/", "800 ms before gateway: upstream is unreachable; it gets no requests until a connection succeeds upstream=i-1"} {
		if !strings.Contains(output, want) {
			t.Errorf("%q is missing in:\n%s", want, output)
		}
	}
	if strings.Contains(output, "i-9") {
		t.Errorf("output names upstream i-9, which no attempt went to:\n%s", output)
	}
}

// TestExplainReportsOmittedLines checks that explain, if the request is not in the
// log, tells where the gateway left out lines.
func TestExplainReportsOmittedLines(t *testing.T) {
	output, code := runExplain(t, "r2")
	if code != ExitFailure || !strings.Contains(output, "7 lines were left out") {
		t.Errorf("exit code %d, want 1 and a mention of the omitted lines; output:\n%s", code, output)
	}
}
