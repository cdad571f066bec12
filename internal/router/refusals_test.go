package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/object"
)

func TestRefusalsOfCallsBeforeForwarding(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(testSet(object.KeyActive)), Admission: openAdmission{}})
	request, err := http.NewRequest(http.MethodPost, server.URL+"/charges", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testSecret)
	request.Header.Set(HeaderIdempotencyKey, strings.Repeat("k", maxIdempotencyKeyBytes+1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply errorReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadRequest || response.Header.Get(HeaderRun) != string(RunNot) {
		t.Fatalf("got %d, %q", response.StatusCode, response.Header.Get(HeaderRun))
	}
	if reply.Error.Code != "idempotency_key_too_long" {
		t.Fatalf("got %+v", reply.Error)
	}
}

func TestBrokenBodyIsNotRun(t *testing.T) {
	server := New(Options{Source: newFakeSource(testSet(object.KeyActive)), Limits: DefaultLimits()})
	defer server.Close()
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/v1/completions", iotest.ErrReader(io.ErrUnexpectedEOF))
	_, failure := server.readBody(c)
	if failure == nil || failure.Status != http.StatusBadRequest || failure.Code != "body_unreadable" || failure.Run != RunNot {
		t.Fatalf("got %+v", failure)
	}
}

// panickingAdmission fails in a way that nobody has foreseen.
type panickingAdmission struct{}

func (panickingAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	panic("odd")
}

func TestPanicIsToldAsUnknown(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(testSet(object.KeyActive)), Admission: panickingAdmission{}})
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"tariff?"}`)
	if response.StatusCode != http.StatusInternalServerError || reply.Error.Code != "internal" || reply.Error.Run != RunUnknown {
		t.Fatalf("got %d, %+v", response.StatusCode, reply.Error)
	}
}

func TestRefusalsWithoutConfiguration(t *testing.T) {
	unpublished := testSet(object.KeyActive)
	unpublished.ModelVersions = make(map[string]*object.ModelVersion)
	unpublished.Index()
	cases := map[string]*object.Set{"no_configuration": nil, "no_model_version": unpublished}
	for code, set := range cases {
		server := startServer(t, Options{Source: newFakeSource(set), Admission: openAdmission{}, Picker: noVersions{}})
		response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
		if response.StatusCode != http.StatusServiceUnavailable || reply.Error.Code != code || reply.Error.Run != RunNot {
			t.Errorf("got %d %+v, want %s", response.StatusCode, reply.Error, code)
		}
	}
}

// noVersions is a picker for models without a version.
type noVersions struct{ blockingPicker }

func (noVersions) Versions(*object.Set, string, string, string) []*object.ModelVersion { return nil }

func TestRefusalsOfAdmission(t *testing.T) {
	cases := []struct {
		code       string
		retryAfter time.Duration
		want       int
	}{
		{admission.CodeRateLimited, time.Second, http.StatusTooManyRequests},
		{admission.CodeNoPool, time.Second, http.StatusTooManyRequests},
		{admission.CodeStopping, time.Second, http.StatusTooManyRequests},
		{admission.CodeAboveBurst, 0, http.StatusBadRequest},
		{admission.CodeNoLimit, 0, http.StatusBadRequest},
		{admission.CodeCanceled, 0, http.StatusBadRequest},
	}
	for _, c := range cases {
		failure := fromError(&admission.Refusal{Code: c.code, RetryAfter: c.retryAfter}, "admit")
		if failure.Status != c.want || failure.Code != c.code || failure.Run != RunNot {
			t.Errorf("%s: got %+v", c.code, failure)
		}
	}
}

func TestPromptErrorByStep(t *testing.T) {
	server := New(Options{Source: newFakeSource(testSet(object.KeyActive)), Limits: DefaultLimits()})
	defer server.Close()
	over, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	<-over.Done()
	cases := []struct {
		step string
		want RunState
	}{
		{"admit", RunNot},
		{"place", RunNot},
		{"run", RunUnknown},
	}
	for _, c := range cases {
		failure := server.promptError(over, over.Err(), c.step, &wholeAnswer{})
		if failure.Code != "deadline" || failure.Status != http.StatusGatewayTimeout || failure.Run != c.want {
			t.Errorf("%s: got %+v", c.step, failure)
		}
	}
	if gone := asFailure(errors.New("broken pipe")); gone.Code != "caller_gone" || gone.Run != RunDone {
		t.Errorf("got %+v", gone)
	}
}
