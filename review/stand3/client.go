package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// charge sends a charge and returns the status of the answer, or 0 if there is none.
func (s *stand) charge(client *http.Client, g *gateway, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/charges/"+id, strings.NewReader("charge"))
	if err != nil {
		panic(err)
	}
	request.Host = "dues.example"
	request.Header.Set("Greengagegate-Request-Id", id)
	request.Header.Set("Greengagegate-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer key-of-agents-1")
	return s.send(client, g, request)
}

// send sends a request and returns the status of the answer, or 0 if there is none.
func (s *stand) send(client *http.Client, g *gateway, request *http.Request) int {
	id := request.Header.Get("Greengagegate-Request-Id")
	s.record.add("client sends %s to %s", id, g.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.add("client gets no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.record.add("client gets %d for %s, seal %q, body %.40q, %v", response.StatusCode, id, response.Header.Get("Greengagegate-Response-Seal"), body, err)
	return response.StatusCode
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
}
