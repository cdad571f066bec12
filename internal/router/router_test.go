package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/rs/zerolog"
)

const testSecret = "secret-of-a-pilot"

// fakeSource is an object.Source whose set the test replaces.
type fakeSource struct {
	mu      sync.Mutex
	set     *object.Set
	changed chan struct{}
	stale   bool
}

func newFakeSource(set *object.Set) *fakeSource {
	return &fakeSource{set: set, changed: make(chan struct{})}
}

func (f *fakeSource) Current() *object.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

func (f *fakeSource) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeSource) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stale
}

func (f *fakeSource) setStale() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = true
}

func (f *fakeSource) replace(set *object.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = set
	close(f.changed)
	f.changed = make(chan struct{})
}

func digestOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testSet(state object.KeyState) *object.Set {
	set := object.NewSet(1)
	set.Customers["pilots"] = &object.Customer{Name: "pilots", Rate: 10, Burst: 10}
	set.Keys["pilots-1"] = &object.Key{Name: "pilots-1", SHA256: digestOf(testSecret), Customer: "pilots", State: state}
	set.Routes["model"] = &object.Route{Name: "model", Model: "harbour", Pool: "models", Idempotent: true}
	set.Routes["charges"] = &object.Route{Name: "charges", Path: "/charges", Pool: "billing"}
	set.ModelVersions["harbour-1"] = &object.ModelVersion{
		Name: "harbour-1", Model: "harbour", Weights: "v1", Pool: "models", BlockTokens: 10, BytesPerToken: 4,
	}
	set.Index()
	return set
}

// refusingAdmission refuses everything, so that no request goes further.
type refusingAdmission struct{ refusal *admission.Refusal }

func (r refusingAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	return nil, r.refusal
}

// blockingPicker waits until its request's context ends.
type blockingPicker struct{ entered chan struct{} }

func (b blockingPicker) Pick(ctx context.Context, _ *object.Set, _ picker.Prompt) ([]picker.Candidate, error) {
	close(b.entered)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (blockingPicker) Versions(set *object.Set, model, pool, _ string) []*object.ModelVersion {
	return []*object.ModelVersion{set.ModelVersionFor(model, pool)}
}

func (blockingPicker) Report(string, picker.Outcome) {}

type openAdmission struct{}

func (openAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	return unlimited{}, nil
}

func startServer(t *testing.T, options Options) *httptest.Server {
	options.Limits = DefaultLimits()
	options.Limits.MaxBodyBytes = 1000
	options.Limits.BodyTimeout = 200 * time.Millisecond
	options.Log = zerolog.Nop()
	if options.Prompter == nil {
		options.Prompter = dispatch.NewPrompter(dispatch.Options{})
	}
	if options.Picker == nil {
		options.Picker = blockingPicker{entered: make(chan struct{})}
	}
	server := New(options)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	return listener
}

type errorReply struct {
	Error apiError `json:"error"`
}

func post(t *testing.T, url, key, body string) (*http.Response, errorReply) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply errorReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatalf("no JSON error: %v", err)
	}
	return response, reply
}

func TestRefusalsBeforeForwarding(t *testing.T) {
	limited := refusingAdmission{&admission.Refusal{Code: "over_rate", Message: "over rate", RetryAfter: 1500 * time.Millisecond}}
	prompt := `{"model":"harbour","prompt":"tariff?"}`
	tests := []struct {
		name, path, key, body string
		stale                 bool
		wantStatus            int
		wantCode              string
	}{
		{"no key", "/v1/completions", "", prompt, false, 401, "key_missing"},
		{"unknown key", "/v1/completions", "other", prompt, false, 401, "key_invalid"},
		{"bad JSON", "/v1/completions", testSecret, "{", false, 400, "bad_request"},
		{"no prompt", "/v1/completions", testSecret, `{"model":"harbour"}`, false, 400, "bad_request"},
		{"image part", "/v1/chat/completions", testSecret, `{"model":"harbour","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, false, 400, "bad_request"},
		{"unknown model", "/v1/completions", testSecret, `{"model":"x","prompt":"y"}`, false, 404, "model_unknown"},
		{"huge body", "/v1/completions", testSecret, strings.Repeat("x", 2000), false, 413, "body_too_large"},
		{"too many tokens", "/v1/completions", testSecret, `{"model":"harbour","prompt":"y","max_tokens":99999999}`, false, 400, "max_tokens_too_large"},
		{"key in content", "/v1/completions", testSecret, `{"model":"harbour","prompt":"` + testSecret + `"}`, false, 400, "key_in_content"},
		{"key in query", "/charges?a=" + testSecret, testSecret, "{}", false, 400, "key_in_content"},
		{"unknown route", "/other", testSecret, "{}", false, 404, "route_unknown"},
		{"stale configuration", "/v1/completions", testSecret, prompt, true, 503, "config_stale"},
		{"over rate", "/v1/completions", testSecret, prompt, false, 429, "over_rate"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			source := newFakeSource(testSet(object.KeyActive))
			source.stale = test.stale
			server := startServer(t, Options{Source: source, Admission: limited})
			response, reply := post(t, server.URL+test.path, test.key, test.body)
			if response.StatusCode != test.wantStatus || reply.Error.Code != test.wantCode {
				t.Fatalf("got %d %+v, want %d %s", response.StatusCode, reply.Error, test.wantStatus, test.wantCode)
			}
			if reply.Error.Run != RunNot || response.Header.Get(HeaderRun) != string(RunNot) {
				t.Fatalf("run is %q, header %q", reply.Error.Run, response.Header.Get(HeaderRun))
			}
			if reply.Error.RequestID == "" || reply.Error.RequestID != response.Header.Get(HeaderRequestID) {
				t.Fatal("request id missing")
			}
			if test.wantStatus == 429 && response.Header.Get("Retry-After") != "2" {
				t.Fatalf("Retry-After %q", response.Header.Get("Retry-After"))
			}
		})
	}
}

func TestSlowBodyIsRefused(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(testSet(object.KeyActive)), Admission: openAdmission{}})
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write([]byte(`{"model":`)) }()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", reader)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply errorReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || reply.Error.Code != "body_timeout" || reply.Error.Run != RunNot {
		t.Fatalf("got %d, %+v", response.StatusCode, reply.Error)
	}
}

func TestWithdrawnKeyEndsRunningRequest(t *testing.T) {
	source := newFakeSource(testSet(object.KeyActive))
	blocked := blockingPicker{entered: make(chan struct{})}
	server := startServer(t, Options{Source: source, Admission: openAdmission{}, Picker: blocked})
	go func() {
		<-blocked.entered
		source.replace(testSet(object.KeyWithdrawn))
	}()
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
	if response.StatusCode != http.StatusUnauthorized || reply.Error.Code != "key_withdrawn" || reply.Error.Run != RunNot {
		t.Fatalf("got %d %+v", response.StatusCode, reply.Error)
	}
}

func TestStaleConfigurationEndsRunningRequest(t *testing.T) {
	source := newFakeSource(testSet(object.KeyActive))
	blocked := blockingPicker{entered: make(chan struct{})}
	server := startServer(t, Options{Source: source, Admission: openAdmission{}, Picker: blocked})
	go func() {
		<-blocked.entered
		source.setStale()
	}()
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
	if response.StatusCode != http.StatusServiceUnavailable || reply.Error.Code != "config_stale" || reply.Error.Run != RunNot {
		t.Fatalf("got %d %+v", response.StatusCode, reply.Error)
	}
}

// withdrawingAdmission withdraws the key while a request waits for admission.
type withdrawingAdmission struct{ source *fakeSource }

func (w withdrawingAdmission) Admit(ctx context.Context, _ *object.Customer, _ int64) (admission.Ticket, error) {
	w.source.replace(testSet(object.KeyWithdrawn))
	<-ctx.Done()
	return unlimited{}, nil
}

func TestQueuedChargeOfAWithdrawnKeyDoesNotRun(t *testing.T) {
	source := newFakeSource(testSet(object.KeyActive))
	server := startServer(t, Options{Source: source, Admission: withdrawingAdmission{source}})
	response, reply := post(t, server.URL+"/charges", testSecret, `{}`)
	if response.StatusCode != http.StatusUnauthorized || reply.Error.Code != "key_withdrawn" || reply.Error.Run != RunNot {
		t.Fatalf("got %d %+v", response.StatusCode, reply.Error)
	}
}

func TestForwardedHeaderHoldsNoKey(t *testing.T) {
	who := caller{secret: testSecret}
	header := http.Header{
		"Authorization": {"Bearer " + testSecret},
		"Cookie":        {"session=1"},
		"X-Odd":         {"prefix-" + testSecret},
		"Connection":    {"X-Hop"},
		"X-Hop":         {"1"},
		"X-Kept":        {"2"},
	}
	forwarded := who.forwardHeader(header)
	if len(forwarded) != 1 || forwarded.Get("X-Kept") != "2" {
		t.Fatalf("got %v", forwarded)
	}
	if header.Get("Authorization") == "" {
		t.Fatal("the caller's own header was changed")
	}
}

func TestAnswerTextIsWrittenInBothForms(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		parse := parseCompletion
		body := `{"model":"m","prompt":["a"],"max_tokens":3,"stream":true}`
		if strings.Contains(path, "chat") {
			parse = parseChat
			body = `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_completion_tokens":3,"stream":true}`
		}
		request, err := parse([]byte(body))
		if err != nil || request.MaxTokens != 3 || !request.Stream {
			t.Fatalf("%s: %+v, %v", path, request, err)
		}
	}
	if _, err := parseChat([]byte(`{"model":"m","messages":[]}`)); err == nil {
		t.Fatal("empty messages accepted")
	}
}

func TestPromptThatNoAgentTakesIsNotRun(t *testing.T) {
	failure := fromError(fault.Wrap(picker.ErrNoUpstream, "place", "models"), "place")
	if failure.Code != "no_upstream" || failure.Run != RunNot || failure.Status != 503 || failure.RetryAfter == 0 {
		t.Fatalf("got %+v", failure)
	}
}

func TestUnknownCauseIsNotCalledNotRun(t *testing.T) {
	failure := fromError(errors.New("odd"), "run")
	if failure.Run != RunUnknown || failure.Code != "failed" || failure.Status != http.StatusBadGateway {
		t.Fatalf("got %+v", failure)
	}
}
