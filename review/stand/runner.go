package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Order is an order that arrived at a runner.
type Order struct {
	At           time.Time
	Holder       string `json:"holder"`
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	FencingToken int64  `json:"fencing_token"`
	Precondition *int64 `json:"precondition"`
	// Status is that of the answer.
	Status int `json:"-"`
}

// Run is a request that a runner ran.
type Run struct {
	At      time.Time
	ID      string
	Tenant  string
	Tokens  int64
	Bodylen int
	// Salt is that of the request, and Reused are the parts of its prompt that the runner found
	// in its KV cache.
	Salt   string
	Reused []Part
}

// Part is a part of a prompt in the KV cache of a runner, and the request that made it.
type Part struct {
	ID, Tenant, Request string
}

// Runner is a stand-in for a runner: one of a model if Model is set, and of a plain service
// otherwise.
type Runner struct {
	ID, Service, Zone, Address string
	Model                      string
	// LoadTime is how long new weights take, Work how long a request takes. A stream sends
	// its pieces in that time.
	LoadTime, Work time.Duration
	Pieces         int
	// MemoryTokens is the memory of a model runner. Larger requests are rejected as if it were
	// full.
	MemoryTokens int64
	Capacity     int

	store *Store
	born  int64

	mu      sync.Mutex
	version int64
	loading bool
	orders  []Order
	done    int64
	runs    []Run
	running int
	// cache are the parts that the runner keeps, by salt and ID.
	cache map[string]Part
}

// Start lets the runner listen on a loopback address and register itself.
func (r *Runner) Start(store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.Address, r.store, r.born, r.version = listener.Addr().String(), store, time.Now().UnixMilli(), 1
	go func() { _ = http.Serve(listener, http.HandlerFunc(r.handle)) }()
	go func() {
		for {
			r.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// register writes the runner's entry in the store.
func (r *Runner) register() {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "capacity": r.Capacity,
		"state": "ready", "cold_remaining_ms": 0, "sequence": r.done, "born": r.born,
	}
	if r.Model != "" {
		entry["stage"] = "colocated"
		entry["models"] = r.models()
	}
	r.mu.Unlock()
	r.store.Put("servers", r.ID, entry)
}

func (r *Runner) models() []map[string]any {
	return []map[string]any{{"name": r.Model, "version": r.version, "adapters": []string{}}}
}

// Orders returns the orders that have arrived.
func (r *Runner) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

// Runs returns the requests that ran.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

func (r *Runner) handle(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Greengagegate-Instance-Id", r.ID)
	r.mu.Lock()
	w.Header().Set("Greengagegate-Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.Capacity))
	r.mu.Unlock()
	switch request.URL.Path {
	case "/healthz":
	case "/api/report":
		r.handleReport(w)
	case "/api/order":
		r.handleOrder(w, request)
	case "/api/kv-events":
		wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		next, _ := strconv.ParseInt(request.URL.Query().Get("since"), 10, 64)
		writeJSON(w, http.StatusOK, map[string]any{"boot_epoch": r.born, "next_page_token": next, "lost": false, "events": []any{}})
	case "/api/kv-list":
		writeJSON(w, http.StatusOK, map[string]any{"boot_epoch": r.born, "next_page_token": 0, "held": []any{}})
	default:
		r.handleRequest(w, request)
	}
}

func (r *Runner) handleReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": r.models(), "busy": r.loading, "sequence": r.done, "queued": 0, "running": r.running,
		"kv_used": 0, "kv_total": r.MemoryTokens, "handles": 0, "pinned": 0, "held": 0, "born": r.born, "state": "ready", "runs": []any{},
	})
}

func (r *Runner) handleOrder(w http.ResponseWriter, request *http.Request) {
	order := Order{At: time.Now()}
	body, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	order.Status = r.decide(request, &order)
	r.orders = append(r.orders, order)
	r.mu.Unlock()
	w.WriteHeader(order.Status)
}

// decide answers an order and begins to carry it out if it is accepted. r.mu must be held.
func (r *Runner) decide(request *http.Request, order *Order) int {
	switch instance := request.Header.Get("Greengagegate-Expect-Instance"); {
	case instance != "" && instance != r.ID:
		return http.StatusMisdirectedRequest
	case order.Holder == "" || order.FencingToken == 0 || order.Operation != "version" || order.Model != r.Model:
		return http.StatusBadRequest
	case r.loading, order.Precondition != nil && *order.Precondition != r.done:
		return http.StatusConflict
	case order.Version == r.version:
		return http.StatusOK
	}
	r.loading = true
	r.done++
	time.AfterFunc(r.LoadTime, func() {
		r.mu.Lock()
		r.loading, r.version, r.cache = false, order.Version, nil
		r.mu.Unlock()
		r.register()
	})
	return http.StatusAccepted
}

// reject answers a request that is not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Greengagegate-Not-Executed", "1")
	w.WriteHeader(status)
}

func tokensOf(header http.Header) int64 {
	prompt, output, _ := strings.Cut(header.Get("Greengagegate-Token-Usage"), ",")
	in, _ := strconv.ParseInt(prompt, 10, 64)
	out, _ := strconv.ParseInt(output, 10, 64)
	if in+out < in {
		return 1 << 62
	}
	return in + out
}

// readPrompt reads the parts of a request's prompt. Those that are cached under the same salt, if
// all before them are, are not read again. r.mu must be held.
func (r *Runner) readPrompt(run *Run, header http.Header) {
	if r.cache == nil {
		r.cache = make(map[string]Part)
	}
	run.Salt = header.Get("Greengagegate-Cache-Salt")
	isCached := true
	for _, field := range strings.Split(header.Get("Greengagegate-Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(field, ":")
		part, ok := r.cache[run.Salt+"/"+id]
		if isCached = isCached && ok; isCached {
			run.Reused = append(run.Reused, part)
			continue
		}
		r.cache[run.Salt+"/"+id] = Part{ID: id, Tenant: run.Tenant, Request: run.ID}
	}
}

func (r *Runner) handleRequest(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Greengagegate-Request-Id")
	w.Header().Set("Greengagegate-Request-Id", id)
	tokens := tokensOf(request.Header)
	r.mu.Lock()
	version := strconv.FormatInt(r.version, 10)
	wanted, instance := request.Header.Get("Greengagegate-Expect-Version"), request.Header.Get("Greengagegate-Expect-Instance")
	status := 0
	switch {
	case instance != "" && instance != r.ID, wanted != "" && wanted != version:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case r.loading, r.running >= r.Capacity, r.Model != "" && tokens > r.MemoryTokens:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		r.mu.Unlock()
		reject(w, status)
		return
	}
	r.running++
	run := Run{At: time.Now(), ID: id, Tenant: request.Header.Get("Greengagegate-Tenant-Id"), Tokens: tokens, Bodylen: len(body)}
	r.readPrompt(&run, request.Header)
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("Greengagegate-Response-Seal", "seal."+r.ID+"."+id)
	if r.Model == "" {
		time.Sleep(r.Work)
		_, _ = fmt.Fprintf(w, "done %s %d", id, len(body))
		return
	}
	w.Header().Set("Greengagegate-Weight-Versions", version)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for piece := 1; piece <= r.Pieces; piece++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.Work / time.Duration(r.Pieces)):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", piece, id, piece)
		_ = controller.Flush()
	}
}
