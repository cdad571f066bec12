package main

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// newCharge returns a charge.
func newCharge(g *gateway, id string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/charges/"+id, strings.NewReader("charge"))
	if err != nil {
		panic(err)
	}
	request.Host = "dues.example"
	request.Header.Set("Greengagegate-Request-Id", id)
	request.Header.Set("Greengagegate-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer key-of-agents-1")
	return request
}

// charge sends a charge and returns the status of the answer, or 0 if there is none.
func (s *stand) charge(client *http.Client, g *gateway, id string) int {
	return s.send(client, g, newCharge(g, id))
}

// chargeKept is charge, with the error if there is no answer. It sets wasKept if the connection has
// carried requests before.
func (s *stand) chargeKept(client *http.Client, g *gateway, id string, wasKept *bool) (int, error) {
	request := newCharge(g, id)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { *wasKept = info.Reused }}
	return s.exchange(client, g, request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// send sends a request and returns the status of the answer, or 0 if there is none.
func (s *stand) send(client *http.Client, g *gateway, request *http.Request) int {
	status, _ := s.exchange(client, g, request)
	return status
}

// exchange sends a request and returns the status of the answer, or the error if there is none.
func (s *stand) exchange(client *http.Client, g *gateway, request *http.Request) (int, error) {
	id := request.Header.Get("Greengagegate-Request-Id")
	s.record.add("client sends %s to %s", id, g.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.add("client gets no answer to %s: %v", id, err)
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.record.add("client gets %d for %s, seal %q, body %.40q, %v", response.StatusCode, id, response.Header.Get("Greengagegate-Response-Seal"), body, err)
	return response.StatusCode, nil
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
}
