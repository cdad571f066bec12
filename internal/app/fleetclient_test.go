package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/slotlink"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/lease"
)

const (
	// startupRetryLimit bounds how long a rejected request is repeated while the fleet
	// starts. It is shorter than maxTestOutage, so that a failing test reports the
	// original refusal and not one for stale evidence.
	startupRetryLimit = time.Minute
	retryInterval     = 50 * time.Millisecond
	reportTimeout     = 5 * time.Second
)

// post sends a request with the fleet's key through a router. It repeats the request
// while the router answers 429 or 503. After startupRetryLimit it logs the refusals and
// the router's state and returns the last response.
func (f *testFleet) post(router *RouterSettings, path, body string, header http.Header) *http.Response {
	refusals := make(map[string]int)
	for start := time.Now(); ; time.Sleep(retryInterval) {
		response := f.postOnce(router, path, body, header)
		// Right after the start an agent may not have reported its engine's state yet.
		notReady := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
		if !notReady {
			return response
		}
		refusal := bufferBody(response)
		refusals[fmt.Sprint(response.StatusCode, " ", errorCode(refusal))]++
		if time.Since(start) > startupRetryLimit {
			f.t.Logf("gave up repeating the request; refusals: %v, last body: %s", refusals, refusal)
			f.logState(router)
			return response
		}
	}
}

// postOnce sends a request with the fleet's key through a router, without repeats.
func (f *testFleet) postOnce(router *RouterSettings, path, body string, header http.Header) *http.Response {
	url := fmt.Sprintf("http://%s%s", router.CallersListen.Listen, path)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+fleetSecret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

// bufferBody reads and returns a response's body, and replaces it by a copy that can be
// read again.
func bufferBody(response *http.Response) []byte {
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

// errorCode returns the code of an error response, or "" for any other body.
func errorCode(body []byte) string {
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Error.Code
}

// logState logs a router's revision, the age of its evidence, the processes that it
// sees, and the holders of entry slots that the agents remember.
func (f *testFleet) logState(router *RouterSettings) {
	ctx, cancel := context.WithTimeout(f.t.Context(), reportTimeout)
	defer cancel()
	status := f.status(router)
	f.t.Logf("%s at %s: revision %d, fresh %v, evidence of %d ms",
		status.Process, router.Inner.Listen, status.Revision, status.Fresh, status.EvidenceAgeMs)
	pool := wire.NewPool(&wirepb.Hello{Process: "test"}, wire.NewDialer(""))
	defer pool.Close()
	for _, p := range status.Processes {
		f.t.Logf("%s at %s: %s, answered %v, revision %d", p.Process, p.Address, p.State, p.Answered, p.Revision)
	}
	for upstream, address := range f.addresses {
		reply, err := slotlink.NewClient(pool, nil).Query(ctx, address, lease.WitnessRequest{})
		f.t.Logf("agent of %s: slot query returned %+v, error %v", upstream, reply, err)
	}
}
