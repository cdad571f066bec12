package app

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/tlsconf/tlstest"
	"go.uber.org/fx"
)

// readStream returns the text of a stream and whether its end mark arrived. It calls
// onFirstText, unless nil, once after the first text.
func readStream(t *testing.T, body io.Reader, onFirstText func()) (text string, complete bool) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("parse error %v in chunk %q", err, data)
		}
		for _, choice := range chunk.Choices {
			text += choice.Text
		}
		if onFirstText != nil && text != "" {
			onFirstText()
			onFirstText = nil
		}
	}
	return text, false
}

// TestGracefulStopCutsNoStream stops one of two agents and one of two routers while
// streams run, once without TLS and once with mutual TLS. It fails if a stream is
// truncated because a process stops before its streams have finished.
func TestGracefulStopCutsNoStream(t *testing.T) {
	for _, useTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%v", useTLS), func(t *testing.T) {
			var files tlsconf.Files
			if useTLS {
				files = tlstest.NewAuthority(t).Issue(t, t.TempDir())
			}
			testGracefulStop(t, newTestFleet(t, files))
		})
	}
}

func testGracefulStop(t *testing.T, f *testFleet) {
	const tokens, streams = 60, 6
	firstRouter, first := f.startRouter("router-1", f.seed)
	secondRouter, second := f.startRouter("router-2", testhost.Free(t))
	agents := []*fx.App{f.startEngine("engine-1"), f.startEngine("engine-2")}
	f.publish(first, second)

	started := make(chan struct{}, streams)
	finished := make(chan error, streams)
	for i := range streams {
		prompt := fmt.Sprintf("notice to vessel %d", i)
		router := []*RouterSettings{first, second}[i%2]
		body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, fleetModel, prompt, tokens)
		go func() {
			response := f.post(router, "/v1/completions", body, nil)
			defer func() { _ = response.Body.Close() }()
			text, complete := readStream(t, response.Body, func() { started <- struct{}{} })
			want := answer.Text([]byte(prompt), tokens)
			if !complete || text != want {
				finished <- fmt.Errorf("stream %d: complete %v, text %q, want %q", i, complete, text, want)
				return
			}
			finished <- nil
		}()
	}
	for range streams {
		<-started
	}
	stopped := make(chan struct{}, 2)
	for _, app := range []*fx.App{agents[0], secondRouter} {
		go func() {
			stop(t, app)
			stopped <- struct{}{}
		}()
	}
	for range streams {
		if err := <-finished; err != nil {
			t.Error(err)
		}
	}
	<-stopped
	<-stopped
	// The remaining router and agent still serve.
	requirePrompt(t, f, first)
	stop(t, firstRouter)
	stop(t, agents[1])
}

// A router that restarts while the store is unreachable can read neither the
// configuration nor its entry slot from the store. The test fails if it does not recover
// them from the other router and the agent.
func TestRestartedRouterServesWhileTheStoreIsDown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	app, settings := f.startRouter("router-1", f.seed)
	other, otherSettings := f.startRouter("router-2", testhost.Free(t))
	agent := f.startEngine("engine-1")
	f.extendStaleAfter(maxTestOutage)
	f.publish(settings, otherSettings)
	requirePrompt(t, f, settings)
	f.awaitSlotWitness(f.addresses["engine-1"], 2)
	f.setStoreDown(true)
	stop(t, app)
	app, settings = f.startRouter("router-1", f.seed)
	f.awaitReady(settings)
	requirePrompt(t, f, settings)
	for _, running := range []*fx.App{app, other, agent} {
		stop(t, running)
	}
}

// maxTestOutage is longer than the outage of the store in any test.
const maxTestOutage = 5 * time.Minute

// requirePrompt runs a prompt through a router and requires status 200.
func requirePrompt(t *testing.T, f *testFleet, router *RouterSettings) {
	t.Helper()
	response := f.post(router, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":2}`, fleetModel), nil)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("prompt: got status %s, want 200", response.Status)
	}
}

// Repeats of a charge with one idempotency key arrive through different routers, and two
// agents serve the pool. The test fails if the charge runs more than once, if the answers
// differ, or if a caller's credentials reach a service.
func TestChargeRunsOnceThroughTwoRouters(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	firstRouter, first := f.startRouter("router-1", f.seed)
	secondRouter, second := f.startRouter("router-2", testhost.Free(t))
	firstAgent, firstService := f.startService("billing-1")
	secondAgent, secondService := f.startService("billing-2")
	f.publish(first, second)
	header := http.Header{"Idempotency-Key": {"k-1"}}
	var answers []string
	for _, router := range []*RouterSettings{first, second, first} {
		response := f.post(router, "/charges", `{"id":"berth-1","account":"v","amount":5}`, header)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("charge: status %s, body %s, error %v", response.Status, text, err)
		}
		answers = append(answers, string(text))
	}
	executions, credentials := 0, 0
	for _, service := range []*plainsvc.Manager{firstService, secondService} {
		ledger := service.Ledger()
		credentials += ledger.Credentials
		for _, entry := range ledger.Entries {
			executions += entry.Executions
		}
	}
	if executions != 1 || answers[0] != answers[1] || answers[1] != answers[2] {
		t.Errorf("charge ran %d times with answers %q, want one execution and equal answers", executions, answers)
	}
	if credentials != 0 {
		t.Errorf("services received %d credentials of callers, want 0", credentials)
	}
	for _, app := range []*fx.App{firstRouter, secondRouter, firstAgent, secondAgent} {
		stop(t, app)
	}
}

// TestServiceAgentStopsWhileTheStoreIsDown checks that an agent's stop is not delayed by
// shards that it can't hand over because the store is unreachable. The agent's next
// incarnation takes such shards over.
func TestServiceAgentStopsWhileTheStoreIsDown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	routerApp, router := f.startRouter("router-1", f.seed)
	agent, _ := f.startService("billing-1")
	f.publish(router)
	response := f.post(router, "/charges", `{"id":"berth-1","account":"v","amount":5}`, http.Header{"Idempotency-Key": {"k-1"}})
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("charge: got status %s, want 200", response.Status)
	}
	f.setStoreDown(true)
	stop(t, agent)
	stop(t, routerApp)
}
