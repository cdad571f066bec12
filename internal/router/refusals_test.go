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

// Guards against an idempotency key of any length being stored: a call with a key
// above the limit must be refused before it is forwarded.
func TestRefusalsOfCallsBeforeForwarding(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(newTestSet(object.KeyActive)), Admission: unlimitedAdmission{}})
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
	var reply decodedError
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadRequest || response.Header.Get(HeaderRun) != string(RunStateNotRun) {
		t.Fatalf("got status %d, run state %q", response.StatusCode, response.Header.Get(HeaderRun))
	}
	if reply.Error.Code != "idempotency_key_too_long" {
		t.Fatalf("got error %+v", reply.Error)
	}
}

// Guards against a request that is forwarded with a part of its body, or is reported
// as possibly run, when the connection breaks while the body is read.
func TestBrokenBodyIsNotRun(t *testing.T) {
	server := New(Options{Source: newFakeSource(newTestSet(object.KeyActive)), Limits: DefaultLimits()})
	defer server.Close()
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/v1/completions", iotest.ErrReader(io.ErrUnexpectedEOF))
	_, failure := server.readBody(c)
	if failure == nil || failure.Status != http.StatusBadRequest || failure.Code != "body_unreadable" || failure.Run != RunStateNotRun {
		t.Fatalf("got error %+v", failure)
	}
}

// Guards against bodies that take more memory than the router may use, and against a refusal of one
// that does not state that it was not run.
func TestBodyBeyondMemoryIsRefused(t *testing.T) {
	server := New(Options{Source: newFakeSource(newTestSet(object.KeyActive)), Limits: DefaultLimits(), MaxBufferedBytes: 64 << 10})
	defer server.Close()
	other := server.bodies.NewHold()
	other.Grow(32 << 10)
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(strings.Repeat("tariff", 10_000)))
	_, failure := server.readBody(c)
	if failure == nil || failure.Status != http.StatusServiceUnavailable || failure.Code != "memory" || failure.Run != RunStateNotRun || failure.RetryAfter <= 0 {
		t.Errorf("got error %+v", failure)
	}
	releaseBody(c)
	if held := server.bodies.Held(); held != 32<<10 {
		t.Errorf("%d bytes held after the end, want those of the other request", held)
	}
}

// panickingAdmission is an admission.Controller that panics.
type panickingAdmission struct{}

func (panickingAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	panic("odd")
}

// Guards against a panic in a handler that leaves the caller without a response or
// is reported as not run, although the request may have been forwarded.
func TestPanicReportsUnknownRunState(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(newTestSet(object.KeyActive)), Admission: panickingAdmission{}})
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"tariff?"}`)
	if response.StatusCode != http.StatusInternalServerError || reply.Error.Code != "internal" || reply.Error.Run != RunStateUnknown {
		t.Fatalf("got status %d, error %+v", response.StatusCode, reply.Error)
	}
}

// Guards against prompts that fail with an unspecific error, or are reported as run,
// while there is no configuration or no published version of the model.
func TestRefusalsWithoutConfiguration(t *testing.T) {
	withoutVersions := newTestSet(object.KeyActive)
	withoutVersions.ModelVersions = make(map[string]*object.ModelVersion)
	withoutVersions.Index()
	cases := map[string]*object.Set{"no_configuration": nil, "no_model_version": withoutVersions}
	for code, set := range cases {
		server := startServer(t, Options{Source: newFakeSource(set), Admission: unlimitedAdmission{}, Picker: noVersionPicker{}})
		response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
		if response.StatusCode != http.StatusServiceUnavailable || reply.Error.Code != code || reply.Error.Run != RunStateNotRun {
			t.Errorf("got status %d, error %+v, want code %s", response.StatusCode, reply.Error, code)
		}
	}
}

// noVersionPicker is a picker.Picker that finds no version of any model.
type noVersionPicker struct{ blockingPicker }

func (noVersionPicker) Versions(*object.Set, string, string, string) []*object.ModelVersion {
	return nil
}

// Guards against a wrong status for a refusal of admission: 429 tells the caller to
// retry, so it must not be used for a request that can never be admitted.
func TestRefusalsOfAdmission(t *testing.T) {
	cases := []struct {
		code       string
		retryAfter time.Duration
		wantStatus int
	}{
		{admission.CodeRateLimited, time.Second, http.StatusTooManyRequests},
		{admission.CodeNoPool, time.Second, http.StatusTooManyRequests},
		{admission.CodeStopping, time.Second, http.StatusTooManyRequests},
		{admission.CodeAboveBurst, 0, http.StatusBadRequest},
		{admission.CodeNoLimit, 0, http.StatusBadRequest},
		{admission.CodeCanceled, 0, http.StatusBadRequest},
	}
	for _, c := range cases {
		failure := errorFromCause(&admission.Refusal{Code: c.code, RetryAfter: c.retryAfter}, "admit")
		if failure.Status != c.wantStatus || failure.Code != c.code || failure.Run != RunStateNotRun {
			t.Errorf("%s: got error %+v", c.code, failure)
		}
	}
}

// Guards against a prompt whose deadline passes being reported as not run after it was
// sent to an agent, or as possibly run before that. A failure to write the complete
// response must be reported as run.
func TestPromptErrorByStep(t *testing.T) {
	server := New(Options{Source: newFakeSource(newTestSet(object.KeyActive)), Limits: DefaultLimits()})
	defer server.Close()
	expired, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	<-expired.Done()
	cases := []struct {
		step    string
		wantRun RunState
	}{
		{"admit", RunStateNotRun},
		{"place", RunStateNotRun},
		{"run", RunStateUnknown},
	}
	for _, c := range cases {
		failure := server.promptError(expired, expired.Err(), c.step, &bufferedResponse{})
		if failure.Code != "deadline" || failure.Status != http.StatusGatewayTimeout || failure.Run != c.wantRun {
			t.Errorf("%s: got error %+v", c.step, failure)
		}
	}
	if failure := responseWriteError(errors.New("broken pipe")); failure.Code != "caller_gone" || failure.Run != RunStateRan {
		t.Errorf("got error %+v", failure)
	}
}
