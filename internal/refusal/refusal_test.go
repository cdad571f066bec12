package refusal

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestEveryCodeIsDocumented checks that the page has a row with each code and its status.
func TestEveryCodeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, status := range statuses {
		if !documented(string(page), string(code), status) {
			t.Errorf("no row for %s with status %d", code, status)
		}
	}
}

func documented(page, code string, status int) bool {
	for line := range strings.Lines(page) {
		if strings.Contains(line, "`"+code+"`") && strings.Contains(line, fmt.Sprintf("| %d |", status)) {
			return true
		}
	}
	return false
}

func TestUnknownCodeIsAServerError(t *testing.T) {
	if Status("odd") != 503 {
		t.Fatalf("got %d", Status("odd"))
	}
}
