package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/publish"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"go.uber.org/fx"
)

// withdrawal returns the change that withdraws the fleet's key.
func (f *testFleet) withdrawal() publish.Change {
	for _, change := range f.changes {
		if change.Kind != object.KindKey || change.Name != "agent-1" {
			continue
		}
		spec := bytes.Replace(change.Spec, []byte(`"active"`), []byte(`"withdrawn"`), 1)
		return publish.Change{Kind: change.Kind, Name: change.Name, Spec: spec}
	}
	f.t.Fatal("the demo configuration has no key named agent-1")
	return publish.Change{}
}

// runPrompt runs a short prompt and returns its status. reused reports whether the
// request used a connection that was already open.
func runPrompt(t *testing.T, client *http.Client, router *RouterSettings) (status int, reused bool) {
	t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":1}`, fleetModel)
	url := fmt.Sprintf("http://%s/v1/completions", router.CallersListen.Listen)
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleetSecret)
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, reused
}

// TestWithdrawnKeyStopsConnectedCallers withdraws a key through one router while its
// caller is connected to the other: on an idle connection, with a running stream, and
// with a prompt that waits in an agent. It fails if one of them keeps working with the
// key, or if requests with another key end.
func TestWithdrawnKeyStopsConnectedCallers(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	firstRouter, first := f.startRouter("router-1", f.seed)
	secondRouter, second := f.startRouter("router-2", testhost.Free(t))
	agent := f.startEngine("engine-1")
	f.publish(first, second)
	requirePrompt(t, f, second)
	idle := &http.Client{Transport: new(http.Transport)}
	if status, _ := runPrompt(t, idle, second); status != http.StatusOK {
		t.Fatalf("prompt: got status %d, want 200", status)
	}

	pilots, disconnectPilots := context.WithCancel(t.Context())
	defer disconnectPilots()
	for i := range runningLimit - 1 {
		response, err := f.send(pilots, second, pilotSecret, fmt.Sprint("pilot ", i), longTokens)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response, err)
		}
		defer func() { _ = response.Body.Close() }()
	}
	stream, err := f.send(t.Context(), second, fleetSecret, "running", longTokens)
	if err != nil || stream.StatusCode != http.StatusOK {
		t.Fatal(stream, err)
	}
	defer func() { _ = stream.Body.Close() }()
	waitingCode := make(chan string, 1)
	go func() {
		response, err := f.send(t.Context(), second, fleetSecret, "waiting", longTokens)
		if err != nil {
			waitingCode <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		code, _ := decodeError(t, response.Body)
		waitingCode <- code
	}()
	await(t, func() bool { return f.running("engine-1") == runningLimit && f.queued("engine-1") == 1 })

	f.change(first, f.withdrawal())
	remainder, err := io.ReadAll(stream.Body)
	if err != nil || !bytes.Contains(remainder, []byte(`"key_withdrawn"`)) || bytes.Contains(remainder, []byte("[DONE]")) {
		t.Errorf("the running stream ended with error %v and text %q, want code key_withdrawn", err, remainder[max(0, len(remainder)-300):])
	}
	if code := <-waitingCode; code != "key_withdrawn" {
		t.Errorf("the waiting prompt got code %q, want key_withdrawn", code)
	}
	if status, reused := runPrompt(t, idle, second); status != http.StatusUnauthorized || !reused {
		t.Errorf("request on the idle connection: got status %d, reused connection %v; want 401 on the same connection", status, reused)
	}
	// The engine continues only the requests with the other key.
	await(t, func() bool { return f.running("engine-1") == runningLimit-1 && f.queued("engine-1") == 0 })
	disconnectPilots()
	await(t, func() bool { return f.running("engine-1") == 0 })
	for _, app := range []*fx.App{firstRouter, secondRouter, agent} {
		stop(t, app)
	}
}

// getStatus sends a GET request. It returns the status, and the error code if the
// response states that nothing has run.
func (f *testFleet) getStatus(router *RouterSettings, path, secret string) (status int, code string) {
	url := fmt.Sprintf("http://%s%s", router.CallersListen.Listen, path)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, url, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("X-Greengage-Run") != "not-run" {
		return response.StatusCode, ""
	}
	code, _ = decodeError(f.t, response.Body)
	return response.StatusCode, code
}

// TestCutOffRouterRefusesKeyedRoutes cuts a router off from the store and from all peers.
// The router can't learn of withdrawn keys any more, so it must refuse keyed routes with
// the code config_stale, and only those.
func TestCutOffRouterRefusesKeyedRoutes(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	f.editFleet(func(fleet *object.Fleet) { fleet.StaleAfter = object.Duration(5 * time.Second) })
	firstRouter, first := f.startRouter("router-1", f.seed)
	var cutOff atomic.Bool
	platform := f.platform.Handler()
	ownStore := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cutOff.Load() {
			panic(http.ErrAbortHandler)
		}
		platform.ServeHTTP(w, r)
	}))
	defer ownStore.Close()
	f.storeURL = ownStore.URL
	secondRouter, second := f.startRouter("router-2", testhost.Free(t))
	agent, _ := f.startService("billing-1")
	f.publish(first, second)
	const keyed, open = "/balances/v", "/tariffs/berth"
	await(t, func() bool {
		status, _ := f.getStatus(second, keyed, fleetSecret)
		return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	})
	cutOff.Store(true)
	_ = ownStore.Listener.Close()
	ownStore.CloseClientConnections()
	f.cutInner("router-2")
	await(t, func() bool {
		_, code := f.getStatus(second, keyed, fleetSecret)
		return code == "config_stale"
	})
	if status, code := f.getStatus(second, open, ""); code == "config_stale" {
		t.Errorf("open route: got status %d and code %s, want another code", status, code)
	}
	if status, code := f.getStatus(first, keyed, fleetSecret); code != "" {
		t.Errorf("keyed route at the connected router: got status %d and code %s, want no refusal", status, code)
		f.logState(first)
	}
	for _, running := range []*fx.App{firstRouter, agent} {
		stop(t, running)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_ = secondRouter.Stop(ctx)
}

// TestStatusAsksEachProcess checks that the status shows the published revision for each
// process, and shows an agent as draining or leaving while it stops and a stream still
// runs on it.
func TestStatusAsksEachProcess(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	firstRouter, first := f.startRouter("router-1", f.seed)
	secondRouter, second := f.startRouter("router-2", testhost.Free(t))
	agent := f.startEngine("engine-1")
	f.publish(first, second)
	requirePrompt(t, f, first)
	await(t, func() bool {
		answered := 0
		for _, p := range f.status(first).Processes {
			if p.Answered && p.Revision == 1 && !p.Draining {
				answered++
			}
		}
		return answered == 3
	})
	stream := f.beginStream(first, "long", 150)
	stopped := make(chan struct{})
	go func() {
		stop(t, agent)
		close(stopped)
	}()
	await(t, func() bool {
		for _, p := range f.status(first).Processes {
			if p.Process == "agent-engine-1" && (p.Draining || p.State == "leaving") {
				return true
			}
		}
		return false
	})
	if mismatch := <-stream; mismatch != "" {
		t.Error(mismatch)
	}
	<-stopped
	stop(t, firstRouter)
	stop(t, secondRouter)
}

// status returns the fleet's status as a router reports it to operators.
func (f *testFleet) status(router *RouterSettings) publish.Status {
	response, err := http.Get("http://" + router.Operators.Listen + "/operator/v1/status")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var status publish.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		f.t.Fatal(err)
	}
	return status
}
