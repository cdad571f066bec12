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
	// longTokens is the length of prompts that would run for minutes.
	longTokens = 8000
	pollPause  = 5 * time.Millisecond
	// atEngine is how many requests an agent lets an engine with batches of 8 run at once.
	atEngine = 6
)

// await polls until a condition holds. The test's own timeout bounds it.
func await(t *testing.T, condition func() bool) {
	for t.Context().Err() == nil && !condition() {
		time.Sleep(pollPause)
	}
}

// running returns the number of requests that run on an engine.
func (f *testFleet) running(name string) int {
	load, err := f.engines[name].Load(f.t.Context())
	if err != nil {
		return -1
	}
	return load.Running
}

// queued returns the number of requests that wait in an engine's agent.
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

// send starts a streamed prompt with a key and returns once its answer begins.
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

// errorOf returns the code and the run state of an error answer.
func errorOf(t *testing.T, body io.Reader) (code, run string) {
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

// engineOf returns the engine that runs the only request, and another one.
func (f *testFleet) engineOf() (busy, other string) {
	await(f.t, func() bool { return f.running("engine-1")+f.running("engine-2") == 1 })
	if f.running("engine-1") == 1 {
		return "engine-1", "engine-2"
	}
	return "engine-2", "engine-1"
}

// beginStream starts a streamed prompt and reads its first text. The channel
// gives what is wrong with the whole stream, "" when it is exact and complete.
func (f *testFleet) beginStream(router *RouterSettings, prompt string, tokens int) <-chan string {
	begun, result := make(chan struct{}), make(chan string, 1)
	go func() {
		response, err := f.send(f.t.Context(), router, fleetSecret, prompt, tokens)
		if err != nil {
			result <- err.Error()
			close(begun)
			return
		}
		defer func() { _ = response.Body.Close() }()
		text, complete := readStream(f.t, response.Body, func() { close(begun) })
		result <- streamFault(prompt, tokens, text, complete)
	}()
	<-begun
	return result
}

func streamFault(prompt string, tokens int, text string, complete bool) string {
	want := answer.Text([]byte(prompt), int64(tokens))
	if complete && text == want {
		return ""
	}
	return fmt.Sprintf("complete %v, %d bytes of %d, equal as far as they go: %v",
		complete, len(text), len(want), len(text) <= len(want) && want[:len(text)] == text)
}

// complete runs a prompt to its end.
func (f *testFleet) complete(router *RouterSettings, prompt string) {
	f.t.Helper()
	response := f.post(router, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":2}`, fleetModel, prompt), nil)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("got %s", response.Status)
	}
}

// placed runs a short prompt and returns the engine that served it, and the other.
func (f *testFleet) placed(router *RouterSettings) (chosen, other string) {
	f.t.Helper()
	before := f.engines["engine-1"].Stats().Completed
	f.complete(router, "x")
	if f.engines["engine-1"].Stats().Completed > before {
		return "engine-1", "engine-2"
	}
	return "engine-2", "engine-1"
}

func TestDrainedUpstreamFinishesAndGetsNoNewWork(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.router("router-1", f.seed)
	agents := []*fx.App{f.engine("engine-1"), f.engine("engine-2")}
	f.publish(router)
	requirePrompt(t, f, router)
	var streams []<-chan string
	for f.running("engine-1") == 0 || f.running("engine-2") == 0 {
		streams = append(streams, f.beginStream(router, fmt.Sprint("long ", len(streams)), 250))
	}
	// The upstream that new work prefers is the one to drain.
	drained, other := f.placed(router)
	admitted := f.engines[drained].Stats().Admitted

	code := ctl.Run([]string{"drain", "-server", "http://" + router.Operators.Listen, drained}, io.Discard, os.Stderr)
	if code != ctl.ExitOK {
		t.Fatalf("drain ended with %d", code)
	}
	before := f.engines[other].Stats().Completed
	const prompts = 10
	for range prompts {
		f.complete(router, "x")
	}
	if got := f.engines[other].Stats().Completed - before; got < prompts {
		t.Errorf("%d of %d prompts ran on the upstream that was left", got, prompts)
	}
	for _, stream := range streams {
		if wrong := <-stream; wrong != "" {
			t.Error(wrong)
		}
	}
	if got := f.engines[drained].Stats().Admitted - admitted; got > 0 {
		t.Errorf("the drained upstream admitted %d requests after the drain", got)
	}
	for _, each := range append(agents, app) {
		stop(t, each)
	}
}

// TestStreamOutlivesItsUpstream loses the engine or the agent that serves a
// stream, and requires the exact text.
func TestStreamOutlivesItsUpstream(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.router("router-1", f.seed)
	agents := []*fx.App{f.engine("engine-1"), f.engine("engine-2")}
	f.publish(router)
	requirePrompt(t, f, router)

	stream := f.beginStream(router, "through a crash of its engine", 100)
	busy, _ := f.engineOf()
	f.engines[busy].Crash()
	if wrong := <-stream; wrong != "" {
		t.Errorf("engine crashed: %s", wrong)
	}
	await(t, func() bool { return f.running(busy) == 0 })

	stream = f.beginStream(router, "through the loss of its agent", 100)
	busy, other := f.engineOf()
	f.cutInner(busy)
	if wrong := <-stream; wrong != "" {
		t.Errorf("agent lost: %s", wrong)
	}
	await(t, func() bool { return f.running(busy) == 0 && f.running(other) == 0 })
	for _, each := range append(agents, app) {
		stop(t, each)
	}
}

func TestEngineStopsWhenTheCallerLeaves(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.router("router-1", f.seed)
	agent := f.engine("engine-1")
	f.publish(router)
	requirePrompt(t, f, router)
	before := f.engines["engine-1"].Stats().Completed
	ctx, leave := context.WithCancel(t.Context())
	response, err := f.send(ctx, router, fleetSecret, "x", longTokens)
	if err != nil {
		t.Fatal(err)
	}
	await(t, func() bool { return f.running("engine-1") == 1 })
	leave()
	_ = response.Body.Close()
	await(t, func() bool { return f.running("engine-1") == 0 })
	if got := f.engines["engine-1"].Stats().Completed - before; got != 0 {
		t.Error("the engine completed the request of a caller that had left")
	}
	stop(t, app)
	stop(t, agent)
}

func TestLostAnswerOfAChargeIsUnknown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, router := f.router("router-1", f.seed)
	agent, service := f.service("billing-1")
	f.publish(router)
	for i, key := range []string{"", "k-1"} {
		header := http.Header{}
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		body := fmt.Sprintf(`{"id":"berth-%d","account":"v","amount":5}`, i)
		// A first call proves that the way is open.
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
			_, run := errorOf(t, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < http.StatusInternalServerError || run != "unknown" {
				t.Errorf("key %q, repeat %d: %s, run %q", key, repeat, response.Status, run)
			}
		}
		for _, entry := range service.Ledger().Entries {
			if entry.ID == fmt.Sprintf("berth-%d", i) && entry.Executions != 1 {
				t.Errorf("key %q: %d executions", key, entry.Executions)
			}
		}
		if got := len(service.Ledger().Entries); got != 2*(i+1) {
			t.Errorf("%d charges in the ledger", got)
		}
	}
	stop(t, app)
	stop(t, agent)
}

// charge makes one call, without repeats.
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
