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

// textEvent returns a server-sent event that carries text.
func textEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
}

// newTestManager returns a Manager whose only router is a test server with this handler.
func newTestManager(t *testing.T, handler http.HandlerFunc) *Manager {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	s, err := scenario.ByName("letak")
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

// Guards against misread answers: a truncated, failed or wrong stream that counts as
// complete would hide faults of the routers from the measurement.
func TestPromptOutcomes(t *testing.T) {
	const tokens = 3
	text := answer.Text([]byte(testPrompt), tokens)
	firstToken := text[:answer.BytesPerToken]
	doneEvent := "data: [DONE]\n\n"
	usageEvent := "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
	errorEvent := "event: error\ndata: {\"error\":{\"code\":\"upstream_lost\",\"run\":\"unknown\"}}\n\n"
	cases := []struct {
		name     string
		status   int
		body     string
		want     Outcome
		code     string
		reported ReportedRun
		wrong    bool
	}{
		{"complete", 200, textEvent(firstToken) + textEvent(text[len(firstToken):]) + usageEvent + doneEvent, Complete, "", ReportedRan, false},
		{"other text", 200, textEvent(strings.Repeat("x", len(text))) + doneEvent, Complete, "", ReportedRan, true},
		{"end marker too early", 200, textEvent(firstToken) + doneEvent, Complete, "", ReportedRan, true},
		{"repeated token", 200, textEvent(firstToken) + textEvent(firstToken) + doneEvent, Complete, "", ReportedRan, true},
		{"no end marker", 200, textEvent(firstToken), Truncated, "", ReportedUnknown, false},
		{"explicit error", 200, textEvent(firstToken) + errorEvent, Failed, "upstream_lost", ReportedUnknown, false},
		{"refused", 429, `{"error":{"code":"rate_limited","run":"not-run"}}`, Refused, "rate_limited", ReportedNotRun, false},
		{"refused without reason", 502, "oops", Refused, "", ReportedUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestManager(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer secret" {
					t.Error("request does not carry the customer's key")
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			got := m.SendPrompt(context.Background(), scenario.Prompt{Output: tokens}, []byte(testPrompt))
			if got.Outcome != c.want || got.Code != c.code || got.ReportedRun != c.reported || got.WrongText != c.wrong {
				t.Fatalf("%+v", got)
			}
			if c.status == 200 && got.FirstText <= 0 {
				t.Fatalf("result has no time of the first text: %+v", got)
			}
		})
	}
}

// The first attempt is refused as not run. A caller must send the charge again with
// the same idempotency key and stop once an attempt reports that the charge ran.
func TestChargeIsRetriedUntilItRan(t *testing.T) {
	calls := 0
	m := newTestManager(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		if r.Header.Get(headerIdempotencyKey) != "c" {
			t.Errorf("idempotency key is %q, want \"c\"", r.Header.Get(headerIdempotencyKey))
		}
		w.Header().Set(headerRequestID, fmt.Sprint(calls))
		if calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"no_upstream","run":"not-run"}}`)
			return
		}
		_, _ = io.WriteString(w, `{}`)
	})
	got := m.sendCharge(context.Background(), scenario.Charge{ID: "c"})
	if len(got.Attempts) != 2 || got.Attempts[0].ReportedRun != ReportedNotRun || got.Attempts[1].ReportedRun != ReportedRan {
		t.Fatalf("%+v", got)
	}
	if got.Attempts[1].RequestID != "2" {
		t.Fatalf("request ID of the second attempt is %q, want \"2\"", got.Attempts[1].RequestID)
	}
}

// A router that is not ready, or to which no connection could be made, must be passed
// over in favor of the next ready router.
func TestBalancerSkipsRoutersThatAreNotReady(t *testing.T) {
	b := newBalancer([]string{"a", "b", "c"}, []string{"", "", ""})
	b.ready[1].Store(false)
	for _, c := range []struct {
		preferred, skip int
		want            string
	}{{0, 0, "a"}, {1, 0, "c"}, {0, 1, "c"}, {2, 1, "a"}} {
		if got := b.pickAddress(c.preferred, c.skip); got != c.want {
			t.Errorf("pickAddress(%d, %d) = %s, want %s", c.preferred, c.skip, got, c.want)
		}
	}
}
