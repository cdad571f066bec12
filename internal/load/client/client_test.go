package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

const testPrompt = "a prompt of some text"

func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
}

// newManager returns callers of one router that answers with handler.
func newManager(t *testing.T, handler http.HandlerFunc) *Manager {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	s, err := scenario.Named("letak")
	if err != nil {
		t.Fatal(err)
	}
	s.ClientDelay = 0
	m := New(Options{
		Plan:    &scenario.Plan{Scenario: s},
		Secret:  func(int) string { return "secret" },
		Callers: []string{address},
		Admin:   []string{address},
	})
	m.started = time.Now()
	return m
}

func TestPromptOutcomes(t *testing.T) {
	const tokens = 3
	text := answer.Text([]byte(testPrompt), tokens)
	half := text[:answer.BytesPerToken]
	done := "data: [DONE]\n\n"
	usage := "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
	failure := "event: error\ndata: {\"error\":{\"code\":\"upstream_lost\",\"run\":\"unknown\"}}\n\n"
	cases := []struct {
		name     string
		status   int
		body     string
		want     Outcome
		code     string
		reported ReportedRun
		wrong    bool
	}{
		{"complete", 200, event(half) + event(text[len(half):]) + usage + done, Complete, "", ReportedRan, false},
		{"other text", 200, event(strings.Repeat("x", len(text))) + done, Complete, "", ReportedRan, true},
		{"end mark too early", 200, event(half) + done, Complete, "", ReportedRan, true},
		{"repeated token", 200, event(half) + event(half) + done, Complete, "", ReportedRan, true},
		{"no end mark", 200, event(half), Truncated, "", ReportedUnknown, false},
		{"explicit error", 200, event(half) + failure, Failed, "upstream_lost", ReportedUnknown, false},
		{"refused", 429, `{"error":{"code":"rate_limited","run":"not-run"}}`, Refused, "rate_limited", ReportedNotRun, false},
		{"refused without reason", 502, "oops", Refused, "", ReportedUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newManager(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer secret" {
					t.Error("request without key")
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			got := m.Prompt(context.Background(), scenario.Prompt{Output: tokens}, []byte(testPrompt))
			if got.Outcome != c.want || got.Code != c.code || got.ReportedRun != c.reported || got.WrongText != c.wrong {
				t.Fatalf("%+v", got)
			}
			if c.status == 200 && got.FirstByte <= 0 {
				t.Fatalf("no time of the first byte: %+v", got)
			}
		})
	}
}

func TestChargeIsSentAgainUntilItRan(t *testing.T) {
	calls := 0
	m := newManager(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		if r.Header.Get(headerIdempotencyKey) != "c" {
			t.Errorf("idempotency key %q", r.Header.Get(headerIdempotencyKey))
		}
		w.Header().Set(headerRequestID, fmt.Sprint(calls))
		if calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"no_upstream","run":"not-run"}}`)
			return
		}
		_, _ = io.WriteString(w, `{}`)
	})
	got := m.charge(context.Background(), scenario.Charge{ID: "c"})
	if len(got.Attempts) != 2 || got.Attempts[0].ReportedRun != ReportedNotRun || got.Attempts[1].ReportedRun != ReportedRan {
		t.Fatalf("%+v", got)
	}
	if got.Attempts[1].RequestID != "2" {
		t.Fatalf("request id %q", got.Attempts[1].RequestID)
	}
}

func TestBalancerLeavesOutWhatIsNotReady(t *testing.T) {
	b := newBalancer([]string{"a", "b", "c"}, []string{"", "", ""})
	b.ready[1].Store(false)
	for _, c := range []struct {
		preferred, skip int
		want            string
	}{{0, 0, "a"}, {1, 0, "c"}, {0, 1, "c"}, {2, 1, "a"}} {
		if got := b.pick(c.preferred, c.skip); got != c.want {
			t.Errorf("pick(%d, %d) = %s, want %s", c.preferred, c.skip, got, c.want)
		}
	}
}
