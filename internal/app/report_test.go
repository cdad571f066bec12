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
	// servesWithin bounds how long a request is repeated while the fleet starts.
	// It is shorter than testOutage, so that a failure shows its own reason.
	servesWithin  = time.Minute
	attemptsPause = 50 * time.Millisecond
	reportTimeout = 5 * time.Second
)

// post sends a request with the fleet's key through a router. It repeats one
// that is refused, and tells what it saw when it gives up.
func (f *testFleet) post(router *RouterSettings, path, body string, header http.Header) *http.Response {
	refusals := make(map[string]int)
	for began := time.Now(); ; time.Sleep(attemptsPause) {
		response := f.postOnce(router, path, body, header)
		// Right after the start an agent may not have told its engine's state yet.
		notReady := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
		if !notReady {
			return response
		}
		refused := keepBody(response)
		refusals[fmt.Sprint(response.StatusCode, " ", codeOf(refused))]++
		if time.Since(began) > servesWithin {
			f.t.Logf("refusals: %v, the last one: %s", refusals, refused)
			f.report(router)
			return response
		}
	}
}

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

// keepBody reads a response's body, which can be read once more afterwards.
func keepBody(response *http.Response) []byte {
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

// codeOf returns the code of an error answer, "" for any other body.
func codeOf(body []byte) string {
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Error.Code
}

// report tells a router's state: its revision, its evidence, the processes that
// it sees, and the holders of entry slots that agents know of.
func (f *testFleet) report(router *RouterSettings) {
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
		f.t.Logf("the agent of %s knows of slots: %+v %v", upstream, reply, err)
	}
}
