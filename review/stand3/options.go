package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// serverOptions asks a gateway for what the server offers as a whole: a request that no route matches
// and that has no key.
func serverOptions(s *stand, trouble bool) (bool, error) {
	startRunner(s, "i-billing-1", "billing", 6).answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "charged") }
	s.store.put("config", "main", chargesConfig(1, 800*time.Millisecond))
	g := s.addGateway(nil)
	if err := g.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	target := "/none/"
	if trouble {
		target = "*"
	}
	broke := false
	for i := range 5 {
		request, err := http.NewRequest(http.MethodOptions, "http://"+g.front, nil)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("options-%d", i)
		request.URL.Opaque, request.Host = target, "dues.example"
		request.Header.Set("Greengagegate-Request-Id", id)
		response, err := newClient().Do(request)
		if err != nil {
			return false, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		seal := response.Header.Get("Greengagegate-Response-Seal")
		s.record.add("client sends OPTIONS %s as %s and gets %s, seal %q, body %q, %v; it has run: %v", target, id, response.Status, seal, body, err, s.hasRun(id))
		broke = broke || response.StatusCode < http.StatusMultipleChoices && seal == ""
	}
	return broke, nil
}
