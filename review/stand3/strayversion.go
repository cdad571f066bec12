package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// namedVersion is the version of the weights that the operator has named, strayVersion that of a
	// runner of another system.
	namedVersion, strayVersion = 3, 12
	// strayTime is how long the entry of that runner lies in the store.
	strayTime = 2 * time.Second
	// recoverTime is recover_s.
	recoverTime = 12 * time.Second
)

// modelRunner is a stand-in for a runner of a model.
type modelRunner struct {
	*runner
	orders atomic.Int32
	stray  atomic.Int32
}

// startModelRunner starts a runner of a model and enters it in the store's list.
func startModelRunner(s *stand, id string) *modelRunner {
	m := &modelRunner{runner: startServer(s, id)}
	m.calls, m.answer = m.handleCall, streamOf(namedVersion)
	s.store.put("servers", id, modelEntry(m.runner, namedVersion))
	return m
}

// streamOf answers with a stream that a version of the weights has made.
func streamOf(version int) func(w http.ResponseWriter, _ *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Greengagegate-Weight-Versions", strconv.Itoa(version))
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: verdict\n\n", i+1)
		}
	}
}

// modelEntry returns the entry of a runner of a model.
func modelEntry(r *runner, version int) map[string]any {
	entry := entryOf(r, "tarifa-llm", 64)
	entry["stage"] = "colocated"
	entry["models"] = []map[string]any{{"name": "tariffs", "version": version, "adapters": []string{}}}
	return entry
}

// handleCall answers orders, reports and requests for another version of the weights, and reports
// whether it has.
func (m *modelRunner) handleCall(w http.ResponseWriter, r *http.Request) bool {
	switch version := r.Header.Get("Greengagegate-Expect-Version"); {
	case r.URL.Path == "/api/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": []map[string]any{{"name": "tariffs", "version": namedVersion, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"queued": 0, "running": 0, "kv_used": 0, "kv_total": 164393, "handles": 0, "born": m.born,
		})
	case r.URL.Path == "/api/order":
		var order struct {
			Version int `json:"version"`
		}
		body, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(body, &order)
		m.orders.Add(1)
		status := http.StatusOK
		if order.Version != namedVersion {
			m.stray.Add(1)
			status = http.StatusBadRequest
		}
		m.record.add("runner %s answers %d to the order %s", m.id, status, body)
		w.WriteHeader(status)
	case version != "" && version != strconv.Itoa(namedVersion):
		m.record.add("runner %s answers 421 to a request for version %s", m.id, version)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		return false
	}
	return true
}

// modelConfig is a configuration with one route for a model.
func modelConfig() map[string]any {
	config := chargesConfig(1, 800*time.Millisecond)
	config["routes"] = []map[string]any{{
		"name": "tariff-check", "host": "dues.example", "path_prefix": "/tariffs/", "route_type": "stream", "service": "tarifa-llm",
		"timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "attempts": 2, "anonymous": false, "session_affinity": true, "can_resume": true, "gap_aim_ms": 250,
	}}
	config["services"] = []map[string]any{{
		"name": "tarifa-llm", "health_check": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"capacity": 64, "kv_capacity_tokens": 164393, "kv_token_bytes": 18432, "link_mbps": 370000.0, "max_in_flight": 12,
			"models": []map[string]any{{"name": "tariffs"}},
		},
	}}
	return config
}

// strayEntry lets another writer enter a runner of another system for a while; the entry lacks a
// field. Then all gateways are killed and start again.
func strayEntry(s *stand, trouble bool) (bool, error) {
	var runners []*modelRunner
	for i := range 4 {
		runners = append(runners, startModelRunner(s, "i-tarifa-"+strconv.Itoa(i+1)))
	}
	s.store.put("versions", "tariffs", map[string]any{"model": "tariffs", "version": namedVersion})
	s.store.put("config", "main", modelConfig())
	for range 2 {
		s.addGateway(nil)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	began := time.Now()
	before := s.checkTariffs("first", began.Add(3*time.Second))
	if trouble {
		elsewhere := startServer(s, "i-elsewhere-1")
		elsewhere.answer = streamOf(strayVersion)
		entry := modelEntry(elsewhere, strayVersion)
		delete(entry, "sequence")
		s.store.put("servers", "i-elsewhere-1", entry)
		s.record.add("another writer enters i-elsewhere-1, version %d; sequence is missing", strayVersion)
	}
	before.add(s.checkTariffs("beside", time.Now().Add(strayTime)))
	if trouble {
		s.store.remove("servers", "i-elsewhere-1")
		s.record.add("the entry of i-elsewhere-1 is removed")
	}
	before.add(s.checkTariffs("after", time.Now().Add(time.Second)))
	config := modelConfig()
	config["version"] = 2
	s.store.put("config", "main", config)
	s.record.add("the store acknowledges the configuration 2")
	for _, g := range s.gateways {
		g.stop()
	}
	s.record.add("all gateways are killed")
	time.Sleep(time.Second)
	for _, g := range s.gateways {
		g.restart()
	}
	s.record.add("all gateways start again")
	back := s.checkTariffs("back", time.Now().Add(recoverTime))
	late := s.checkTariffs("late", time.Now().Add(8*time.Second))
	s.record.add("served before the final fault: %v; within %v after the start: %v; later: %v", before, recoverTime, back, late)
	for _, r := range runners {
		s.record.add("runner %s got %d orders, %d of them for a version that nobody has named", r.id, r.orders.Load(), r.stray.Load())
	}
	return 4*before.served >= before.sent && 4*late.served < late.sent, nil
}

// tally counts requests.
type tally struct{ served, sent int }

func (t *tally) add(more tally) { t.served, t.sent = t.served+more.served, t.sent+more.sent }

// String implements fmt.Stringer.
func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.sent) }

// checkTariffs sends requests to the gateways in turn until an instant.
func (s *stand) checkTariffs(name string, end time.Time) tally {
	var counted tally
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		g := s.gateways[counted.sent%len(s.gateways)]
		id := fmt.Sprintf("%s-%d", name, counted.sent)
		request, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/tariffs/"+id, strings.NewReader("line"))
		if err != nil {
			panic(err)
		}
		for name, value := range map[string]string{
			"Greengagegate-Request-Id": id, "Greengagegate-Deadline-Ms": "4000", "Authorization": "Bearer key-of-agents-1",
			"Greengagegate-Model": "tariffs", "Greengagegate-Token-Usage": "1460,3", "Greengagegate-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		} {
			request.Header.Set(name, value)
		}
		request.Host = "dues.example"
		counted.sent++
		if s.send(newClient(), g, request) == http.StatusOK {
			counted.served++
		}
	}
	return counted
}
