package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/ctl"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"go.uber.org/fx"
)

const (
	pilotSecret = "demo-pilot-key"
	// longTokens is the length, in tokens, of an answer that takes minutes to generate.
	longTokens   = 8000
	pollInterval = 5 * time.Millisecond
	// runningLimit is how many requests an agent lets run at once on an engine with a
	// batch limit of 8.
	runningLimit = 6
)

// await polls until a condition holds or the test's context ends.
func await(t *testing.T, condition func() bool) {
	for t.Context().Err() == nil && !condition() {
		time.Sleep(pollInterval)
	}
}

// running returns the number of requests that run on an engine, or -1 if the engine
// does not answer.
func (f *testFleet) running(name string) int {
	load, err := f.engines[name].Load(f.t.Context())
	if err != nil {
		return -1
	}
	return load.Running
}

// queued returns the number of requests that wait in an engine's agent, or -1 if the
// agent does not answer.
func (f *testFleet) queued(name string) int {
	stream, err := f.nodes[name].Pool.Open(f.t.Context(), f.addresses[name], wirepb.Kind_KIND_PROBE, "test")
	if err != nil {
		return -1
	}
	defer func() { _ = stream.Close() }()
	reply := new(wirepb.ProbeReply)
	if stream.Send(&wirepb.ProbeRequest{Model: fleetModel, Weights: "v1"}) != nil || stream.Recv(reply) != nil {
		return -1
	}
	return int(reply.Queued)
}

// send starts a streamed prompt with a key and returns once the response begins.
func (f *testFleet) send(ctx context.Context, router *RouterSettings, secret, prompt string, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, fleetModel, prompt, tokens)
	url := fmt.Sprintf("http://%s/v1/completions", router.CallersListen.Listen)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	return http.DefaultClient.Do(request)
}

// decodeError returns the code and the run state of an error response.
func decodeError(t *testing.T, body io.Reader) (code, run string) {
	t.Helper()
	var answer struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		t.Error(err)
	}
	return answer.Error.Code, answer.Error.Run
}

// busyEngine waits until exactly one request runs on the two engines. It returns the
// engine that runs it and the other engine.
func (f *testFleet) busyEngine() (busy, other string) {
	await(f.t, func() bool { return f.running("engine-1")+f.running("engine-2") == 1 })
	if f.running("engine-1") == 1 {
		return "engine-1", "engine-2"
	}
	return "engine-2", "engine-1"
}

// beginStream starts a streamed prompt and returns once its first text has arrived. The
// channel receives the result of streamMismatch for the whole stream, or the error of
// the request.
func (f *testFleet) beginStream(router *RouterSettings, prompt string, tokens int) <-chan string {
	firstText, result := make(chan struct{}), make(chan string, 1)
	go func() {
		response, err := f.send(f.t.Context(), router, fleetSecret, prompt, tokens)
		if err != nil {
			result <- err.Error()
			close(firstText)
			return
		}
		defer func() { _ = response.Body.Close() }()
		text, complete := readStream(f.t, response.Body, func() { close(firstText) })
		result <- streamMismatch(prompt, tokens, text, complete)
	}()
	<-firstText
	return result
}

// streamMismatch describes how a stream differs from the expected text. It returns ""
// when the stream is exact and complete.
func streamMismatch(prompt string, tokens int, text string, complete bool) string {
	want := answer.Text([]byte(prompt), int64(tokens))
	if complete && text == want {
		return ""
	}
	return fmt.Sprintf("complete %v, received %d bytes of %d, received bytes are a prefix of the expected text: %v",
		complete, len(text), len(want), len(text) <= len(want) && want[:len(text)] == text)
}

// requireCompletion runs a prompt to its end and requires status 200.
func (f *testFleet) requireCompletion(router *RouterSettings, prompt string) {
	f.t.Helper()
	response := f.post(router, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":2}`, fleetModel, prompt), nil)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("prompt: got status %s, want 200", response.Status)
	}
}

// servingEngine runs a short prompt. It returns the engine that served it and the other
// engine.
func (f *testFleet) servingEngine(router *RouterSettings) (chosen, other string) {
	f.t.Helper()
	before := f.engines["engine-1"].Stats().Completed
	f.requireCompletion(router, "x")
	if f.engines["engine-1"].Stats().Completed > before {
		return "engine-1", "engine-2"
	}
	return "engine-2", "engine-1"
}

// The drained upstream is the one that the router prefers for new requests. The test fails
// if it admits a request after the drain, or if the drain breaks a running stream.
func TestDrainedUpstreamFinishesAndGetsNoNewWork(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.startRouter("router-1", f.seed)
	agents := []*fx.App{f.startEngine("engine-1"), f.startEngine("engine-2")}
	f.publish(router)
	requirePrompt(t, f, router)
	var streams []<-chan string
	for f.running("engine-1") == 0 || f.running("engine-2") == 0 {
		streams = append(streams, f.beginStream(router, fmt.Sprint("long ", len(streams)), 250))
	}
	// Drain the upstream that the router prefers for new requests.
	drained, other := f.servingEngine(router)
	admitted := f.engines[drained].Stats().Admitted

	code := ctl.Run([]string{"drain", "-server", "http://" + router.Operators.Listen, drained}, nil, io.Discard, os.Stderr)
	if code != ctl.ExitOK {
		t.Fatalf("drain command exited with code %d", code)
	}
	before := f.engines[other].Stats().Completed
	const prompts = 10
	for range prompts {
		f.requireCompletion(router, "x")
	}
	if got := f.engines[other].Stats().Completed - before; got < prompts {
		t.Errorf("%d of %d prompts ran on the remaining upstream", got, prompts)
	}
	for _, stream := range streams {
		if mismatch := <-stream; mismatch != "" {
			t.Error(mismatch)
		}
	}
	if got := f.engines[drained].Stats().Admitted - admitted; got > 0 {
		t.Errorf("the drained upstream admitted %d requests after the drain", got)
	}
	for _, running := range append(agents, app) {
		stop(t, running)
	}
}

// TestStreamSurvivesLossOfItsUpstream crashes the engine that serves a stream, then cuts
// off the agent that serves another. It fails if the router does not continue the stream
// elsewhere with exactly the expected text, or if an abandoned request keeps running.
func TestStreamSurvivesLossOfItsUpstream(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.startRouter("router-1", f.seed)
	agents := []*fx.App{f.startEngine("engine-1"), f.startEngine("engine-2")}
	f.publish(router)
	requirePrompt(t, f, router)

	stream := f.beginStream(router, "through a crash of its engine", 100)
	busy, _ := f.busyEngine()
	f.engines[busy].Crash()
	if mismatch := <-stream; mismatch != "" {
		t.Errorf("engine crashed: %s", mismatch)
	}
	await(t, func() bool { return f.running(busy) == 0 })

	stream = f.beginStream(router, "through the loss of its agent", 100)
	busy, other := f.busyEngine()
	f.cutInner(busy)
	if mismatch := <-stream; mismatch != "" {
		t.Errorf("stream after its agent became unreachable: %s", mismatch)
	}
	await(t, func() bool { return f.running(busy) == 0 && f.running(other) == 0 })
	for _, running := range append(agents, app) {
		stop(t, running)
	}
}

// A caller disconnects while its prompt runs. The test fails if the cancellation does not
// reach the engine, which would generate the rest of the answer for nobody.
func TestEngineStopsWhenTheCallerDisconnects(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.startRouter("router-1", f.seed)
	agent := f.startEngine("engine-1")
	f.publish(router)
	requirePrompt(t, f, router)
	before := f.engines["engine-1"].Stats().Completed
	ctx, cancel := context.WithCancel(t.Context())
	response, err := f.send(ctx, router, fleetSecret, "x", longTokens)
	if err != nil {
		t.Fatal(err)
	}
	await(t, func() bool { return f.running("engine-1") == 1 })
	cancel()
	_ = response.Body.Close()
	await(t, func() bool { return f.running("engine-1") == 0 })
	if got := f.engines["engine-1"].Stats().Completed - before; got != 0 {
		t.Error("the engine completed the request of a caller that had disconnected")
	}
	stop(t, app)
	stop(t, agent)
}

// A service crashes after it has executed a charge and before it answers. The test fails if
// the router reports another run state than unknown, or if a repeat with the idempotency
// key executes the charge again.
func TestLostAnswerOfAChargeIsUnknown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.startRouter("router-1", f.seed)
	agent, service := f.startService("billing-1")
	f.publish(router)
	for i, key := range []string{"", "k-1"} {
		header := http.Header{}
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		body := fmt.Sprintf(`{"id":"berth-%d","account":"v","amount":5}`, i)
		// A first call proves that the service is reachable.
		open := f.post(router, "/charges", fmt.Sprintf(`{"id":"open-%d","account":"v","amount":5}`, i), nil)
		_ = open.Body.Close()
		if open.StatusCode != http.StatusOK {
			t.Fatal(open.Status)
		}
		service.Crash(plainsvc.CrashAfter)
		for repeat := range 2 {
			if key == "" && repeat > 0 {
				break
			}
			response := f.charge(router, body, header)
			_, run := decodeError(t, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < http.StatusInternalServerError || run != "unknown" {
				t.Errorf("key %q, repeat %d: got status %s and run %q, want a 5xx status and run \"unknown\"", key, repeat, response.Status, run)
			}
		}
		for _, entry := range service.Ledger().Entries {
			if entry.ID == fmt.Sprintf("berth-%d", i) && entry.Executions != 1 {
				t.Errorf("key %q: charge executed %d times, want once", key, entry.Executions)
			}
		}
		if got := len(service.Ledger().Entries); got != 2*(i+1) {
			t.Errorf("the ledger has %d charges, want two for each key", got)
		}
	}
	stop(t, app)
	stop(t, agent)
}

// charge sends one charge, without repeats.
func (f *testFleet) charge(router *RouterSettings, body string, header http.Header) *http.Response {
	url := fmt.Sprintf("http://%s/charges", router.CallersListen.Listen)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+fleetSecret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}
