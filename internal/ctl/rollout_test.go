package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/rollout"
)

// Operators must see why a version was rolled back, and the responses that show it.
func TestRolloutCommandShowsReasonAndCounts(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != rollout.StatusesPath {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`[{"pool":"p","target":"v2","state":"rolled back","stage":"rolled back","reason":"route r: failures",
			"counts":[{"route":"r","group":"target","sent":40,"responses":38,"failed":12}]}]`))
	}))
	defer server.Close()
	var out, errors bytes.Buffer
	if code := Run([]string{"rollout", "-server", server.URL}, nil, &out, &errors); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errors.String())
	}
	for _, want := range []string{"p to v2: rolled back", "route r: failures", "38", "12"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
