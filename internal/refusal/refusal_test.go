package refusal

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Operators look up codes in docs/REFUSALS.md. The test fails when a code
// of statusByCode has no row there or when the row names another status.
func TestEveryStatusIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, status := range statusByCode {
		if !hasRow(string(page), string(code), status) {
			t.Errorf("docs/REFUSALS.md lacks a row with code %s and status %d", code, status)
		}
	}
}

func hasRow(page, code string, status int) bool {
	for line := range strings.Lines(page) {
		if strings.Contains(line, "`"+code+"`") && strings.Contains(line, fmt.Sprintf("| %d |", status)) {
			return true
		}
	}
	return false
}

func TestUnknownCodeHasStatus503(t *testing.T) {
	if Status("odd") != 503 {
		t.Fatalf("status of an unknown code is %d, want 503", Status("odd"))
	}
}
