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

// fakeSource is an object.Source whose set and freshness a test can change.
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

func (f *fakeSource) IsFresh() bool {
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

func secretDigest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// newTestSet returns a set with one customer, its key in the given state, a model
// route and a route that is not idempotent for the path /charges.
func newTestSet(state object.KeyState) *object.Set {
	set := object.NewSet(1)
	set.Customers["pilots"] = &object.Customer{Name: "pilots", Rate: 10, Burst: 10}
	set.Keys["pilots-1"] = &object.Key{Name: "pilots-1", SHA256: secretDigest(testSecret), Customer: "pilots", State: state}
	set.Routes["model"] = &object.Route{Name: "model", Model: "harbour", Pool: "models", Idempotent: true}
	set.Routes["charges"] = &object.Route{Name: "charges", Path: "/charges", Pool: "billing"}
	set.ModelVersions["harbour-1"] = &object.ModelVersion{
		Name: "harbour-1", Model: "harbour", Weights: "v1", Pool: "models", BlockTokens: 10, BytesPerToken: 4,
	}
	set.Index()
	return set
}

// refusingAdmission is an admission.Controller that refuses all requests, so that
// none is forwarded.
type refusingAdmission struct{ refusal *admission.Refusal }

func (r refusingAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	return nil, r.refusal
}

// blockingPicker is a picker.Picker whose Pick closes pickStarted and then blocks
// until the context of the request ends.
type blockingPicker struct{ pickStarted chan struct{} }

func (b blockingPicker) Pick(ctx context.Context, _ *object.Set, _ picker.Prompt) ([]picker.Candidate, error) {
	close(b.pickStarted)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (blockingPicker) Versions(set *object.Set, model, pool, _ string) []*object.ModelVersion {
	return []*object.ModelVersion{set.ModelVersionFor(model, pool)}
}

func (blockingPicker) Report(string, picker.Outcome) {}

// unlimitedAdmission is an admission.Controller that admits all requests.
type unlimitedAdmission struct{}

func (unlimitedAdmission) Admit(context.Context, *object.Customer, int64) (admission.Ticket, error) {
	return unlimitedTicket{}, nil
}

// startServer starts a router with small limits: bodies of 1000 bytes that must
// arrive within 200 ms.
func startServer(t *testing.T, options Options) *httptest.Server {
	options.Limits = DefaultLimits()
	options.Limits.MaxBodyBytes = 1000
	options.Limits.BodyTimeout = 200 * time.Millisecond
	options.Log = zerolog.Nop()
	if options.Prompter == nil {
		options.Prompter = dispatch.NewPrompter(dispatch.PrompterOptions{})
	}
	if options.Picker == nil {
		options.Picker = blockingPicker{pickStarted: make(chan struct{})}
	}
	server := New(options)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	return listener
}

// decodedError is the body of an error response.
type decodedError struct {
	Error apiError `json:"error"`
}

// post sends a request with the key, if it is not empty, and decodes the error
// response.
func post(t *testing.T, url, key, body string) (*http.Response, decodedError) {
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
	var reply decodedError
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatalf("the response is not a JSON error: %v", err)
	}
	return response, reply
}

// Guards against requests that are forwarded although they must be refused, and
// against refusals without the code, the run state, the request id or the
// Retry-After header that callers need to decide on a retry.
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
			source := newFakeSource(newTestSet(object.KeyActive))
			source.stale = test.stale
			server := startServer(t, Options{Source: source, Admission: limited})
			response, reply := post(t, server.URL+test.path, test.key, test.body)
			if response.StatusCode != test.wantStatus || reply.Error.Code != test.wantCode {
				t.Fatalf("got status %d, error %+v, want status %d, code %s", response.StatusCode, reply.Error, test.wantStatus, test.wantCode)
			}
			if reply.Error.Run != RunStateNotRun || response.Header.Get(HeaderRun) != string(RunStateNotRun) {
				t.Fatalf("got run state %q, header %q", reply.Error.Run, response.Header.Get(HeaderRun))
			}
			if reply.Error.RequestID == "" || reply.Error.RequestID != response.Header.Get(HeaderRequestID) {
				t.Fatal("the request id is missing or differs from the header")
			}
			if test.wantStatus == 429 && response.Header.Get("Retry-After") != "2" {
				t.Fatalf("Retry-After %q", response.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a caller that sends its body slowly and occupies a connection and
// memory without a time limit.
func TestSlowBodyIsRefused(t *testing.T) {
	server := startServer(t, Options{Source: newFakeSource(newTestSet(object.KeyActive)), Admission: unlimitedAdmission{}})
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
	var reply decodedError
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || reply.Error.Code != "body_timeout" || reply.Error.Run != RunStateNotRun {
		t.Fatalf("got status %d, error %+v", response.StatusCode, reply.Error)
	}
}

// Guards against a request that continues after its key is withdrawn: here the key is
// withdrawn while the picker blocks.
func TestWithdrawnKeyEndsRunningRequest(t *testing.T) {
	source := newFakeSource(newTestSet(object.KeyActive))
	blocking := blockingPicker{pickStarted: make(chan struct{})}
	server := startServer(t, Options{Source: source, Admission: unlimitedAdmission{}, Picker: blocking})
	go func() {
		<-blocking.pickStarted
		source.replace(newTestSet(object.KeyWithdrawn))
	}()
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
	if response.StatusCode != http.StatusUnauthorized || reply.Error.Code != "key_withdrawn" || reply.Error.Run != RunStateNotRun {
		t.Fatalf("got status %d, error %+v", response.StatusCode, reply.Error)
	}
}

// Guards against a request that continues while the router cannot learn that its key
// is withdrawn: here the configuration becomes stale while the picker blocks.
func TestStaleConfigurationEndsRunningRequest(t *testing.T) {
	source := newFakeSource(newTestSet(object.KeyActive))
	blocking := blockingPicker{pickStarted: make(chan struct{})}
	server := startServer(t, Options{Source: source, Admission: unlimitedAdmission{}, Picker: blocking})
	go func() {
		<-blocking.pickStarted
		source.setStale()
	}()
	response, reply := post(t, server.URL+"/v1/completions", testSecret, `{"model":"harbour","prompt":"y"}`)
	if response.StatusCode != http.StatusServiceUnavailable || reply.Error.Code != "config_stale" || reply.Error.Run != RunStateNotRun {
		t.Fatalf("got status %d, error %+v", response.StatusCode, reply.Error)
	}
}

// withdrawingAdmission is an admission.Controller that withdraws the key while a
// request waits for admission, and then admits the request.
type withdrawingAdmission struct{ source *fakeSource }

func (w withdrawingAdmission) Admit(ctx context.Context, _ *object.Customer, _ int64) (admission.Ticket, error) {
	w.source.replace(newTestSet(object.KeyWithdrawn))
	<-ctx.Done()
	return unlimitedTicket{}, nil
}

// Guards against a call that is forwarded although its key was withdrawn while the
// call waited for admission. The route is not idempotent, so the context of the call
// does not end when the key is withdrawn; the key must be checked after admission.
func TestQueuedChargeOfAWithdrawnKeyDoesNotRun(t *testing.T) {
	source := newFakeSource(newTestSet(object.KeyActive))
	server := startServer(t, Options{Source: source, Admission: withdrawingAdmission{source}})
	response, reply := post(t, server.URL+"/charges", testSecret, `{}`)
	if response.StatusCode != http.StatusUnauthorized || reply.Error.Code != "key_withdrawn" || reply.Error.Run != RunStateNotRun {
		t.Fatalf("got status %d, error %+v", response.StatusCode, reply.Error)
	}
}

// Guards against a caller's key or a hop-by-hop header reaching a plain service, also
// in a header with another name, and against changes to the header of the request.
func TestForwardedHeaderHoldsNoKey(t *testing.T) {
	caller := callerIdentity{secret: testSecret}
	header := http.Header{
		"Authorization": {"Bearer " + testSecret},
		"Cookie":        {"session=1"},
		"X-Odd":         {"prefix-" + testSecret},
		"Connection":    {"X-Hop"},
		"X-Hop":         {"1"},
		"X-Kept":        {"2"},
	}
	forwarded := caller.forwardedHeader(header)
	if len(forwarded) != 1 || forwarded.Get("X-Kept") != "2" {
		t.Fatalf("got forwarded header %v", forwarded)
	}
	if header.Get("Authorization") == "" {
		t.Fatal("the header of the request was changed")
	}
}

// Guards against parsers that reject a prompt given as a list or the newer name of the
// token limit, or that accept a chat without messages.
func TestBothPromptFormsAreParsed(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		parse := parseCompletion
		body := `{"model":"m","prompt":["a"],"max_tokens":3,"stream":true}`
		if strings.Contains(path, "chat") {
			parse = parseChat
			body = `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_completion_tokens":3,"stream":true}`
		}
		request, err := parse([]byte(body))
		if err != nil || request.MaxTokens != 3 || !request.Stream {
			t.Fatalf("%s: got request %+v, error %v", path, request, err)
		}
	}
	if _, err := parseChat([]byte(`{"model":"m","messages":[]}`)); err == nil {
		t.Fatal("parseChat accepted a request without messages")
	}
}

// Guards against a prompt that no agent accepts being reported as possibly run, or
// without the time after which the caller may retry.
func TestNoUpstreamIsReportedAsNotRun(t *testing.T) {
	failure := errorFromCause(fault.Wrap(picker.ErrNoUpstream, "place", "models"), "place")
	if failure.Code != "no_upstream" || failure.Run != RunStateNotRun || failure.Status != 503 || failure.RetryAfter == 0 {
		t.Fatalf("got error %+v", failure)
	}
}

// Guards against an error of unknown cause being reported as not run: the caller would
// repeat a request that may have run.
func TestUnknownErrorReportsUnknownRunState(t *testing.T) {
	failure := errorFromCause(errors.New("odd"), "run")
	if failure.Run != RunStateUnknown || failure.Code != "failed" || failure.Status != http.StatusBadGateway {
		t.Fatalf("got error %+v", failure)
	}
}
