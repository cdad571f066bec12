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

// withdrawal withdraws the key that the fleet's tests use.
func (f *testFleet) withdrawal() publish.Change {
	for _, change := range f.changes {
		if change.Kind != object.KindKey || change.Name != "agent-1" {
			continue
		}
		spec := bytes.Replace(change.Spec, []byte(`"active"`), []byte(`"withdrawn"`), 1)
		return publish.Change{Kind: change.Kind, Name: change.Name, Spec: spec}
	}
	f.t.Fatal("the demo's objects have no such key")
	return publish.Change{}
}

// onConnection runs a short prompt and reports its status and whether the
// client's connection was already open.
func onConnection(t *testing.T, client *http.Client, router *RouterSettings) (status int, reused bool) {
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

// TestWithdrawnKeyStopsConnectedCallers withdraws a key through one router
// while its caller is connected to the other: on an idle connection, with a
// running stream, and with a prompt that waits in an agent.
func TestWithdrawnKeyStopsConnectedCallers(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	firstRouter, first := f.router("router-1", f.seed)
	secondRouter, second := f.router("router-2", testhost.Free(t))
	agent := f.engine("engine-1")
	f.publish(first, second)
	requirePrompt(t, f, second)
	idle := &http.Client{Transport: new(http.Transport)}
	if status, _ := onConnection(t, idle, second); status != http.StatusOK {
		t.Fatalf("got %d", status)
	}

	pilots, leave := context.WithCancel(t.Context())
	defer leave()
	for i := range atEngine - 1 {
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
	waiting := make(chan string, 1)
	go func() {
		response, err := f.send(t.Context(), second, fleetSecret, "waiting", longTokens)
		if err != nil {
			waiting <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		code, _ := errorOf(t, response.Body)
		waiting <- code
	}()
	await(t, func() bool { return f.running("engine-1") == atEngine && f.queued("engine-1") == 1 })

	f.change(first, f.withdrawal())
	rest, err := io.ReadAll(stream.Body)
	if err != nil || !bytes.Contains(rest, []byte(`"key_withdrawn"`)) || bytes.Contains(rest, []byte("[DONE]")) {
		t.Errorf("the running stream ended with %v and %q", err, rest[max(0, len(rest)-300):])
	}
	if code := <-waiting; code != "key_withdrawn" {
		t.Errorf("the waiting prompt got %q", code)
	}
	if status, reused := onConnection(t, idle, second); status != http.StatusUnauthorized || !reused {
		t.Errorf("the idle connection got %d, same connection %v", status, reused)
	}
	// The engine goes on with the others' work alone.
	await(t, func() bool { return f.running("engine-1") == atEngine-1 && f.queued("engine-1") == 0 })
	leave()
	await(t, func() bool { return f.running("engine-1") == 0 })
	for _, app := range []*fx.App{firstRouter, secondRouter, agent} {
		stop(t, app)
	}
}

// get makes an idempotent call. It returns the status, and the code of a refusal
// that says that nothing has run.
func (f *testFleet) get(router *RouterSettings, path, secret string) (status int, code string) {
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
	code, _ = errorOf(f.t, response.Body)
	return response.StatusCode, code
}

// TestCutOffRouterRefusesKeyedRoutes cuts a router off from the store and from
// all peers. It can't hear of withdrawn keys any more, so it must refuse keyed
// routes, and only those, for this reason.
func TestCutOffRouterRefusesKeyedRoutes(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	f.editFleet(func(fleet *object.Fleet) { fleet.StaleAfter = object.Duration(5 * time.Second) })
	firstRouter, first := f.router("router-1", f.seed)
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
	secondRouter, second := f.router("router-2", testhost.Free(t))
	agent, _ := f.service("billing-1")
	f.publish(first, second)
	const keyed, open = "/balances/v", "/tariffs/berth"
	await(t, func() bool {
		status, _ := f.get(second, keyed, fleetSecret)
		return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	})
	cutOff.Store(true)
	_ = ownStore.Listener.Close()
	ownStore.CloseClientConnections()
	f.cutInner("router-2")
	await(t, func() bool {
		_, code := f.get(second, keyed, fleetSecret)
		return code == "config_stale"
	})
	if status, code := f.get(second, open, ""); code == "config_stale" {
		t.Errorf("the open route got %d %s", status, code)
	}
	if status, code := f.get(first, keyed, fleetSecret); code != "" {
		t.Errorf("the router that is not cut off got %d %s", status, code)
		f.report(first)
	}
	for _, each := range []*fx.App{firstRouter, agent} {
		stop(t, each)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_ = secondRouter.Stop(ctx)
}

// TestStatusAsksEachProcess compares the status with what was published, and
// looks at an agent that stops while a stream runs on it.
func TestStatusAsksEachProcess(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	firstRouter, first := f.router("router-1", f.seed)
	secondRouter, second := f.router("router-2", testhost.Free(t))
	agent := f.engine("engine-1")
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
	if wrong := <-stream; wrong != "" {
		t.Error(wrong)
	}
	<-stopped
	stop(t, firstRouter)
	stop(t, secondRouter)
}

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
